import { setFlagsFromString } from "node:v8"
import { runInNewContext } from "node:vm"
import type { AdapterKey, EndpointInfo, Grant } from "@galenaway/core"
import { type HeldGrant, type OwnerState, WITNESS_COUNT } from "@galenaway/coordination"
import { createMetrics, createRecorder } from "@galenaway/observe"
import type { EndpointView } from "@galenaway/policy"
import { type Measurement, printFit } from "./capacity-fit.js"
import {
  formatAdapter,
  formatEndpointId,
  formatIncarnation,
  formatInstanceId,
  createList,
  formatRequestId,
  SLOT_COUNT,
} from "./messages-samples.js"
import { createPeerCall, openClient, startMeasuredServer } from "./messages-wire.js"

const BYTES_PER_MB = 1024 * 1024
const SETTLE_MS = 200
const ROW_SIZES = [200, 500, 940, 2000]
const ADAPTER_SIZES = [1000, 3000, 20_000, 67_000]
const EVENT_SIZES = [512, 1024, 2048, 4096]
const CONNECTION_SIZES = [8, 16, 32, 64]
const CLOCK = { now: () => 0, wallNow: () => 1_796_371_200_123 }

setFlagsFromString("--expose-gc")
const runCollector = runInNewContext("gc") as () => void

/** Measures and prints the memory of each kind of row, of open connections and of the metrics. */
export async function printMemory(): Promise<void> {
  const base = process.memoryUsage().rss / BYTES_PER_MB
  console.log(
    `process with the daemon's libraries, before any state: ${base.toFixed(1)} MB resident`,
  )
  printHeap("endpoint view", "bytes an endpoint", ROW_SIZES, createView)
  printHeap("owner's state", "bytes an endpoint", ROW_SIZES, createOwner)
  printHeap("held grant", "bytes a grant", ROW_SIZES, createHeldGrant)
  printHeap("adapter's popularity", "bytes an adapter", ADAPTER_SIZES, createHeat)
  printEvents()
  const metrics = createMetrics(CLOCK)
  console.log(`histograms of the metrics: ${metrics.estimateBytes()} bytes, fixed`)
  console.log(`one exposition of the metrics: ${metrics.formatMetrics().length} bytes`)
  await printConnections()
}

function printHeap(
  name: string,
  unit: string,
  sizes: readonly number[],
  create: (index: number) => unknown,
): void {
  const points = sizes.map((size) => ({
    size,
    value: measureHeap(() => createTable(size, create)),
  }))
  printFit(`${name}, heap`, unit, points)
}

function createTable(size: number, create: (index: number) => unknown): Map<string, unknown> {
  return new Map(createList(size, (index) => [copyText(`row-${index}`), create(index)]))
}

function measureHeap(create: () => unknown): number {
  collectGarbage()
  const before = process.memoryUsage().heapUsed
  const kept = [create()]
  collectGarbage()
  const bytes = process.memoryUsage().heapUsed - before
  return kept.length * bytes
}

function printEvents(): void {
  const points = EVENT_SIZES.map((size) => ({ size, value: measureHeap(() => fillRecorder(size)) }))
  printFit("time line, heap", "bytes an event", points)
}

function fillRecorder(limit: number): unknown {
  const options = { instance: formatInstanceId(1), dataCentre: "visayas-1", clock: CLOCK, limit }
  const recorder = createRecorder(options)
  for (let index = 0; index < 2 * limit; index++)
    recorder.record({
      kind: "request-granted",
      request: copyText(formatRequestId(index)),
      adapter: createKey(index),
      endpoint: formatEndpointId(index % 940),
      peer: formatInstanceId(index % 330),
    })
  return recorder
}

async function printConnections(): Promise<void> {
  const wire = await startMeasuredServer("lean")
  const call = createPeerCall(
    (client, request, metadata, done) => client.returnGrants(request, metadata, done),
    { time: undefined, grants: [] },
  )
  const clients: ReturnType<typeof openClient>[] = []
  const [heap, resident]: [Measurement[], Measurement[]] = [[], []]
  for (const size of [0, ...CONNECTION_SIZES]) {
    while (clients.length < size) {
      const client = openClient(wire.address)
      await call(client)
      clients.push(client)
    }
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS))
    collectGarbage()
    const { heapUsed, external, rss } = process.memoryUsage()
    heap.push({ size, value: (heapUsed + external) / 1024 })
    resident.push({ size, value: rss / 1024 })
  }
  for (const client of clients) client.close()
  await wire.close()
  printFit("peer connection, heap of both ends", "KB a connection", heap)
  printFit("peer connection, resident of both ends", "KB a connection", resident)
}

function createView(index: number): EndpointView {
  return {
    info: createInfo(index),
    phase: "live",
    owner: copyText(formatIncarnation(index)),
    isReachable: true,
    running: index,
    queued: { urgent: index, standard: 0, bulk: 0 },
    resident: new Set(createList(SLOT_COUNT, (slot) => createKey(index * SLOT_COUNT + slot))),
    loading: new Set(),
    seenAt: index + 0.5,
  }
}

function createInfo(index: number): EndpointInfo {
  return {
    id: copyText(formatEndpointId(index)),
    kind: "engine",
    dataCentre: "visayas-1",
    url: copyText(`http://10.0.${index}.7:8000`),
    fencing: "checked",
    slots: SLOT_COUNT,
    capacity: 32,
  }
}

function createOwner(index: number): OwnerState {
  const owner = copyText(formatIncarnation(index))
  const endpoint = copyText(formatEndpointId(index))
  return {
    endpoint,
    fencing: "checked",
    ownership: {
      endpoint,
      owner,
      epoch: index,
      witnesses: createList(WITNESS_COUNT, formatIncarnation),
      predecessors: [],
    },
    phase: "active",
    pendingReports: new Set(),
    earlyReturns: new Set(),
    predecessors: new Map(),
    isFenced: true,
    isWitnessLost: false,
    pendingBriefings: new Set(),
    grants: new Map(),
    evictions: new Map(),
    unresolved: new Map(),
    announcementCount: index,
    suspects: new Set(),
  }
}

function createHeldGrant(index: number): HeldGrant {
  const grant: Grant = {
    id: copyText(`4711.${index}`),
    request: copyText(formatRequestId(index)),
    endpoint: copyText(formatEndpointId(index % 3)),
    adapter: createKey(index),
    owner: copyText(formatIncarnation(1)),
    epoch: 4711,
  }
  return { grant, holder: copyText(formatIncarnation(index % 330)) }
}

function createHeat(index: number): unknown {
  return { adapter: createKey(index), ratePerSecond: index + 0.5, usedAt: index + 0.25 }
}

function createKey(index: number): AdapterKey {
  return copyText(formatAdapter(index)) as AdapterKey
}

/** Makes a flat text of its own, as decoding a message does. */
function copyText(text: string): string {
  return Buffer.from(text).toString()
}

/** Runs twice, since the first run can leave what finalizers hold. */
function collectGarbage(): void {
  runCollector()
  runCollector()
}
