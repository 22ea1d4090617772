import type { Millis, Rank } from "@galenaway/core"
import type { PolicySettings } from "./settings.js"
import { type EndpointRow, hasCapacity } from "./tables.js"

const DEMAND_HALF_LIFE_MS = 10_000
/** Number of standard deviations above the mean demand to reserve. The variance is taken to equal the mean, as for Poisson arrivals. */
const DEVIATION_COUNT = 2
/** Minimum number of requests for which capacity is reserved. */
const MIN_RESERVE_COUNT = 1

/** Updates the mean of running urgent requests. Call it before their number changes. */
export function updateDemand(row: EndpointRow, now: Millis): void {
  const demand = row.urgentDemand
  const kept = 2 ** ((demand.at - now) / DEMAND_HALF_LIFE_MS)
  demand.mean = demand.mean * kept + row.runningByRank.urgent * (1 - kept)
  demand.at = now
}

/**
 * Computes how much of an endpoint's limit lower ranks must leave free, so that
 * the next urgent requests don't wait for long responses to end. The reserve
 * follows recent urgent demand, up to the urgent rank's floor.
 */
export function computeHeadroom(row: EndpointRow, settings: PolicySettings): number {
  const { mean } = row.urgentDemand
  const demandReserve = Math.max(
    MIN_RESERVE_COUNT,
    Math.ceil(mean + DEVIATION_COUNT * Math.sqrt(mean)),
  )
  const reserve = Math.min(demandReserve, settings.floors.urgent * row.limit)
  return Math.max(0, reserve - row.runningByRank.urgent)
}

/** Returns whether an endpoint may run another request of a rank without using the headroom of the urgent rank. */
export function hasCapacityFor(row: EndpointRow, rank: Rank, settings: PolicySettings): boolean {
  if (rank === "urgent") return hasCapacity(row)
  return row.running.size + 1 + computeHeadroom(row, settings) <= row.limit
}
