import { EventEmitter } from "node:events"
import { expect } from "chai"
import type { Registration } from "@galenaway/core"
import {
  EndpointDirectory,
  LeavingReports,
  type LoadOptions,
  Owner,
  type OwnerDependencies,
} from "@galenaway/entry"
import { createManualClock } from "@galenaway/fakes"
import { noopMetrics } from "@galenaway/observe"
import { VersionTable } from "@galenaway/routing"
import { buildEntry, ENGINE, format, log } from "./support.js"

const START = 100
const LATER_START = 200
const LEAVING = [{ endpoint: "e", startedAt: START }]
/** Longer than a peer is told of an endpoint that has begun to leave. */
const LONG_MS = 61_000
const LOAD: LoadOptions = {
  waitMs: 1000,
  wasMissing: false,
  canRedirect: false,
  priority: 0,
  objectiveInMs: 500,
}

it("an endpoint found to be leaving stays so whatever the store lists", () => {
  const { directory, read } = createDirectory({ startedAt: START })
  expect(directory.addLeaving({ id: "e", startedAt: START })).to.equal(true)
  expect(directory.addLeaving({ id: "e", startedAt: START })).to.equal(false)
  expect(describeState(directory)).to.deep.equal({ phase: "leaving", live: 0 })
  read({ startedAt: START }, 1)
  expect(describeState(directory)).to.deep.equal({ phase: "leaving", live: 0 })
  read({ startedAt: START })
  expect(describeState(directory)).to.deep.equal({ phase: "leaving", live: 0 })
  read({})
  expect(describeState(directory)).to.deep.equal({ phase: "leaving", live: 0 })
})

it("a registration that was leaving isn't live again before a later start", () => {
  const { directory, read } = createDirectory({ startedAt: START, phase: "leaving" })
  read({ startedAt: START })
  expect(describeState(directory)).to.deep.equal({ phase: "leaving", live: 0 })
  read({ startedAt: LATER_START })
  expect(describeState(directory)).to.deep.equal({ phase: "live", live: 1 })
})

it("a leaving endpoint whose registration expired in an outage is still leaving when it is back", async () => {
  const { directory, clock, read, remove } = createDirectory({ startedAt: START })
  directory.addLeaving({ id: "e", startedAt: START })
  remove()
  await clock.advance(LONG_MS)
  read({ startedAt: START })
  expect(describeState(directory)).to.deep.equal({ phase: "leaving", live: 0 })
})

it("an endpoint that doesn't report its start is live again after it was removed", () => {
  const { directory, read, remove } = createDirectory({})
  directory.addLeaving({ id: "e" })
  read({})
  expect(describeState(directory)).to.deep.equal({ phase: "leaving", live: 0 })
  remove()
  read({})
  expect(describeState(directory)).to.deep.equal({ phase: "live", live: 1 })
})

it("an answer of an earlier lifetime doesn't make the present one leave", () => {
  const { directory } = createDirectory({ startedAt: LATER_START })
  expect(directory.addLeaving({ id: "e", startedAt: START })).to.equal(false)
  expect(describeState(directory)).to.deep.equal({ phase: "live", live: 1 })
})

it("an endpoint that a peer reports before it is read isn't live when it is", () => {
  const { directory, read, remove } = createDirectory({})
  remove()
  directory.addLeaving({ id: "e", startedAt: START })
  read({ startedAt: START })
  expect(describeState(directory)).to.deep.equal({ phase: "leaving", live: 0 })
})

it("a leaving endpoint is sent to the collectors once, and a collector publishes it once", () => {
  const collector = createReports(true)
  const other = createReports(false)
  for (let i = 0; i < 3; i++) {
    other.reports.onAnswer({ ...ENGINE, startedAt: START })
    collector.reports.onReport("j", LEAVING)
    other.reports.onPublished("k", LEAVING)
  }
  expect([other.sent, other.published]).to.deep.equal([LEAVING, []])
  expect([collector.sent, collector.published]).to.deep.equal([[], LEAVING])
})

