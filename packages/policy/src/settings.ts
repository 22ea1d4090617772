import type { ByRank } from "@galenaway/core"

/** The part of the configuration that decides how work is scheduled. */
export interface PolicySettings {
  /** The share of capacity, 0 to 1, that each rank keeps under a flood of any other. Their sum is at most 1. */
  readonly floors: ByRank<number>
  /** Time to the first token that is aimed at, in milliseconds. */
  readonly targetMs: ByRank<number>
  /** Requests of a rank that wait at one owner at most. */
  readonly queueLimit: ByRank<number>
  readonly loads: LoadLimits
  /** Share of requests, 0 to 1, that may be retried. */
  readonly retryShare: number
}

/** Limits of the weight store for the whole fleet. */
export interface LoadLimits {
  readonly ratePerSecond: number
  /** Loads that run at once at full speed. */
  readonly burst: number
  /** Loads in transit, over all engines, before each takes longer. */
  readonly inTransit: number
  /** Expected time of a load in milliseconds. */
  readonly loadMs: number
}

/** The defaults, with the numbers of the two deployments' stores. */
export const DEFAULT_POLICY: PolicySettings = {
  floors: { urgent: 0.4, standard: 0.2, bulk: 0.1 },
  targetMs: { urgent: 1400, standard: 10_000, bulk: 300_000 },
  queueLimit: { urgent: 512, standard: 1024, bulk: 4096 },
  loads: { ratePerSecond: 7, burst: 3, inTransit: 24, loadMs: 250 },
  retryShare: 0.1,
}
