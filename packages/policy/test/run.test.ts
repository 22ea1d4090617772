import { expect } from "chai"
import type { Rank } from "@galenaway/core"
import {
  applySchedulerEvent,
  DEFAULT_POLICY,
  getEndpointState,
  runScheduler,
  type SchedulerEvent,
  type SchedulerTables,
  setLoadShare,
} from "@galenaway/policy"
import { createOwner, createRequest, formatKey } from "./helper.js"

function addRequest(
  tables: SchedulerTables,
  id: string,
  adapter: string,
  rank?: Rank,
  now = 1,
): void {
  applySchedulerEvent(
    tables,
    { kind: "submitted", request: createRequest(id, adapter, rank, now) },
    now,
  )
}

function applyAndRun(tables: SchedulerTables, event: SchedulerEvent, now: number) {
  applySchedulerEvent(tables, event, now)
  return runScheduler(tables, now)
}

function createRestart(endpoint: string): SchedulerEvent {
  const report = { endpoint, incarnation: "2", running: 0, waiting: 0, resident: [], cacheUsage: 0 }
  return { kind: "reported", report }
}

it("grants a resident adapter at once", () => {
  const tables = createOwner({ e1: ["a"] })
  addRequest(tables, "r", "a")
  expect(runScheduler(tables, 1)).to.deep.equal([
    { kind: "grant", request: "r", endpoint: "e1", adapter: formatKey("a") },
  ])
})

it("loads once for two waiting requests of a cold adapter", () => {
  const tables = createOwner({ e1: [] })
  addRequest(tables, "r", "a")
  addRequest(tables, "s", "a")
  const orders = [...runScheduler(tables, 1), ...runScheduler(tables, 20)]
  expect(orders).to.deep.equal([{ kind: "load", endpoint: "e1", adapter: formatKey("a") }])
})

it("evicts what is not in use", () => {
  const tables = createOwner({ e1: ["a", "b"] })
  addRequest(tables, "r", "a")
  runScheduler(tables, 1)
  addRequest(tables, "s", "c", "standard", 20)
  expect(runScheduler(tables, 20)).to.deep.equal([
    { kind: "evict", endpoint: "e1", adapter: formatKey("b") },
  ])
})

it("orders no load before the share is set", () => {
  const tables = createOwner({ e1: [] })
  setLoadShare(tables, { ratePerSecond: 0, burst: 0, inTransit: 0 })
  addRequest(tables, "r", "a")
  expect(runScheduler(tables, 1)).to.deep.equal([])
})

it("tries a failed load again after a while", () => {
  const tables = createOwner({ e1: [] })
  addRequest(tables, "r", "a")
  const [load] = runScheduler(tables, 1)
  const failed = { kind: "load-failed", endpoint: "e1", adapter: formatKey("a") } as const
  const orders = [
    applyAndRun(tables, failed, 10),
    runScheduler(tables, 50),
    runScheduler(tables, 500),
  ]
  expect(orders).to.deep.equal([[], [], [load]])
})

it("frees capacity when a granted request is canceled", () => {
  const tables = createOwner({ e1: ["a"] }, undefined, 1)
  addRequest(tables, "r", "a", "urgent")
  addRequest(tables, "s", "a", "urgent")
  runScheduler(tables, 1)
  const orders = applyAndRun(tables, { kind: "returned", request: "r", result: "canceled" }, 2)
  expect(orders.map((order) => order.kind)).to.deep.equal(["grant"])
})

it("refuses the latest of a full queue", () => {
  const queueLimit = { ...DEFAULT_POLICY.queueLimit, bulk: 1 }
  const tables = createOwner({ e1: [] }, { ...DEFAULT_POLICY, queueLimit })
  addRequest(tables, "r", "a", "bulk", 1)
  addRequest(tables, "s", "a", "bulk", 2)
  const refused = runScheduler(tables, 2).filter((order) => order.kind === "refuse")
  expect(refused).to.deep.include({
    kind: "refuse",
    request: "s",
    code: "overloaded",
    message: "the queue is full",
  })
})

it("refuses a cold request whose load would come too late", () => {
  const tables = createOwner({ e1: [] })
  setLoadShare(tables, { ratePerSecond: 0, burst: 0, inTransit: 0 })
  addRequest(tables, "r", "a", "urgent", 0)
  const late = DEFAULT_POLICY.targetMs.urgent - DEFAULT_POLICY.loads.loadMs
  expect(runScheduler(tables, late).map((order) => order.kind)).to.deep.equal(["refuse"])
})

it("clears residents and running requests of a restarted engine", () => {
  const tables = createOwner({ e1: ["a"] })
  addRequest(tables, "r", "a")
  runScheduler(tables, 1)
  applySchedulerEvent(tables, createRestart("e1"), 2)
  const state = getEndpointState(tables, "e1")
  expect([state?.running, state?.resident.size]).to.deep.equal([0, 0])
})

it("grants nothing on a leaving endpoint", () => {
  const tables = createOwner({ e1: ["a"] })
  addRequest(tables, "r", "a")
  const orders = applyAndRun(tables, { kind: "phase-changed", endpoint: "e1", phase: "leaving" }, 1)
  expect(orders.map((order) => order.kind)).to.deep.equal(["refuse"])
})

it("grants a request with a short deadline on an idle engine", () => {
  const tables = createOwner({ e1: ["a"] })
  const request = { ...createRequest("r", "a", "urgent"), deadline: 60 }
  const orders = applyAndRun(tables, { kind: "submitted", request }, 1)
  expect(orders.map((order) => order.kind)).to.deep.equal(["grant"])
})

it("ignores a load that ended before the engine's restart", () => {
  const tables = createOwner({ e1: [] })
  addRequest(tables, "r", "a")
  runScheduler(tables, 1)
  applySchedulerEvent(tables, createRestart("e1"), 2)
  applySchedulerEvent(tables, { kind: "loaded", endpoint: "e1", adapter: formatKey("a") }, 3)
  expect(getEndpointState(tables, "e1")?.resident.size).to.equal(0)
})

it("refuses a redirectable urgent cold request when no load can start", () => {
  const tables = createOwner({ e1: [] })
  setLoadShare(tables, { ratePerSecond: 1, burst: 0, inTransit: 1 })
  const request = createRequest("r", "a", "urgent", 1)
  const orders = applyAndRun(tables, { kind: "submitted", request, canRedirect: true }, 1)
  expect(orders.map((order) => order.kind === "refuse" && order.code)).to.deep.equal(["overloaded"])
})

it("keeps capacity for urgent requests under a flood of bulk requests", () => {
  const tables = createOwner({ e1: ["a"] }, undefined, 4)
  for (let index = 0; index < 8; index++) addRequest(tables, `b${index}`, "a", "bulk")
  runScheduler(tables, 1)
  addRequest(tables, "u", "a", "urgent", 2)
  expect(runScheduler(tables, 2).map((order) => order.kind)).to.deep.equal(["grant"])
})

it("lowers the limit of an engine that reports waiting requests", () => {
  const tables = createOwner({ e1: ["a"] }, undefined, 10)
  const resident = [formatKey("a")]
  const report = {
    endpoint: "e1",
    incarnation: "1",
    running: 8,
    waiting: 2,
    resident,
    cacheUsage: 1,
  }
  for (let count = 0; count < 3; count++)
    applySchedulerEvent(tables, { kind: "reported", report }, 1)
  for (let index = 0; index < 20; index++) addRequest(tables, `u${index}`, "a", "urgent")
  expect(runScheduler(tables, 1).length).to.equal(6)
})
