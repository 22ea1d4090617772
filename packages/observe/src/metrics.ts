import type { Rank } from "@galenaway/core"

/** Metrics of durations by rank. */
export type RankDurationMetric = "wait" | "first-token" | "between-tokens"
/** Metrics of durations over all ranks. */
export type DurationMetric =
  "load" | "stall" | "platform-call" | "tick" | "expected-completion" | "actual-completion"
/** Metrics that count events by rank. */
export type RankCounterMetric = "requests" | "refusals" | "failures" | "cancellations"
/** Metrics that count events over all ranks. */
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
  | "engine-ends"
  | "cut-answers"
  | "quarantine-refusals"
  | "choices-by-load"
  | "choices-by-completion"
  | "quota-refusals"
  | "quota-outage-refusals"
  | "quota-reports"
  | "unready-periods"
  | "slow-refusals"
  | "overflows"
  | "caller-closes"
  | "body-refusals"
  | "unread-answers"
/** Metrics with a current value. */
export type GaugeMetric =
  | "batch-fill"
  | "queued"
  | "running"
  | "suspected-parts"
  | "quarantined-parts"
  | "own-delay"
  | "processor-use"
  | "caller-connections"
  | "held-bytes"

/**
 * Records the metrics of one process. Its methods don't throw and don't block.
 * Durations are in milliseconds.
 */
export interface Metrics {
  recordRankDuration(metric: RankDurationMetric, rank: Rank, ms: number): void
  recordDuration(metric: DurationMetric, ms: number): void
  countRank(metric: RankCounterMetric, rank: Rank): void
  /** Adds an increment to a counter, by default 1. Increments of 0 and below are ignored. */
  count(metric: CounterMetric, increment?: number): void
  setGauge(metric: GaugeMetric, value: number): void
}
