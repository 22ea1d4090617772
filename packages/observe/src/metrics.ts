import type { Rank } from "@galenaway/core"

/** Durations that are measured by rank, in milliseconds. */
export type RankDurationMetric = "wait" | "first-token" | "between-tokens"
/** Durations that are measured over all ranks, in milliseconds. */
export type DurationMetric = "load" | "stall" | "platform-call" | "tick"
/** Things that are counted by rank. */
export type RankCounterMetric = "requests" | "refusals" | "failures" | "cancellations"
/** Things that are counted over all ranks. */
export type CounterMetric =
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
export type GaugeMetric = "batch-fill" | "queued" | "running"

/** Takes measurements of one process. It never fails and never waits. */
export interface Metrics {
  recordRankDuration(timing: RankDurationMetric, rank: Rank, ms: number): void
  recordDuration(timing: DurationMetric, ms: number): void
  countRank(count: RankCounterMetric, rank: Rank): void
  count(count: CounterMetric, by?: number): void
  setGauge(level: GaugeMetric, value: number): void
}
