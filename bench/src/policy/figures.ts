import { type ByRank, type Rank, RANKS } from "@galenaway/core"
import { BATCH_LIMIT } from "./engine.js"
import { BASELINE_MS, DISTURBED_MS } from "./workload.js"
import type { RequestRecord, World } from "./world.js"

const PERCENT = 100
const MS_PER_SECOND = 1000

/** Results of one run. Shares are in percent. */
export interface Figures {
  /** Share of the requests arriving in the disturbed time whose first token came within the target. */
  readonly onTime: ByRank<number>
  /** Rate of completed answers in the disturbed time, relative to the time before it. */
  readonly relativeThroughput: ByRank<number>
  /** A rank's share of the tokens of the answers that were completed in the disturbed time. */
  readonly tokenShare: ByRank<number>
  /** Requests that waited for their adapter to be loaded, or were never sent to an engine. */
  readonly stalls: number
  /** Mean time of these waits, in milliseconds. */
  readonly stallMs: number
  readonly urgentStalls: number
  readonly urgentStallMs: number
  /** Tokens generated in the disturbed time, as a share of those of full batches in the same steps. */
  readonly batchFill: number
  readonly refused: number
  readonly loads: number
  /** Loads that failed or served no request. */
  readonly wastedLoads: number
  readonly evictionsInUse: number
  readonly maxInTransit: number
}

/** Computes the figures of a finished run. */
export function computeFigures(world: World, batchFill: number): Figures {
  const records = [...world.records.values()]
  for (const record of records) recordUnsentStall(record, world.simulation.now)
  const stalled = records.filter(({ stalledMs }) => stalledMs !== undefined)
  const urgentStalled = stalled.filter(({ request }) => request.rank === "urgent")
  const counters = [...world.engines.values()].map((engine) => engine.counters)
  const sum = (select: (counter: (typeof counters)[number]) => number) =>
    counters.reduce((total, counter) => total + select(counter), 0)
  const tokens = mapRanks((rank) => sumTokens(records, rank))
  const allTokens = RANKS.reduce((total, rank) => total + tokens[rank], 0)
  return {
    onTime: mapRanks((rank) => computeOnTime(records, rank)),
    relativeThroughput: mapRanks((rank) => computeRelativeThroughput(records, rank)),
    tokenShare: mapRanks((rank) => (PERCENT * tokens[rank]) / Math.max(1, allTokens)),
    stalls: stalled.length,
    stallMs: computeMean(stalled),
    urgentStalls: urgentStalled.length,
    urgentStallMs: computeMean(urgentStalled),
    batchFill,
    refused: records.filter(
      ({ refusedAt, doneAt }) => refusedAt !== undefined && doneAt === undefined,
    ).length,
    loads: sum((counter) => counter.loads + counter.failedLoads),
    wastedLoads: sum((counter) => counter.failedLoads + counter.unusedLoads),
    evictionsInUse: sum((counter) => counter.evictionsInUse),
    maxInTransit: world.store.maxInTransit,
  }
}

/** Total work of all engines up to a point in time. */
export interface EngineOutput {
  readonly tokens: number
  readonly steps: number
}

/** Sums the tokens and steps of all engines up to now. */
export function sumEngineOutput(world: World): EngineOutput {
  let tokens = 0
  let steps = 0
  for (const { counters } of world.engines.values()) {
    tokens += counters.tokens
    steps += counters.steps
  }
  return { tokens, steps }
}

/** Computes the mean fill of the batches between two points in time, in percent. */
export function computeBatchFill(start: EngineOutput, end: EngineOutput): number {
  return (PERCENT * (end.tokens - start.tokens)) / (BATCH_LIMIT * (end.steps - start.steps))
}

/**
 * Counts the wait of a request that was never sent to an engine as a stall,
 * until it was refused or the run ended.
 */
function recordUnsentStall(record: RequestRecord, end: number): void {
  if (record.sentAt === undefined)
    record.stalledMs ??= (record.refusedAt ?? end) - record.request.arrivedAt
}

function mapRanks(compute: (rank: Rank) => number): ByRank<number> {
  return { urgent: compute("urgent"), standard: compute("standard"), bulk: compute("bulk") }
}

function computeOnTime(records: readonly RequestRecord[], rank: Rank): number {
  const arrivals = records.filter(
    ({ request }) =>
      request.rank === rank &&
      request.arrivedAt >= DISTURBED_MS.start &&
      request.arrivedAt < DISTURBED_MS.end,
  )
  const onTime = arrivals.filter(
    ({ request, firstTokenAt }) => (firstTokenAt ?? Infinity) <= request.deadline,
  )
  return (PERCENT * onTime.length) / arrivals.length
}

function computeRelativeThroughput(records: readonly RequestRecord[], rank: Rank): number {
  const baselineRate = computeRate(records, rank, BASELINE_MS)
  return (PERCENT * computeRate(records, rank, DISTURBED_MS)) / baselineRate
}

function computeRate(
  records: readonly RequestRecord[],
  rank: Rank,
  { start, end }: typeof BASELINE_MS,
): number {
  const answered = records.filter(
    ({ request, doneAt }) =>
      request.rank === rank && doneAt !== undefined && doneAt >= start && doneAt < end,
  )
  return (MS_PER_SECOND * answered.length) / (end - start)
}

function sumTokens(records: readonly RequestRecord[], rank: Rank): number {
  let tokens = 0
  for (const { request, doneAt } of records) {
    if (request.rank !== rank || doneAt === undefined) continue
    if (doneAt >= DISTURBED_MS.start && doneAt < DISTURBED_MS.end) tokens += request.maxTokens
  }
  return tokens
}

function computeMean(records: readonly RequestRecord[]): number {
  const total = records.reduce((sum, { stalledMs }) => sum + (stalledMs ?? 0), 0)
  return records.length === 0 ? 0 : total / records.length
}
