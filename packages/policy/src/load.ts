import { type AdapterKey, type Millis, RANKS } from "@galenaway/core"
import { getPopularity } from "./popularity.js"
import type { AdapterQueue } from "./queue.js"
import type { SchedulerOrder } from "./scheduler.js"
import { countSlots, type EndpointRow, isOpen, type SchedulerTables } from "./tables.js"

const MS_PER_SECOND = 1000

/** Orders loads for waiting requests, and the evictions that make room, within this owner's share of the budget. */
export function runLoads(tables: SchedulerTables, now: Millis, orders: SchedulerOrder[]): void {
  refillBudget(tables, now)
  const evicting = countAll(tables, (row) => row.evicting.size)
  let budget = Math.min(
    Math.floor(tables.loadBudget.tokens),
    tables.share.inTransit - countAll(tables, (row) => row.loading.size),
  )
  if (budget <= 0 || tables.queue.byId.size === 0) return
  let spare = budget - evicting
  for (const group of listCold(tables, now)) {
    if (budget <= 0) return
    const row = findFreeRow(tables)
    if (row) {
      orderLoad(tables, row, group.adapter, now, orders)
      budget--
      spare--
    } else if (spare > 0 && orderEviction(tables, now, orders)) spare--
    else return
  }
}

function refillBudget({ loadBudget, share }: SchedulerTables, now: Millis): void {
  const elapsed = loadBudget.at === undefined ? Infinity : now - loadBudget.at
  loadBudget.at = now
  const refill = share.ratePerSecond === 0 ? 0 : (elapsed * share.ratePerSecond) / MS_PER_SECOND
  loadBudget.tokens = Math.min(share.burst, loadBudget.tokens + refill)
}

function countAll(tables: SchedulerTables, count: (row: EndpointRow) => number): number {
  let sum = 0
  for (const row of tables.endpoints.values()) sum += count(row)
  return sum
}

/** Lists waiting adapters that are neither resident nor loading, the most urgent and earliest first. */
function listCold(tables: SchedulerTables, now: Millis): AdapterQueue[] {
  const cold = [...tables.queue.byAdapter.values()].filter((group) => isWanted(tables, group, now))
  return cold.sort(compareGroups)
}

function isWanted(tables: SchedulerTables, { adapter }: AdapterQueue, now: Millis): boolean {
  const backoff = tables.backoffs.get(adapter)
  if (backoff && backoff.retryAt > now) return false
  for (const row of tables.endpoints.values())
    if (isOpen(row) && (row.residents.has(adapter) || row.loading.has(adapter))) return false
  return true
}

function compareGroups(a: AdapterQueue, b: AdapterQueue): number {
  for (const rank of RANKS) {
    const [first, second] = [a.byRank[rank][0], b.byRank[rank][0]]
    if (first && second) return first.deadline - second.deadline
    if (first) return -1
    if (second) return 1
  }
  return 0
}

function findFreeRow(tables: SchedulerTables): EndpointRow | undefined {
  let best: EndpointRow | undefined
  for (const row of tables.endpoints.values()) {
    if (!isOpen(row) || countSlots(row) >= row.info.slots) continue
    if (!best || row.running.size / row.limit < best.running.size / best.limit) best = row
  }
  return best
}

function orderLoad(
  tables: SchedulerTables,
  row: EndpointRow,
  adapter: AdapterKey,
  now: Millis,
  orders: SchedulerOrder[],
): void {
  row.loading.set(adapter, now)
  tables.loadBudget.tokens--
  orders.push({ kind: "load", endpoint: row.info.id, adapter })
}

function orderEviction(tables: SchedulerTables, now: Millis, orders: SchedulerOrder[]): boolean {
  let place: EndpointRow | undefined
  let victim: AdapterKey | undefined
  let lowest = Infinity
  for (const row of tables.endpoints.values()) {
    if (!isOpen(row)) continue
    for (const adapter of row.residents.keys()) {
      if (!canEvict(tables, row, adapter, now)) continue
      const worth = getPopularity(tables, adapter, now)
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

function canEvict(
  tables: SchedulerTables,
  row: EndpointRow,
  adapter: AdapterKey,
  now: Millis,
): boolean {
  const resident = row.residents.get(adapter)
  if (!resident || resident.running > 0) return false
  if (row.evicting.has(adapter) || row.suspects.has(adapter)) return false
  if ((row.blockedUntil.get(adapter) ?? 0) > now) return false
  return !tables.queue.byAdapter.has(adapter)
}
