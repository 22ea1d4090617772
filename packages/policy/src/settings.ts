import type { ByRank } from "@galenaway/core"

/** The part of the configuration that controls scheduling. */
export interface PolicySettings {
  /** Share of capacity, 0 to 1, guaranteed to each rank when other ranks overload an engine. The sum is at most 1. */
  readonly floors: ByRank<number>
  /** Target time to the first token, in milliseconds. */
  readonly targetMs: ByRank<number>
  /** Maximum number of requests of a rank that wait at one owner. */
  readonly queueLimit: ByRank<number>
  readonly loads: LoadLimits
  /** Maximum retries as a share of the requests, 0 to 1. */
  readonly retryShare: number
}

/** Limits of the weight store, for the whole fleet. */
export interface LoadLimits {
  readonly ratePerSecond: number
  /** Number of loads that can run at once at full speed. */
  readonly burst: number
  /** Number of loads in transit, over all engines, above which each load takes longer. */
  readonly inTransit: number
  /** Expected time of a load in milliseconds. */
  readonly loadMs: number
}

/** The default policy. Its load limits are those of the weight stores of the two deployments. */
export const DEFAULT_POLICY: PolicySettings = {
  floors: { urgent: 0.4, standard: 0.2, bulk: 0.1 },
  targetMs: { urgent: 1400, standard: 10_000, bulk: 300_000 },
  queueLimit: { urgent: 512, standard: 1024, bulk: 4096 },
  loads: { ratePerSecond: 7, burst: 3, inTransit: 24, loadMs: 250 },
  retryShare: 0.1,
}
