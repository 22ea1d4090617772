import { build, type Histogram } from "hdr-histogram-js"
import { Agent } from "undici"
import { IdempotentRunner, type ClaimStore, type RecordedAnswer } from "@galenaway/claims"
import { systemClock } from "@galenaway/core"
import { ConsulPlatform, waitMs } from "@galenaway/daemon"
import { startPlatform } from "@galenaway/fakes"

/**
 * Measures the cost of claims for each booking: calls to the platform and added
 * time, by the number of concurrent callers. Compares claims that are written
 * in groups with claims of one stored value for each key. The platform is the
 * stand-in on loopback. The endpoint answers at once, so that only the claims
 * take time.
 */
const CALLERS = [1, 8, 64]
const CALLS_PER_CALLER = 25
const MIN_CALL_COUNT = 200
const MICROS_PER_MS = 1000
const MAX_TRACKED_MICROS = 60_000_000
const PLATFORM_DELAY_MS = 2
const DRAIN_MS = 30_000
const ANSWER: RecordedAnswer = { status: 200, body: '{"ok":true}' }

/** Runs calls once for each idempotency key. */
interface Runner {
  runOnce(key: string, send: () => Promise<RecordedAnswer>): Promise<unknown>
  /** Waits until every answer is recorded. */
  drain(): Promise<unknown>
}

interface Variant {
  readonly name: string
  readonly instances: number
  readonly create: (platform: ClaimStore, author: string) => Runner
}

interface Row {
  readonly variant: string
  readonly callers: number
  /** Writes to the platform for each call. */
  readonly writes: number
  /** Reads from the platform for each call. */
  readonly reads: number
  readonly p50Ms: number
  readonly p99Ms: number
  readonly callsPerSecond: number
}

const VARIANTS: readonly Variant[] = [
  { name: "one value a key", instances: 1, create: createSingleRunner },
  { name: "groups, 4 shards", instances: 1, create: createGroupedRunner(4) },
  { name: "groups, 8 shards", instances: 1, create: createGroupedRunner(8) },
  { name: "one value a key, 4 instances", instances: 4, create: createSingleRunner },
  { name: "groups, 4 shards, 4 instances", instances: 4, create: createGroupedRunner(4) },
  { name: "groups, 8 shards, 4 instances", instances: 4, create: createGroupedRunner(8) },
  { name: "groups, 16 shards, 4 instances", instances: 4, create: createGroupedRunner(16) },
]

const rows: Row[] = []
for (const variant of VARIANTS)
  for (const callers of CALLERS) rows.push(await measure(variant, callers))
printRows(rows)

async function measure(variant: Variant, callers: number): Promise<Row> {
  const calls = Math.max(MIN_CALL_COUNT, callers * CALLS_PER_CALLER)
  const platform = await startPlatform()
  const agent = new Agent()
  try {
    platform.faults.delayMs = PLATFORM_DELAY_MS
    const authors = Array.from({ length: variant.instances }, (_, index) => `entry-${index}:run`)
    const store = new ConsulPlatform(platform.url, agent)
    const runners = authors.map((author) => variant.create(store, author))
    const addedMicros = build({ highestTrackableValue: MAX_TRACKED_MICROS })
    const start = performance.now()
    await runCallers(runners, callers, calls, addedMicros)
    const durationMs = performance.now() - start
    await Promise.all(runners.map((runner) => runner.drain()))
    const { writes, reads } = platform.counters
    return {
      variant: variant.name,
      callers,
      writes: writes / calls,
      reads: reads / calls,
      p50Ms: addedMicros.getValueAtPercentile(50) / MICROS_PER_MS,
      p99Ms: addedMicros.getValueAtPercentile(99) / MICROS_PER_MS,
      callsPerSecond: (calls / durationMs) * 1000,
    }
  } finally {
    await agent.close()
    await platform.close()
  }
}

async function runCallers(
  runners: readonly Runner[],
  callers: number,
  calls: number,
  addedMicros: Histogram,
): Promise<void> {
  let remainingCalls = calls
  const runCaller = async (index: number) => {
    const runner = runners[index % runners.length]
    while (runner && remainingCalls-- > 0) {
      const start = performance.now()
      await runner.runOnce(`key-${remainingCalls}`, () => Promise.resolve(ANSWER))
      addedMicros.recordValue(Math.round((performance.now() - start) * MICROS_PER_MS))
    }
  }
  await Promise.all(Array.from({ length: callers }, (_, index) => runCaller(index)))
}

function createGroupedRunner(shards: number) {
  return (platform: ClaimStore, author: string): Runner => {
    const options = { platform, author, clock: systemClock, wait: waitMs, limits: { shards } }
    const runner = new IdempotentRunner(options)
    return {
      runOnce: (key, send) => runner.runOnce({ operation: "bookings", key, body: "{}" }, send),
      drain: () => runner.drain(DRAIN_MS),
    }
  }
}

/** Creates a runner that writes one value for each key before the call, and again in the background after it. */
function createSingleRunner(platform: ClaimStore, author: string): Runner {
  const pendingWrites = new Set<Promise<void>>()
  const recordAnswer = async (path: string, answer: RecordedAnswer) => {
    const current = await platform.read(path)
    await platform.compareAndSwap(path, current?.revision ?? 0, JSON.stringify(answer))
  }
  return {
    runOnce: async (key, send) => {
      const path = `single/${key}`
      await platform.compareAndSwap(path, 0, JSON.stringify({ state: "claimed", author }))
      const answer = await send()
      const recording = recordAnswer(path, answer).finally(() => pendingWrites.delete(recording))
      pendingWrites.add(recording)
      return answer
    },
    drain: () => Promise.all(pendingWrites),
  }
}

function printRows(rows: readonly Row[]): void {
  console.log(
    `${CALLS_PER_CALLER} bookings a caller, the platform answers in ${PLATFORM_DELAY_MS} ms`,
  )
  const head = ["variant", "callers", "writes", "reads", "p50 ms", "p99 ms", "bookings/s"]
  const cells = rows.map((row) => [
    row.variant,
    String(row.callers),
    row.writes.toFixed(2),
    row.reads.toFixed(2),
    row.p50Ms.toFixed(1),
    row.p99Ms.toFixed(1),
    row.callsPerSecond.toFixed(0),
  ])
  const widths = head.map((title, column) =>
    Math.max(title.length, ...cells.map((row) => row[column]?.length ?? 0)),
  )
  for (const row of [head, ...cells])
    console.log(row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  "))
}
