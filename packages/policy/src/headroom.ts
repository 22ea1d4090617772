import type { Millis, Rank } from "@galenaway/core"
import type { PolicySettings } from "./settings.js"
import { type EndpointRow, hasCapacity } from "./tables.js"

const DEMAND_HALF_LIFE_MS = 10_000
const DEVIATION_COUNT = 2
const MIN_RESERVE_COUNT = 1

/** Takes the urgent requests that run now into the mean. It is called before their number changes. */
export function updateDemand(row: EndpointRow, now: Millis): void {
  const demand = row.urgentDemand
  const kept = 2 ** ((demand.at - now) / DEMAND_HALF_LIFE_MS)
  demand.mean = demand.mean * kept + row.runningByRank.urgent * (1 - kept)
  demand.at = now
}

/**
 * Computes how many places of an endpoint lower ranks leave free, so that the
 * next urgent requests needn't wait for long answers to end. It follows the
 * demand of late, up to the urgent rank's floor.
 */
export function computeHeadroom(row: EndpointRow, settings: PolicySettings): number {
  const { mean } = row.urgentDemand
  const wanted = Math.max(MIN_RESERVE_COUNT, Math.ceil(mean + DEVIATION_COUNT * Math.sqrt(mean)))
  const reserve = Math.min(wanted, settings.floors.urgent * row.limit)
  return Math.max(0, reserve - row.runningByRank.urgent)
}

/** Tells whether an endpoint may run one request more of a rank without touching the urgent rank's headroom. */
export function hasCapacityFor(row: EndpointRow, rank: Rank, settings: PolicySettings): boolean {
  if (rank === "urgent") return hasCapacity(row)
  return row.running.size + 1 + computeHeadroom(row, settings) <= row.limit
}
