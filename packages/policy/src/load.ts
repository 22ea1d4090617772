import { type AdapterKey, type Millis, type Rank, RANKS } from "@galenaway/core"
import { addEvictionOrder } from "./evict.js"
import { hasCapacityFor } from "./headroom.js"
import { estimateArrivals } from "./popularity.js"
import type { AdapterQueue } from "./queue.js"
import type { SchedulerOrder } from "./scheduler.js"
import { countSlots, type EndpointRow, isAvailable, type SchedulerTables } from "./tables.js"

const MS_PER_SECOND = 1000
/** Minimum interval between scans of waiting adapters. */
const SCAN_INTERVAL_MS = 5
/** Minimum interval between bulk loads, in units of the budget's refill interval, while there are urgent loads. */
const BULK_SPACING_FACTOR = 2
/** Maximum number of adapters for which one run searches for a slot. */
const TRIES_PER_RUN_COUNT = 8
/** Decayed count of urgent loads below which bulk loads need no spacing. */
const FEW_LOADS_COUNT = 0.5
/** Time left until the deadline, as a share of the target, below which a request's weight no longer grows. */
const MIN_SLACK_SHARE = 0.05
/** Number of waiting bulk requests up to which their loads need no spacing. */
const FEW_BULK_REQUESTS_COUNT = 16
/** The ranks' shares of loads are averaged over about this many loads. */
const LOAD_MEMORY_COUNT = 16

/** An adapter with waiting requests that should be loaded. */
export interface LoadCandidate {
  readonly group: AdapterQueue
  /** The most urgent rank among its waiting requests. */
  readonly rank: Rank
  /** Weighted number of requests that the load would serve: those that wait and those expected soon. */
  readonly score: number
}

/**
 * Orders loads for waiting requests, and the evictions that they require, within
 * this owner's share of the load budget. All requests for an adapter wait for the
 * same load.
 */
export function runLoads(tables: SchedulerTables, now: Millis, orders: SchedulerOrder[]): void {
  updateBudget(tables, now)
  const loading = sumEndpoints(tables, (row) => row.loading.size)
  let budget = Math.min(Math.floor(tables.loadBudget.tokens), tables.share.inTransit - loading)
  if (budget <= 0 || tables.queue.byId.size === 0) return
  if (now < tables.loadBudget.scanAt && tables.redirectable.length === 0) return
  let evictionBudget = budget - sumEndpoints(tables, (row) => row.evicting.size)
  const candidates = listLoadCandidates(tables, now)
  tables.loadBudget.scanAt = now + SCAN_INTERVAL_MS
  for (let tries = 0; budget > 0 && tries < TRIES_PER_RUN_COUNT; tries++) {
    const next = chooseCandidate(tables, candidates)
    if (!next) return
    candidates.delete(next)
    const { adapter } = next.group
    const row = findFreeRow(tables, adapter)
    if (row) {
      addLoadOrder(tables, row, next, now, orders)
      budget--
      evictionBudget--
    } else if (evictionBudget <= 0) return
    else if (addEvictionOrder(tables, next, now, orders)) evictionBudget--
  }
}

function updateBudget({ loadBudget, share }: SchedulerTables, now: Millis): void {
  const elapsed = loadBudget.at === undefined ? Infinity : now - loadBudget.at
  loadBudget.at = now
  const refill = share.ratePerSecond === 0 ? 0 : (elapsed * share.ratePerSecond) / MS_PER_SECOND
  loadBudget.tokens = Math.min(share.burst, loadBudget.tokens + refill)
}

function sumEndpoints(tables: SchedulerTables, count: (row: EndpointRow) => number): number {
  let sum = 0
  for (const row of tables.endpoints.values()) sum += count(row)
  return sum
}

function listLoadCandidates(tables: SchedulerTables, now: Millis): Set<LoadCandidate> {
  const candidates = new Set<LoadCandidate>()
  const isBulkAllowed = canLoadBulk(tables, now)
  for (const group of tables.queue.byAdapter.values()) {
    const rank = findRank(group)
    if (rank === undefined || (rank === "bulk" && !isBulkAllowed)) continue
    if (shouldLoad(tables, group, rank, now))
      candidates.add({ group, rank, score: computeScore(tables, group, rank, now) })
  }
  return candidates
}

/** Finds the most urgent rank with a request waiting for an adapter. */
function findRank({ byRank }: AdapterQueue): Rank | undefined {
  return RANKS.find((rank) => byRank[rank].length > 0)
}

