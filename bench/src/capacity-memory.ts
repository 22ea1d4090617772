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
const ROW_COUNTS = [200, 500, 940, 2000]
const ADAPTER_COUNTS = [1000, 3000, 20_000, 67_000]
const EVENT_COUNTS = [512, 1024, 2048, 4096]
const CONNECTION_COUNTS = [8, 16, 32, 64]
const FIXED_CLOCK = { now: () => 0, wallNow: () => 1_796_371_200_123 }

setFlagsFromString("--expose-gc")
const collectOnce = runInNewContext("gc") as () => void

/** Measures and prints the memory for each kind of state, for open peer connections and for the metrics. */
export async function printMemory(): Promise<void> {
  const baseMb = process.memoryUsage().rss / BYTES_PER_MB
  console.log(
    `process with the daemon's libraries, before any state: ${baseMb.toFixed(1)} MB resident`,
  )
  printHeap("endpoint view", "bytes an endpoint", ROW_COUNTS, createView)
  printHeap("owner's state", "bytes an endpoint", ROW_COUNTS, createOwner)
  printHeap("held grant", "bytes a grant", ROW_COUNTS, createHeldGrant)
  printHeap("adapter's popularity", "bytes an adapter", ADAPTER_COUNTS, createPopularity)
  printEventHeap()
  const metrics = createMetrics(FIXED_CLOCK)
  console.log(`histograms of the metrics: ${metrics.estimateBytes()} bytes, fixed`)
  console.log(`one exposition of the metrics: ${metrics.formatMetrics().length} bytes`)
  await printConnectionMemory()
}

function printHeap(
  name: string,
  unit: string,
  sizes: readonly number[],
  create: (index: number) => unknown,
): void {
  const measurements = sizes.map((size) => ({
    size,
    value: measureHeap(() => createTable(size, create)),
  }))
  printFit(`${name}, heap`, unit, measurements)
}

function createTable(size: number, create: (index: number) => unknown): Map<string, unknown> {
  return new Map(createList(size, (index) => [copyText(`row-${index}`), create(index)]))
}

/** Measures the heap that a created object retains, in bytes. */
function measureHeap(create: () => unknown): number {
  collectGarbage()
  const before = process.memoryUsage().heapUsed
  const retained = [create()]
  collectGarbage()
  const bytes = process.memoryUsage().heapUsed - before
  // This use of `retained` keeps the object reachable until the second reading.
  return retained.length * bytes
}

function printEventHeap(): void {
  const measurements = EVENT_COUNTS.map((size) => ({
    size,
    value: measureHeap(() => fillRecorder(size)),
  }))
  printFit("time line, heap", "bytes an event", measurements)
}

function fillRecorder(limit: number): unknown {
  const options = {
    instance: formatInstanceId(1),
    dataCentre: "visayas-1",
    clock: FIXED_CLOCK,
    limit,
  }
  const recorder = createRecorder(options)
  for (let index = 0; index < 2 * limit; index++)
    recorder.record({
      kind: "request-granted",
      request: copyText(formatRequestId(index)),
      adapter: createAdapterKey(index),
      endpoint: formatEndpointId(index % 940),
      peer: formatInstanceId(index % 330),
    })
  return recorder
}

async function printConnectionMemory(): Promise<void> {
  const server = await startMeasuredServer("lean")
  const call = createPeerCall(
    (client, request, metadata, done) => client.returnGrants(request, metadata, done),
    { time: undefined, grants: [] },
  )
  const clients: ReturnType<typeof openClient>[] = []
  const [heapKb, residentKb]: [Measurement[], Measurement[]] = [[], []]
  for (const size of [0, ...CONNECTION_COUNTS]) {
    while (clients.length < size) {
      const client = openClient(server.address)
      await call(client)
      clients.push(client)
    }
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS))
    collectGarbage()
    const { heapUsed, external, rss } = process.memoryUsage()
    heapKb.push({ size, value: (heapUsed + external) / 1024 })
    residentKb.push({ size, value: rss / 1024 })
  }
  for (const client of clients) client.close()
  await server.close()
  printFit("peer connection, heap of both ends", "KB a connection", heapKb)
  printFit("peer connection, resident of both ends", "KB a connection", residentKb)
}

function createView(index: number): EndpointView {
  return {
    info: createInfo(index),
    phase: "live",
    owner: copyText(formatIncarnation(index)),
    isReachable: true,
    running: index,
    queued: { urgent: index, standard: 0, bulk: 0 },
    resident: new Set(
      createList(SLOT_COUNT, (slot) => createAdapterKey(index * SLOT_COUNT + slot)),
    ),
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
    adapter: createAdapterKey(index),
    owner: copyText(formatIncarnation(1)),
    epoch: 4711,
  }
  return { grant, holder: copyText(formatIncarnation(index % 330)) }
}

function createPopularity(index: number): unknown {
  return { adapter: createAdapterKey(index), ratePerSecond: index + 0.5, usedAt: index + 0.25 }
}

function createAdapterKey(index: number): AdapterKey {
  return copyText(formatAdapter(index)) as AdapterKey
}

/** Copies a string into a flat one that shares no memory with others, as decoding a message does. */
function copyText(text: string): string {
  return Buffer.from(text).toString()
}

/** Runs the collector twice, since objects with finalizers can survive the first run. */
function collectGarbage(): void {
  collectOnce()
  collectOnce()
}
