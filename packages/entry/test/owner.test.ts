import { expect } from "chai"
import {
  computeBatchIntervalMs,
  estimateLoadEnd,
  type LoadOptions,
  LoadQueue,
  parseFleetRecords,
  AdapterUseTable,
} from "@galenaway/entry"
import { createManualClock, createRandom } from "@galenaway/fakes"
import { buildItem } from "./support.js"

const LOAD_MS = 250
const OPTIONS: LoadOptions = {
  waitMs: 1000,
  wasMissing: false,
  canRedirect: true,
  priority: 1,
  objectiveInMs: 500,
}

it("loads that can still be on time go first, the most urgent before others", () => {
  const { queue } = createQueue()
  void queue.add("late", undefined, { ...OPTIONS, priority: 0, objectiveInMs: 0 })
  void queue.add("later", undefined, { ...OPTIONS, priority: 2 })
  void queue.add("urgent", undefined, { ...OPTIONS, priority: 0 })
  expect(queue.list().map(({ adapter }) => adapter)).to.deep.equal(["urgent", "later", "late"])
})

it("a load loses its place once it can't be on time any more", async () => {
  const { queue, clock } = createQueue()
  void queue.add("first", undefined, { ...OPTIONS, priority: 0, objectiveInMs: 300 })
  void queue.add("second", undefined, { ...OPTIONS, priority: 1, objectiveInMs: 900 })
  await clock.advance(100)
  expect(queue.list()[0]?.adapter).to.equal("second")
})

it("all requests for one adapter are resolved together", async () => {
  const { queue } = createQueue()
  const outcomes = [queue.add("a", 1, OPTIONS), queue.add("a", 2, OPTIONS)]
  expect(queue.list()).to.deep.equal([{ adapter: "a", version: 2, canRedirect: true }])
  queue.resolve("a", 2)
  expect(await Promise.all(outcomes)).to.deep.equal([
    { kind: "held", version: 2 },
    { kind: "held", version: 2 },
  ])
})

it("only the requests whose wait has expired are refused", async () => {
  const { queue, clock } = createQueue()
  const short = queue.add("a", undefined, { ...OPTIONS, waitMs: 100 })
  void queue.add("a", undefined, OPTIONS)
  await clock.advance(100)
  queue.refuseExpired()
  expect((await short).kind).to.equal("refused")
  expect(queue.has("a")).to.equal(true)
})

it("a load can be redirected only if all its requests can", () => {
  const { queue } = createQueue()
  void queue.add("a", undefined, OPTIONS)
  void queue.add("a", undefined, { ...OPTIONS, canRedirect: false })
  expect(queue.list()[0]?.canRedirect).to.equal(false)
})

it("loads ahead are those that are at least as urgent", () => {
  const { queue } = createQueue()
  void queue.add("a", undefined, { ...OPTIONS, priority: 0 })
  void queue.add("b", undefined, { ...OPTIONS, priority: 2 })
  expect(queue.countAhead({ ...OPTIONS, priority: 0 })).to.equal(1)
  expect(queue.countAhead({ ...OPTIONS, priority: 2 })).to.equal(2)
})

it("loads of other accounts go before the backlog of an account that is beyond its share", () => {
  const { queue } = createQueue()
  for (let index = 0; index < 8; index++)
    void queue.add(`a${index}`, undefined, { ...OPTIONS, account: "a" })
  void queue.add("b0", undefined, { ...OPTIONS, account: "b" })
  const names = queue.list().map(({ adapter }) => adapter)
  expect(names.indexOf("b0")).to.be.lessThan(4)
  for (const adapter of names.slice(0, 3)) queue.recordLoad(adapter)
  void queue.add("c0", undefined, { ...OPTIONS, account: "c" })
  expect(queue.list()[0]?.adapter).to.equal("b0")
  expect(queue.countAhead({ ...OPTIONS, account: "a" })).to.equal(10)
  expect(queue.countAhead({ ...OPTIONS, account: "d" })).to.be.lessThan(5)
})

it("without accounts loads are ordered by urgency and arrival", () => {
  const { queue } = createQueue()
  const random = createRandom(3)
  const added: { adapter: string; urgency: number }[] = []
  for (let index = 0; index < 60; index++) {
    const priority = Math.floor(3 * random())
    const isLate = random() < 0.3
    void queue.add(`a${index}`, undefined, {
      ...OPTIONS,
      priority,
      objectiveInMs: isLate ? 0 : 900,
    })
    added.push({ adapter: `a${index}`, urgency: priority + (isLate ? 10 : 0) })
    if (random() < 0.2) queue.recordLoad(`a${Math.floor(index * random())}`)
    const ordered = [...added].sort((a, b) => a.urgency - b.urgency)
    expect(queue.list().map(({ adapter }) => adapter)).to.deep.equal(
      ordered.map(({ adapter }) => adapter),
    )
    const urgent = added.filter(({ urgency }) => urgency <= priority)
    expect(queue.countAhead({ ...OPTIONS, priority, objectiveInMs: 900 })).to.equal(urgent.length)
  }
})

it("a load is finished after its own time, or later when as many run as may run at once", () => {
  const estimate = (ahead: number) => estimateLoadEnd(ahead, 4, LOAD_MS)
  expect([0, 3, 4, 7].map(estimate)).to.deep.equal([LOAD_MS, LOAD_MS, 1.25 * LOAD_MS, 2 * LOAD_MS])
})

it("each changed use count is reported once", () => {
  const uses = new AdapterUseTable()
  uses.add("e", "m/a")
  uses.add("e", "m/a")
  uses.remove("e", "m/a")
  const report = (inFlight: number) => [{ endpoint: "e", adapters: [{ adapter: "m/a", inFlight }] }]
  expect(uses.takeChanges()).to.deep.equal(report(1))
  expect(uses.takeChanges()).to.deep.equal([])
  uses.remove("e", "m/a")
  expect(uses.takeChanges()).to.deep.equal(report(0))
})

it("links share 33 messages a second, or have one a second each", () => {
  for (const links of [1, 3, 9, 33, 117, 329]) {
    const messagesPerSecond = (links * 1000) / computeBatchIntervalMs(links)
    expect(messagesPerSecond, `${links} links`).to.be.at.most(links > 34 ? links : 34)
  }
  expect(computeBatchIntervalMs(1)).to.equal(computeBatchIntervalMs(2))
})

it("unreadable fleet items are listed and the others are parsed", () => {
  const owner = { owner: "i", incarnation: "n", isHandedOver: false, isRestored: false }
  const { owners, unreadable } = parseFleetRecords([
    buildItem("galenaway/owners/e", owner, 9),
    buildItem("galenaway/owners/f", { owner: 1 }, 10),
    buildItem("galenaway/other", {}, 11),
  ])
  expect(owners.get("e")).to.deep.equal({ endpoint: "e", ...owner, revision: 9 })
  expect(unreadable).to.deep.equal(["galenaway/owners/f", "galenaway/other"])
})

function createQueue() {
  const clock = createManualClock()
  return { queue: new LoadQueue(clock, LOAD_MS), clock }
}