/** Returns whether a bulk load may start. Bulk loads are spaced out while there are urgent loads and many bulk requests wait, so that an urgent request finds unused load budget. */
function canLoadBulk(tables: SchedulerTables, now: Millis): boolean {
  const { loadBudget, loadsByRank, queue, share } = tables
  if (loadsByRank.urgent < FEW_LOADS_COUNT || queue.byRank.bulk.length <= FEW_BULK_REQUESTS_COUNT)
    return true
  return now - loadBudget.usedAt >= (BULK_SPACING_FACTOR * MS_PER_SECOND) / share.ratePerSecond
}

/**
 * Returns whether to load an adapter: it is cold, or its requests have waited for
 * longer than a load takes while another endpoint has free capacity.
 */
function shouldLoad(
  tables: SchedulerTables,
  { adapter, byRank }: AdapterQueue,
  rank: Rank,
  now: Millis,
): boolean {
  const backoff = tables.backoffs.get(adapter)
  if (backoff && backoff.retryAt > now) return false
  let isResident = false
  let hasCapacityElsewhere = false
  for (const row of tables.endpoints.values()) {
    if (!isAvailable(row)) continue
    if (row.loading.has(adapter)) return false
    if (row.residents.has(adapter)) isResident = true
    else if (hasCapacityFor(row, rank, tables.settings)) hasCapacityElsewhere = true
  }
  if (!isResident) return true
  const waitedMs = now - (byRank[rank][0]?.arrivedAt ?? now)
  return hasCapacityElsewhere && waitedMs > tables.settings.loads.loadMs
}

/** Estimates the value of a slot for a waiting adapter. It grows as the earliest deadline approaches. */
export function computeScore(
  tables: SchedulerTables,
  { adapter, byRank }: AdapterQueue,
  rank: Rank,
  now: Millis,
): number {
  const list = byRank[rank]
  const served = list.length + estimateArrivals(tables, adapter, now)
  if (rank === "urgent") return served
  const targetMs = tables.settings.targetMs[rank]
  const slackMs = (list[0]?.deadline ?? now) - now
  return (served * targetMs) / Math.max(MIN_SLACK_SHARE * targetMs, slackMs)
}

/** Chooses the next adapter to load: ranks whose share of loads is below their floor come first, then the most urgent rank, and within a rank the highest score. */
function chooseCandidate(
  tables: SchedulerTables,
  candidates: ReadonlySet<LoadCandidate>,
): LoadCandidate | undefined {
  let best: LoadCandidate | undefined
  for (const next of candidates) if (!best || isBefore(tables, next, best)) best = next
  return best
}

function isBefore(tables: SchedulerTables, a: LoadCandidate, b: LoadCandidate): boolean {
  if (a.rank === b.rank) return a.score > b.score
  const [isFirstBelow, isSecondBelow] = [isBelowFloor(tables, a.rank), isBelowFloor(tables, b.rank)]
  if (isFirstBelow !== isSecondBelow) return isFirstBelow
  return RANKS.indexOf(a.rank) < RANKS.indexOf(b.rank)
}

function isBelowFloor({ loadsByRank, settings }: SchedulerTables, rank: Rank): boolean {
  const all = loadsByRank.urgent + loadsByRank.standard + loadsByRank.bulk
  return loadsByRank[rank] < settings.floors[rank] * all
}

/** Finds the least loaded endpoint with a free slot that doesn't hold the adapter. */
function findFreeRow(tables: SchedulerTables, adapter: AdapterKey): EndpointRow | undefined {
  let best: EndpointRow | undefined
  for (const row of tables.endpoints.values()) {
    if (!isAvailable(row) || row.residents.has(adapter) || countSlots(row) >= row.info.slots)
      continue
    if (row.suspects.has(adapter)) continue
    if (!best || row.running.size / row.limit < best.running.size / best.limit) best = row
  }
  return best
}

function addLoadOrder(
  tables: SchedulerTables,
  row: EndpointRow,
  { group, rank }: LoadCandidate,
  now: Millis,
  orders: SchedulerOrder[],
): void {
  row.loading.set(group.adapter, now)
  tables.loadBudget.tokens--
  tables.loadBudget.usedAt = now
  for (const each of RANKS) tables.loadsByRank[each] *= 1 - 1 / LOAD_MEMORY_COUNT
  tables.loadsByRank[rank]++
  orders.push({ kind: "load", endpoint: row.info.id, adapter: group.adapter })
}
