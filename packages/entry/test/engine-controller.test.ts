import { expect } from "chai"
import type { EngineClient, EngineOrder, EngineState, OrderAnswer } from "@galenaway/core"
import {
  LoadPollSchedule,
  EngineController,
  type LoadOptions,
  LoadTimeEstimator,
} from "@galenaway/entry"
import { createManualClock } from "@galenaway/fakes"
import { silentMetrics } from "@galenaway/observe"
import { VersionTable } from "@galenaway/routing"
import { ENGINE, log } from "./support.js"

const ASK: LoadOptions = {
  waitMs: 60_000,
  wasMissing: false,
  canRedirect: false,
  priority: 0,
  objectiveInMs: 500,
}
const HELD: EngineState = { models: ["m"], adapters: [], arriving: [], sequence: 0, isBusy: false }
const TURNS = 200
const TOKEN = 7

it("an engine that refuses connections isn't asked again and again", async () => {
  const { keeper, orders } = startKeeper(
    HELD,
    () => {
      throw new Error("connection refused")
    },
    TOKEN,
  )
  void keeper.load("m/a", undefined, ASK)
  await letRun()
  keeper.stop("test")
  expect(orders).to.have.length(1)
})

it("after some slow loads the first question comes when the adapter is there", () => {
  const polls = new LoadPollSchedule(new LoadTimeEstimator())
  const loadMs = 400
  const questions = [...Array(30).keys()].map((index) => {
    const adapter = `m/a${index}`
    polls.onLoadOrdered(adapter, 0)
    let asked = 1
    while (polls.getDueTime(adapter) < loadMs) {
      polls.onStillLoading(adapter, 0, polls.getDueTime(adapter))
      asked++
    }
    polls.onLoaded(adapter, 0, polls.getDueTime(adapter))
    return asked
  })
  expect(questions[0]).to.be.greaterThan(5)
  expect(Math.max(...questions.slice(15))).to.be.at.most(2)
})

it("questions without an answer teach nothing of load times, and slow loads are soon forgotten", () => {
  const loadTime = new LoadTimeEstimator()
  const polls = new LoadPollSchedule(loadTime)
  polls.onLoadOrdered("m/a", 0)
  polls.onStillLoading("m/a", 0, 255)
  polls.onPollUnanswered("m/a", 320)
  polls.onLoaded("m/a", 0, 900)
  expect(loadTime.expectedMs).to.equal(255)
  for (let i = 0; i < 20; i++) loadTime.record(800, 9)
  for (let i = 0; i < 100; i++) loadTime.record(loadTime.expectedMs, 1)
  expect(loadTime.expectedMs).to.be.lessThan(270)
})

it("fewer loads are begun at once while the weight store is slowed", () => {
  const loadTime = new LoadTimeEstimator()
  expect(loadTime.maxConcurrentLoads).to.equal(4)
  for (let i = 0; i < 20; i++) loadTime.record(600, 5)
  expect(loadTime.maxConcurrentLoads).to.equal(2)
  for (let i = 0; i < 600; i++) loadTime.record(255, 1)
  expect(loadTime.maxConcurrentLoads).to.equal(4)
})

it("the base model is ordered before any adapter", async () => {
  const { keeper, orders } = startKeeper({ ...HELD, models: [] }, () => "accepted", TOKEN)
  void keeper.load("m/a", undefined, ASK)
  await letRun()
  keeper.stop("test")
  expect(orders.map(({ model, adapter }) => ({ model, adapter }))).to.deep.equal([
    { model: "m", adapter: undefined },
  ])
})

it("an adapter that is there already is granted without another order", async () => {
  const state = { ...HELD, adapters: [{ adapter: "m/a", version: 3 }] }
  const { keeper, orders } = startKeeper(state, () => "accepted", TOKEN)
  expect(await keeper.load("m/a", undefined, ASK)).to.deep.equal({ kind: "held", version: 3 })
  keeper.stop("test")
  expect(orders).to.deep.equal([])
})

it("nothing is ordered without the authority, and the stop refuses what waits", async () => {
  const { keeper, orders } = startKeeper(HELD, () => "accepted", undefined)
  const outcome = keeper.load("m/a", undefined, ASK)
  await letRun()
  keeper.stop("not owned any more")
  expect(orders).to.deep.equal([])
  expect(await outcome).to.deep.equal({ kind: "refused", reason: "not owned any more" })
})

function startKeeper(state: EngineState, answer: () => OrderAnswer, token: number | undefined) {
  const orders: EngineOrder[] = []
  const engineClient: EngineClient = {
    order: (_engine, order) => {
      orders.push(order)
      return Promise.resolve().then(answer)
    },
    readState: () => Promise.resolve(state),
  }
  const limits = { models: [{ name: "m", loadMs: 1 }], adapterSlots: 2, batchSize: 8 }
  const keeper = new EngineController(ENGINE, limits, "m", {
    self: "i",
    engineClient,
    clock: createManualClock(),
    log,
    orderTimeoutMs: 90,
    startedAt: -1000,
    loadTimeEstimator: new LoadTimeEstimator(),
    versions: new VersionTable(1000),
    metrics: silentMetrics,
    getToken: () => token,
    onChange: () => undefined,
  })
  keeper.start()
  return { keeper, orders }
}

/** Lets everything run that waits for no timer. */
async function letRun(): Promise<void> {
  for (let turn = 0; turn < TURNS; turn++) await Promise.resolve()
}
