import { expect } from "chai"
import {
  EndpointPausedError,
  type EngineClient,
  type EngineOrder,
  type EngineState,
  type OrderAnswer,
} from "@galenaway/core"
import {
  EngineController,
  type LoadOptions,
  LoadPollSchedule,
  LoadTimeEstimator,
} from "@galenaway/entry"
import { createManualClock } from "@galenaway/fakes"
import { noopMetrics } from "@galenaway/observe"
import { EndpointHealth, VersionTable } from "@galenaway/routing"
import { ENGINE, log } from "./support.js"

const OPTIONS: LoadOptions = {
  waitMs: 60_000,
  wasMissing: false,
  canRedirect: false,
  priority: 0,
  objectiveInMs: 500,
}
const STATE_WITH_MODEL: EngineState = {
  models: ["m"],
  adapters: [],
  arriving: [],
  sequence: 0,
  isBusy: false,
}
const MICROTASK_TURN_COUNT = 200
const TOKEN = 7

it("an engine that refuses connections isn't retried in a tight loop", async () => {
  const { controller, orders } = startController(
    STATE_WITH_MODEL,
    () => {
      throw new Error("connection refused")
    },
    TOKEN,
  )
  void controller.load("m/a", undefined, OPTIONS)
  await runMicrotasks()
  controller.stop("test")
  expect(orders).to.have.length(1)
})

it("after some slow loads the first poll comes when the adapter is loaded", () => {
  const polls = new LoadPollSchedule(new LoadTimeEstimator())
  const loadMs = 400
  const pollCounts = [...Array(30).keys()].map((index) => {
    const adapter = `m/a${index}`
    polls.onLoadOrdered(adapter, 0)
    let pollCount = 1
    while (polls.getDueTime(adapter) < loadMs) {
      polls.onStillLoading(adapter, 0, polls.getDueTime(adapter))
      pollCount++
    }
    polls.onLoaded(adapter, 0, polls.getDueTime(adapter))
    return pollCount
  })
  expect(pollCounts[0]).to.be.greaterThan(5)
  expect(Math.max(...pollCounts.slice(15))).to.be.at.most(2)
})

it("unanswered polls don't change the estimated load time, which recovers soon after slow loads", () => {
  const estimator = new LoadTimeEstimator()
  const polls = new LoadPollSchedule(estimator)
  polls.onLoadOrdered("m/a", 0)
  polls.onStillLoading("m/a", 0, 255)
  polls.onPollUnanswered("m/a", 320)
  polls.onLoaded("m/a", 0, 900)
  expect(estimator.expectedMs).to.equal(255)
  for (let i = 0; i < 20; i++) estimator.record(800, 9)
  for (let i = 0; i < 100; i++) estimator.record(estimator.expectedMs, 1)
  expect(estimator.expectedMs).to.be.lessThan(270)
})

it("fewer loads are begun at once while the weight store is slowed", () => {
  const estimator = new LoadTimeEstimator()
  expect(estimator.maxConcurrentLoads).to.equal(4)
  for (let i = 0; i < 20; i++) estimator.record(600, 5)
  expect(estimator.maxConcurrentLoads).to.equal(2)
  for (let i = 0; i < 600; i++) estimator.record(255, 1)
  expect(estimator.maxConcurrentLoads).to.equal(4)
})

it("the base model is ordered before any adapter", async () => {
  const { controller, orders } = startController(
    { ...STATE_WITH_MODEL, models: [] },
    () => "accepted",
    TOKEN,
  )
  void controller.load("m/a", undefined, OPTIONS)
  await runMicrotasks()
  controller.stop("test")
  expect(orders.map(({ model, adapter }) => ({ model, adapter }))).to.deep.equal([
    { model: "m", adapter: undefined },
  ])
})

it("a load of an adapter that is held already needs no order", async () => {
  const state = { ...STATE_WITH_MODEL, adapters: [{ adapter: "m/a", version: 3 }] }
  const { controller, orders } = startController(state, () => "accepted", TOKEN)
  expect(await controller.load("m/a", undefined, OPTIONS)).to.deep.equal({
    kind: "held",
    version: 3,
  })
  controller.stop("test")
  expect(orders).to.deep.equal([])
})

it("an engine that refuses an order and asks for a pause gets no orders in it", async () => {
  const answer = (): OrderAnswer => {
    throw new EndpointPausedError("load", "e", 1000)
  }
  const { controller, orders, pauses } = startController(STATE_WITH_MODEL, answer, TOKEN)
  const redirected = controller.load("m/a", undefined, { ...OPTIONS, canRedirect: true })
  await runMicrotasks()
  expect(pauses.getPause("e", 0)).to.equal(1000)
  const refusal = { kind: "refused", reason: "the engine asked for a pause" }
  expect(await redirected).to.deep.equal(refusal)
  expect(await controller.load("m/a", undefined, { ...OPTIONS, waitMs: 900 })).to.deep.equal(
    refusal,
  )
  void controller.load("m/b", undefined, OPTIONS)
  await runMicrotasks()
  controller.stop("test")
  expect(orders).to.have.length(1)
})

it("an engine that asked this instance's requests for a pause gets no orders nor reports in it", async () => {
  const { controller, orders, reports } = startController(
    STATE_WITH_MODEL,
    () => "accepted",
    TOKEN,
    1000,
  )
  void controller.load("m/a", undefined, OPTIONS)
  await runMicrotasks()
  controller.stop("test")
  expect([orders, reports]).to.deep.equal([[], []])
})

it("no order is sent without a fencing token, and a stop refuses the queued loads", async () => {
  const { controller, orders } = startController(STATE_WITH_MODEL, () => "accepted", undefined)
  const outcome = controller.load("m/a", undefined, OPTIONS)
  await runMicrotasks()
  controller.stop("not owned any more")
  expect(orders).to.deep.equal([])
  expect(await outcome).to.deep.equal({ kind: "refused", reason: "not owned any more" })
})

function startController(
  state: EngineState,
  answer: () => OrderAnswer,
  token: number | undefined,
  pauseMs = 0,
) {
  const reports: string[] = []
  const orders: EngineOrder[] = []
  const clock = createManualClock()
  const pauses = new EndpointHealth()
  pauses.onPause("e", pauseMs, clock.now())
  const engineClient: EngineClient = {
    order: (_engine, order) => {
      orders.push(order)
      return Promise.resolve().then(answer)
    },
    readState: ({ id }) => {
      reports.push(id)
      return Promise.resolve(state)
    },
  }
  const limits = { models: [{ name: "m", loadMs: 1 }], adapterSlots: 2, batchSize: 8 }
  const controller = new EngineController(ENGINE, limits, "m", {
    self: "i",
    engineClient,
    clock,
    log,
    orderTimeoutMs: 90,
    startedAt: -1000,
    getWeight: () => 1,
    loadTimeEstimator: new LoadTimeEstimator(),
    versions: new VersionTable(1000),
    metrics: noopMetrics,
    getToken: () => token,
    getPause: () => pauses.getPause("e", clock.now()),
    onPause: (_engine, ms) => {
      pauses.onPause("e", ms, clock.now())
    },
    onChange: () => undefined,
  })
  controller.start()
  return { controller, orders, reports, pauses }
}

/** Runs all pending microtasks that don't wait for a timer. */
async function runMicrotasks(): Promise<void> {
  for (let turn = 0; turn < MICROTASK_TURN_COUNT; turn++) await Promise.resolve()
}
