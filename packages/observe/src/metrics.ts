import type { Rank } from "@galenaway/core"

/** Durations that are measured by rank, in milliseconds. */
export type RankTiming = "wait" | "first-token" | "between-tokens"
/** Durations that are measured over all ranks, in milliseconds. */
export type Timing = "load" | "stall" | "platform-call" | "tick"
/** Things that are counted by rank. */
export type RankCount = "requests" | "refusals" | "failures" | "cancellations"
/** Things that are counted over all ranks. */
export type Count =
  | "loads"
  | "load-failures"
  | "evictions"
  | "grants"
  | "ownership-changes"
  | "platform-reads"
  | "platform-writes"
  | "platform-watches"
  | "platform-failures"
  | "resumes"
  | "claims"
/** Values that are sampled. */
export type Level = "batch-fill" | "queued" | "running"

/** Takes measurements of one process. It never fails and never waits. */
export interface Metrics {
  timeRank(timing: RankTiming, rank: Rank, ms: number): void
  time(timing: Timing, ms: number): void
  countRank(count: RankCount, rank: Rank): void
  count(count: Count, by?: number): void
  setLevel(level: Level, value: number): void
}
