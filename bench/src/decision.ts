import type { AdapterKey, EndpointInfo, RouteRequest } from "@galenaway/core"
import {
  applySchedulerEvent,
  createScheduler,
  DEFAULT_POLICY,
  type EndpointView,
  rankEndpoints,
  runScheduler,
  type SchedulerTables,
  setLoadShare,
} from "@galenaway/policy"

/**
 * Measures what a decision costs for each request: ranking the endpoints at
 * the instance that received it, and scheduling it at the owner. Run it with
 * `node --expose-gc --max-semi-space-size=512`, so that allocations can be counted.
 */
const ENDPOINTS = [16, 940]
const ADAPTERS = [3000, 67_000]
const INSTANCES = [4, 330]
const SLOTS = 8
const CAPACITY = 16
const CALLS = 4000
const WARM_UP_CALLS = 4000
const ROUNDS = 5
const MICROS_PER_MS = 1000

interface Cost {
  readonly micros: number
  readonly bytes: number
}

interface Row {
  readonly endpoints: number
  readonly adapters: number
  readonly instances: number
  readonly ranking: Cost
  readonly scheduling: Cost
}

const rows: Row[] = []
for (const endpoints of ENDPOINTS)
  for (const adapters of ADAPTERS)
    for (const instances of INSTANCES) rows.push(buildRow(endpoints, adapters, instances))
printRows(rows)
printSlopes(rows)

function buildRow(endpoints: number, adapters: number, instances: number): Row {
  const infos = Array.from({ length: endpoints }, (_, index) => createInfo(index))
  const requests = Array.from({ length: CALLS }, (_, index) => createRequest(index, adapters))
  const views = infos.map((info, index) => createView(info, index, adapters, instances))
  const owned = infos.slice(0, Math.max(1, Math.round(endpoints / instances)))
  const tables = createOwner(owned, adapters, instances)
  return {
    endpoints,
    adapters,
    instances,
    ranking: runMeasurement((call) => {
      rankEndpoints(views, getCyclic(requests, call), "x", 1)
    }),
    scheduling: runMeasurement((call) => {
      runRequest(tables, getCyclic(requests, call), call)
    }),
  }
}

/** One request from its submission to its return; the shell's tick runs after each event. */
function runRequest(tables: SchedulerTables, request: RouteRequest, call: number): void {
  const id = `r${call}`
  const now = call
  const own = { ...request, id, arrivedAt: now, deadline: now + DEFAULT_POLICY.targetMs.urgent }
  applySchedulerEvent(tables, { kind: "submitted", request: own }, now)
  for (const order of runScheduler(tables, now)) {
    if (order.kind === "grant")
      applySchedulerEvent(tables, { kind: "returned", request: id, result: "done" }, now)
    if (order.kind === "load") applySchedulerEvent(tables, { ...order, kind: "loaded" }, now)
    if (order.kind === "evict") applySchedulerEvent(tables, { ...order, kind: "evicted" }, now)
  }
  runScheduler(tables, now)
}

/** Returns the lowest time of some rounds, so that a pause of the machine doesn't count, and the highest growth of the heap, since a collection lowers it. */
function runMeasurement(call: (index: number) => void): Cost {
  let calls = 0
  for (; calls < WARM_UP_CALLS; calls++) call(calls)
  let micros = Infinity
  let bytes = 0
  for (let round = 0; round < ROUNDS; round++) {
    globalThis.gc?.()
    const heap = process.memoryUsage().heapUsed
    const start = performance.now()
    for (let index = 0; index < CALLS; index++) call(calls++)
    micros = Math.min(micros, ((performance.now() - start) * MICROS_PER_MS) / CALLS)
    const grown = process.memoryUsage().heapUsed - heap
    bytes = Math.max(bytes, grown / CALLS)
  }
  return { micros, bytes }
}

function createInfo(index: number): EndpointInfo {
  return {
    id: `e${index}`,
    kind: "engine",
    dataCentre: "xyz"[index % 3] ?? "x",
    url: "http://127.0.0.1:1",
    fencing: "checked",
    slots: SLOTS,
    capacity: CAPACITY,
  }
}

