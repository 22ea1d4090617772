import type { Registration } from "@galenaway/core"
import { FollowerUpdate } from "@galenaway/entry/messages"
import { PaceEstimator } from "@galenaway/policy"
import {
  chooseEndpoint,
  CostEstimator,
  EndpointHealth,
  PlacementCostTable,
} from "@galenaway/routing"

/**
 * Measures the tables that learn what requests cost, at their limits, the time of
 * the decisions of one request, and what the pace adds to a message. Run with
 * --expose-gc.
 */
const KIND_COUNT = 500
const ENDPOINT_COUNT = 4
const ENGINE_COUNT = 63
const ROUND_COUNT = 20_000
const COST_MS = 30
const SLOTS = 6
const BYTES_PER_KIB = 1024
const US_PER_MS = 1000

const pace = new PaceEstimator()
const before = measureHeap()
const costs = new CostEstimator()
for (let i = 0; i < KIND_COUNT; i++) {
  costs.recordCall({ service: "desk", route: "read", path: `/read/kind-${String(i)}` }, COST_MS)
  costs.recordRun(buildRequest(i), pace, COST_MS)
}
print("500 kinds of calls and of model requests", `${toKib(measureHeap() - before)} KiB`)
const withoutEndpoints = measureHeap()
const health = new EndpointHealth()
for (let i = 0; i < ENGINE_COUNT; i++) reportLoad(`engine-${String(i)}`, 0)
print("the reports of 63 engines", `${toKib(measureHeap() - withoutEndpoints)} KiB`)

const endpoints = Array.from({ length: ENDPOINT_COUNT }, (_, index): Registration => {
  const base = { id: `s${String(index)}`, service: "desk", address: "127.0.0.1:1" }
  return { ...base, dataCentre: "dc-a", slots: SLOTS, phase: "live" }
})
const view = { endpoints, health, localDataCentre: "dc-a", meanCostMs: COST_MS }
const none: ReadonlySet<string> = new Set()
printTime("a choice by load", (now) => chooseEndpoint(view, COST_MS, none, now, 0.5))
for (const { id } of endpoints) reportLoad(id, 0)
printTime("a choice by expected completion", (now) => chooseEndpoint(view, COST_MS, none, now, 0.5))
printTime("a report", (now) => {
  reportLoad("s0", now)
})
printTime("an estimate and a record of a run", (now) => {
  costs.estimateRun(buildRequest(now % KIND_COUNT), pace)
  costs.recordRun(buildRequest(now % KIND_COUNT), pace, COST_MS)
})
const placementCosts = new PlacementCostTable()
printTime("a round trip", () => {
  placementCosts.recordRoundTrip(3, false)
})

const use = { endpoint: "i-48720f3588", adapters: [], running: 3 }
const withPace = countBytes({ ...use, pacePercent: 250, paceAgeMs: 300 })
const withoutPace = countBytes({ ...use, pacePercent: 0, paceAgeMs: 0 })
print("the pace of an engine in an update", `${String(withPace - withoutPace)} B`)

function buildRequest(index: number) {
  const adapter = `m/a${String(index)}`
  const request = { service: "assistant", route: "ask", adapter, account: undefined }
  return { ...request, promptTokens: 500, outputTokens: 100 }
}

function reportLoad(id: string, now: number): void {
  health.onLoad(id, { running: 2, waiting: 0, slots: SLOTS, pacePercent: 120 }, now)
}

function countBytes(entry: Record<string, unknown>): number {
  const update = { instance: "entry-0001", configurationVersion: 12, uses: [entry] }
  return FollowerUpdate.encode(FollowerUpdate.create(update)).finish().length
}

function printTime(what: string, run: (now: number) => void): void {
  const startedAt = performance.now()
  for (let round = 1; round <= ROUND_COUNT; round++) run(round)
  const ms = (performance.now() - startedAt) / ROUND_COUNT
  print(what, `${(US_PER_MS * ms).toFixed(2)} µs`)
}

function measureHeap(): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}

function toKib(bytes: number): number {
  return Math.round(bytes / BYTES_PER_KIB)
}

function print(what: string, figure: string): void {
  process.stdout.write(`${what}: ${figure}\n`)
}
