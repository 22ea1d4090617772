import { type AdapterKey, getRankOrder, type Millis, type Rank, RANKS } from "@galenaway/core"
import { computeScore, type LoadCandidate } from "./load.js"
import { estimateArrivals } from "./popularity.js"
import type { SchedulerOrder } from "./scheduler.js"
import { countCopies, type EndpointRow, isAvailable, type SchedulerTables } from "./tables.js"

/**
 * Orders the eviction of the adapter that is worth least, and less than the
 * wanted one, on an endpoint that doesn't hold that. It never takes an adapter
 * that is granted, suspect, on its way, or waited for by a more urgent rank.
 * Returns whether there was one.
 */
export function addEvictionOrder(
  tables: SchedulerTables,
  wanted: LoadCandidate,
  now: Millis,
  orders: SchedulerOrder[],
): boolean {
  const { adapter: key } = wanted.group
  let place: EndpointRow | undefined
  let victim: AdapterKey | undefined
  let lowest = wanted.score
  for (const row of tables.endpoints.values()) {
    if (!isAvailable(row) || row.residents.has(key) || row.suspects.has(key)) continue
    for (const adapter of row.residents.keys()) {
      if (!canEvict(tables, row, adapter, wanted.rank, now)) continue
      // Copies share the requests of their adapter.
      const worth = computeValue(tables, adapter, wanted.rank, now) / countCopies(tables, adapter)
      if (worth >= lowest) continue
      lowest = worth
      place = row
      victim = adapter
    }
  }
  if (!place || victim === undefined) return false
  place.evicting.add(victim)
  orders.push({ kind: "evict", endpoint: place.info.id, adapter: victim })
  return true
}

/** Requests that wait for the victim count when they are as urgent as the wanted ones. */
function computeValue(
  tables: SchedulerTables,
  adapter: AdapterKey,
  rank: Rank,
  now: Millis,
): number {
  const group = tables.queue.byAdapter.get(adapter)
  if (!group || group.byRank[rank].length === 0) return estimateArrivals(tables, adapter, now)
  return computeScore(tables, group, rank, now)
}

function canEvict(
  tables: SchedulerTables,
  row: EndpointRow,
  adapter: AdapterKey,
  rank: Rank,
  now: Millis,
): boolean {
  const resident = row.residents.get(adapter)
  if (!resident || resident.running > 0) return false
  if (row.evicting.has(adapter) || row.suspects.has(adapter)) return false
  if ((row.blockedUntil.get(adapter) ?? 0) > now) return false
  const waiting = tables.queue.byAdapter.get(adapter)
  return !waiting || !RANKS.slice(0, getRankOrder(rank)).some((one) => waiting.byRank[one].length)
}
