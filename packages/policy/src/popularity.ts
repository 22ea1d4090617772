import type { AdapterKey, ByRank, Millis, Rank } from "@galenaway/core"
import type { DecayedCount, SchedulerTables } from "./tables.js"

const HALF_LIFE_MS = 60_000
/** Time span over which the value of a slot is estimated. */
const HORIZON_MS = 10_000
/** Weight of a request by rank. Bulk requests weigh less because they can wait until one load serves several of them. */
const WEIGHTS: ByRank<number> = { urgent: 1, standard: 1, bulk: 0.25 }
/** Decayed count below which an entry is removed when the table is full. */
const MIN_KEPT_COUNT = 0.05
const MAX_ENTRY_COUNT = 4096

/** Counts one request for an adapter, weighted by its rank. */
export function addPopularity(
  tables: SchedulerTables,
  adapter: AdapterKey,
  rank: Rank,
  now: Millis,
): void {
  const weight = WEIGHTS[rank]
  const entry = tables.popularity.get(adapter)
  if (entry) {
    entry.count = computeDecayed(entry, now) + weight
    entry.at = now
    return
  }
  if (tables.popularity.size >= MAX_ENTRY_COUNT) removeStale(tables, now)
  tables.popularity.set(adapter, { count: weight, at: now })
}

/** Estimates how many requests for an adapter arrive within the next {@link HORIZON_MS}. */
export function estimateArrivals(
  tables: SchedulerTables,
  adapter: AdapterKey,
  now: Millis,
): number {
  const entry = tables.popularity.get(adapter)
  return entry ? (computeDecayed(entry, now) * Math.LN2 * HORIZON_MS) / HALF_LIFE_MS : 0
}

function computeDecayed(entry: DecayedCount, now: Millis): number {
  return entry.count * 2 ** ((entry.at - now) / HALF_LIFE_MS)
}

/** Removes decayed entries. Removes the older half if the table is still full, so that it stays bounded. */
function removeStale(tables: SchedulerTables, now: Millis): void {
  for (const [adapter, entry] of tables.popularity)
    if (computeDecayed(entry, now) < MIN_KEPT_COUNT) tables.popularity.delete(adapter)
  if (tables.popularity.size < MAX_ENTRY_COUNT) return
  const byAge = [...tables.popularity].sort(([, a], [, b]) => a.at - b.at)
  for (const [adapter] of byAge.slice(0, MAX_ENTRY_COUNT / 2)) tables.popularity.delete(adapter)
}