function formatIndex(index: number): AdapterKey {
  return `base/a${index}@1` as AdapterKey
}

function listResident(index: number, adapters: number): AdapterKey[] {
  return Array.from({ length: SLOTS }, (_, slot) => formatIndex((index * SLOTS + slot) % adapters))
}

function createView(
  info: EndpointInfo,
  index: number,
  adapters: number,
  instances: number,
): EndpointView {
  return {
    info,
    phase: "live",
    owner: `i${index % instances}`,
    isReachable: true,
    running: index % CAPACITY,
    queued: { urgent: 0, standard: 0, bulk: 0 },
    resident: new Set(listResident(index, adapters)),
    loading: new Set(),
    seenAt: 0,
  }
}

/** Three quarters of the requests are for adapters that the first endpoints hold, as popularity is skewed. */
function createRequest(index: number, adapters: number): RouteRequest {
  const isPopular = index % 4 !== 0
  const adapter = isPopular ? index % (SLOTS * 3) : (index * 7919) % adapters
  return {
    id: `r${index}`,
    adapter: formatIndex(adapter),
    rank: "urgent",
    arrivedAt: 0,
    deadline: DEFAULT_POLICY.targetMs.urgent,
    prefix: 0,
    maxTokens: 32,
  }
}

function createOwner(
  owned: readonly EndpointInfo[],
  adapters: number,
  instances: number,
): SchedulerTables {
  const tables = createScheduler(DEFAULT_POLICY)
  const { ratePerSecond, inTransit } = DEFAULT_POLICY.loads
  setLoadShare(tables, { ratePerSecond: ratePerSecond / instances, burst: 1, inTransit })
  owned.forEach((info, index) => {
    applySchedulerEvent(tables, { kind: "endpoint-gained", info, running: [] }, 0)
    const resident = listResident(index, adapters)
    const report = {
      endpoint: info.id,
      incarnation: "1",
      running: 0,
      waiting: 0,
      resident,
      cacheUsage: 0,
    }
    applySchedulerEvent(tables, { kind: "reported", report }, 0)
  })
  return tables
}

function getCyclic<T>(items: readonly T[], index: number): T {
  const item = items[index % items.length]
  if (item === undefined) throw new Error("nothing to pick from")
  return item
}

function printRows(list: readonly Row[]): void {
  console.log(
    "| endpoints | adapters | instances | ranking µs | ranking B | scheduling µs | scheduling B |",
  )
  console.log("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
  for (const { endpoints, adapters, instances, ranking, scheduling } of list)
    console.log(
      `| ${endpoints} | ${adapters} | ${instances} | ${formatCost(ranking)} | ${formatCost(scheduling)} |`,
    )
}

function formatCost({ micros, bytes }: Cost): string {
  return `${micros.toFixed(1)} | ${bytes.toFixed(0)}`
}

/** Prints how the mean cost changes from the small to the large value of each size. */
function printSlopes(list: readonly Row[]): void {
  printSlope("endpoint", ENDPOINTS, (value) => list.filter((row) => row.endpoints === value))
  printSlope("1000 adapters", computeThousands(ADAPTERS), (value) =>
    list.filter((row) => row.adapters === value * 1000),
  )
  printSlope("instance", INSTANCES, (value) => list.filter((row) => row.instances === value))
}

function computeThousands(values: readonly number[]): number[] {
  return values.map((value) => value / 1000)
}

function printSlope(
  unit: string,
  [low = 0, high = 0]: readonly number[],
  select: (value: number) => readonly Row[],
): void {
  const slope = (read: (row: Row) => number) =>
    (computeMean(select(high).map(read)) - computeMean(select(low).map(read))) / (high - low)
  const ranking = slope((row) => row.ranking.micros)
  const scheduling = slope((row) => row.scheduling.micros)
  console.log(
    `slope a ${unit}: ranking ${ranking.toFixed(4)} µs, scheduling ${scheduling.toFixed(4)} µs`,
  )
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}
