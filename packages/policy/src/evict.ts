import { type AdapterKey, getRankIndex, type Millis, type Rank, RANKS } from "@galenaway/core"
import { computeScore, type LoadCandidate } from "./load.js"
import { estimateArrivals } from "./popularity.js"
import type { SchedulerOrder } from "./scheduler.js"
import { countCopies, type EndpointRow, isAvailable, type SchedulerTables } from "./tables.js"

/**
 * Frees a slot for a load: orders the eviction of the adapter with the lowest value,
 * if that is lower than the score of the candidate. Endpoints where the candidate is
 * resident or suspect are skipped. An adapter isn't evicted while it is granted,
 * suspect or being evicted, shortly after its eviction was blocked, or while requests
 * of a more urgent rank than the candidate's wait for it. Returns whether an eviction
 * was ordered.
 */
export function addEvictionOrder(
  tables: SchedulerTables,
  candidate: LoadCandidate,
  now: Millis,
  orders: SchedulerOrder[],
): boolean {
  const { adapter: adapterToLoad } = candidate.group
  let target: EndpointRow | undefined
  let victim: AdapterKey | undefined
  let lowest = candidate.score
  for (const row of tables.endpoints.values()) {
    if (!isAvailable(row) || row.residents.has(adapterToLoad) || row.suspects.has(adapterToLoad))
      continue
    for (const adapter of row.residents.keys()) {
      if (!canEvict(tables, row, adapter, candidate.rank, now)) continue
      // The copies of an adapter share its requests.
      const value =
        computeValue(tables, adapter, candidate.rank, now) / countCopies(tables, adapter)
      if (value >= lowest) continue
      lowest = value
      target = row
      victim = adapter
    }
  }
  if (!target || victim === undefined) return false
  target.evicting.add(victim)
  orders.push({ kind: "evict", endpoint: target.info.id, adapter: victim })
  return true
}

/** Estimates the value of keeping an adapter. Requests that wait for it count only if some have the rank of the load candidate. */
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
  return !waiting || !RANKS.slice(0, getRankIndex(rank)).some((each) => waiting.byRank[each].length)
}