it("a new follower is told of recently leaving endpoints only while they are registered", async () => {
  const { reports, fixture } = createReports(true)
  reports.onAnswer({ ...ENGINE, startedAt: START })
  expect(reports.listRecent()).to.deep.equal(LEAVING)
  await fixture.clock.advance(LONG_MS)
  expect(reports.listRecent()).to.deep.equal([])
  const { reports: others, fixture: removed } = createReports(true)
  others.onAnswer({ ...ENGINE, startedAt: START })
  removed.remove()
  expect(others.listRecent()).to.deep.equal([])
})

it("a leaving engine gets no orders, queued loads are refused, and its next start gets them again", async () => {
  const { directory, read } = createDirectory({ startedAt: START })
  const { owner, ownership, orders } = createOwner(directory)
  ownership.emit("gained", "e")
  const queued = owner.load("e", "m/a", undefined, LOAD)
  directory.addLeaving({ id: "e", startedAt: START })
  expect(await queued).to.deep.equal({ kind: "refused", reason: "the engine is leaving" })
  const later = await owner.load("e", "m/a", undefined, LOAD)
  expect(later).to.deep.equal({ kind: "refused", reason: "the engine is leaving" })
  await runMicrotasks()
  ownership.emit("lost", "e")
  ownership.emit("gained", "e")
  await runMicrotasks()
  expect(orders).to.deep.equal(["report"])
  read({ startedAt: LATER_START })
  await runMicrotasks()
  owner.stop()
  expect(orders).to.deep.equal(["report", "report"])
})

/** A directory that has read one endpoint. Each read without a revision has the next one. */
function createDirectory(first: Partial<Registration>) {
  const clock = createManualClock()
  const directory = new EndpointDirectory(format, clock, log)
  let lastRevision = 0
  const read = (changes: Partial<Registration>, revision = ++lastRevision) => {
    directory.apply([buildEntry("e", revision, changes)], lastRevision)
  }
  read(first)
  const remove = () => {
    directory.apply([], ++lastRevision)
  }
  return { directory, clock, read, remove }
}

function describeState(directory: EndpointDirectory) {
  return { phase: directory.find("e")?.phase, live: directory.listLive("s").length }
}

function createReports(isCollector: boolean) {
  const fixture = createDirectory({ startedAt: START })
  const sent: unknown[] = []
  const published: unknown[] = []
  const reports = new LeavingReports({
    directory: fixture.directory,
    log,
    send: (leaving) => sent.push(...leaving),
    publish: (leaving) => published.push(...leaving),
    isCollector: () => isCollector,
  })
  return { reports, fixture, sent, published }
}

/** An owner of the directory's engine, which records what it sends there. */
function createOwner(directory: EndpointDirectory) {
  const ownership = new EventEmitter()
  const orders: string[] = []
  const engine = { models: [{ name: "m", loadMs: 1 }], adapterSlots: 2, batchSize: 8 }
  const configuration = { services: new Map([["s", { name: "s", maxConnections: 1, engine }]]) }
  const deps = {
    self: "i",
    ownership: Object.assign(ownership, { getToken: () => 1 }),
    directory,
    catalogue: { routes: { configuration } },
    versions: new VersionTable(1000),
    engineClient: {
      order: () => {
        orders.push("order")
        return Promise.resolve("accepted")
      },
      readState: () => {
        orders.push("report")
        const state = { models: ["m"], adapters: [], arriving: [], sequence: 0, isBusy: false }
        return Promise.resolve(state)
      },
    },
    clock: createManualClock(),
    log,
    metrics: noopMetrics,
    orderTimeoutMs: 90,
    startedAt: -1000,
    getPause: () => 0,
    onEngineChanged: () => undefined,
    onEngineLost: () => undefined,
  }
  return { owner: new Owner(deps as unknown as OwnerDependencies), ownership, orders }
}

async function runMicrotasks(): Promise<void> {
  for (let turn = 0; turn < 100; turn++) await Promise.resolve()
}
