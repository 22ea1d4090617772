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
 * Measures the cost of each request's decisions: ranking the endpoints at the
 * instance that received it, and scheduling it at the owner. Run it with
 * `node --expose-gc --max-semi-space-size=512`. The large semi-space
 * avoids garbage collections during a round, so that the growth of the heap is
 * the allocated memory.
 */
const ENDPOINT_COUNTS = [16, 940]
const ADAPTER_COUNTS = [3000, 67_000]
const INSTANCE_COUNTS = [4, 330]
const SLOT_COUNT = 8
const CAPACITY = 16
const CALL_COUNT = 4000
const WARM_UP_CALL_COUNT = 4000
const ROUND_COUNT = 5
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
for (const endpoints of ENDPOINT_COUNTS)
  for (const adapters of ADAPTER_COUNTS)
    for (const instances of INSTANCE_COUNTS) rows.push(measureRow(endpoints, adapters, instances))
printRows(rows)
printSlopes(rows)

function measureRow(endpoints: number, adapters: number, instances: number): Row {
  const infos = Array.from({ length: endpoints }, (_, index) => createInfo(index))
  const requests = Array.from({ length: CALL_COUNT }, (_, index) => createRequest(index, adapters))
  const views = infos.map((info, index) => createView(info, index, adapters, instances))
  const owned = infos.slice(0, Math.max(1, Math.round(endpoints / instances)))
  const tables = createOwnerTables(owned, adapters, instances)
  return {
    endpoints,
    adapters,
    instances,
    ranking: measureCost((call) => {
      rankEndpoints(views, getCyclic(requests, call), "x", 1)
    }),
    scheduling: measureCost((call) => {
      runRequest(tables, getCyclic(requests, call), call)
    }),
  }
}

/** Runs one request from its submission to the return of its grant, and the scheduler after both. */
function runRequest(tables: SchedulerTables, request: RouteRequest, call: number): void {
  const id = `r${call}`
  const now = call
  const submitted = {
    ...request,
    id,
    arrivedAt: now,
    deadline: now + DEFAULT_POLICY.targetMs.urgent,
  }
  applySchedulerEvent(tables, { kind: "submitted", request: submitted }, now)
  for (const order of runScheduler(tables, now)) {
    if (order.kind === "grant")
      applySchedulerEvent(tables, { kind: "returned", request: id, result: "done" }, now)
    if (order.kind === "load") applySchedulerEvent(tables, { ...order, kind: "loaded" }, now)
    if (order.kind === "evict") applySchedulerEvent(tables, { ...order, kind: "evicted" }, now)
  }
  runScheduler(tables, now)
}

/**
 * Measures the cost of one call. The time is that of the fastest round, which
 * excludes pauses of the machine. The bytes are those of the round with the
 * highest heap growth, since a garbage collection lowers the growth.
 */
function measureCost(call: (index: number) => void): Cost {
  let calls = 0
  for (; calls < WARM_UP_CALL_COUNT; calls++) call(calls)
  let micros = Infinity
  let bytes = 0
  for (let round = 0; round < ROUND_COUNT; round++) {
    globalThis.gc?.()
    const heapBefore = process.memoryUsage().heapUsed
    const start = performance.now()
    for (let index = 0; index < CALL_COUNT; index++) call(calls++)
    micros = Math.min(micros, ((performance.now() - start) * MICROS_PER_MS) / CALL_COUNT)
    const growth = process.memoryUsage().heapUsed - heapBefore
    bytes = Math.max(bytes, growth / CALL_COUNT)
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
    slots: SLOT_COUNT,
    capacity: CAPACITY,
  }
}

function formatAdapterKey(index: number): AdapterKey {
  return `base/a${index}@1` as AdapterKey
}

function listResident(index: number, adapters: number): AdapterKey[] {
  return Array.from({ length: SLOT_COUNT }, (_, slot) =>
    formatAdapterKey((index * SLOT_COUNT + slot) % adapters),
  )
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

/** Creates a request. Three quarters use adapters of the first three endpoints, since popularity is skewed. */
function createRequest(index: number, adapters: number): RouteRequest {
  const isPopular = index % 4 !== 0
  const adapter = isPopular ? index % (SLOT_COUNT * 3) : (index * 7919) % adapters
  return {
    id: `r${index}`,
    adapter: formatAdapterKey(adapter),
    rank: "urgent",
    arrivedAt: 0,
    deadline: DEFAULT_POLICY.targetMs.urgent,
    prefix: 0,
    maxTokens: 32,
  }
}

function createOwnerTables(
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
  if (item === undefined) throw new Error("the list is empty")
  return item
}

function printRows(rows: readonly Row[]): void {
  console.log(
    "| endpoints | adapters | instances | ranking µs | ranking B | scheduling µs | scheduling B |",
  )
  console.log("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
  for (const { endpoints, adapters, instances, ranking, scheduling } of rows)
    console.log(
      `| ${endpoints} | ${adapters} | ${instances} | ${formatCost(ranking)} | ${formatCost(scheduling)} |`,
    )
}

function formatCost({ micros, bytes }: Cost): string {
  return `${micros.toFixed(1)} | ${bytes.toFixed(0)}`
}

/** Prints the slopes of the mean cost between the lowest and the highest number of endpoints, adapters and instances. */
function printSlopes(rows: readonly Row[]): void {
  printSlope("endpoint", ENDPOINT_COUNTS, (value) => rows.filter((row) => row.endpoints === value))
  printSlope("1000 adapters", computeThousands(ADAPTER_COUNTS), (value) =>
    rows.filter((row) => row.adapters === value * 1000),
  )
  printSlope("instance", INSTANCE_COUNTS, (value) => rows.filter((row) => row.instances === value))
}

function computeThousands(values: readonly number[]): number[] {
  return values.map((value) => value / 1000)
}

function printSlope(
  unit: string,
  [smallest = 0, largest = 0]: readonly number[],
  select: (value: number) => readonly Row[],
): void {
  const computeSlope = (read: (row: Row) => number) =>
    (computeMean(select(largest).map(read)) - computeMean(select(smallest).map(read))) /
    (largest - smallest)
  const ranking = computeSlope((row) => row.ranking.micros)
  const scheduling = computeSlope((row) => row.scheduling.micros)
  console.log(
    `slope a ${unit}: ranking ${ranking.toFixed(4)} µs, scheduling ${scheduling.toFixed(4)} µs`,
  )
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}
