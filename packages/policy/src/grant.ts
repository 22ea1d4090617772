import { type AdapterKey, type Millis, type Rank, RANKS, type RouteRequest } from "@galenaway/core"
import { hasCapacityFor, updateDemand } from "./headroom.js"
import { type AdapterQueue, removeQueued } from "./queue.js"
import type { SchedulerOrder } from "./scheduler.js"
import {
  canGrant,
  type EndpointRow,
  hasCapacity,
  isAvailable,
  type SchedulerTables,
} from "./tables.js"

/** The waiting requests of an adapter and the endpoints that can run them now. */
interface Candidate {
  readonly group: AdapterQueue
  readonly rows: EndpointRow[]
}

/**
 * Grants waiting requests to endpoints that hold their adapter and have free
 * capacity. Ranks below their floor are granted first, then all ranks in order of
 * urgency. Within a rank, the earliest deadline comes first.
 */
export function runGrants(tables: SchedulerTables, now: Millis, orders: SchedulerOrder[]): void {
  if (tables.queue.byId.size === 0) return
  const candidates = listCandidates(tables)
  if (candidates.length === 0) return
  for (const rank of RANKS) {
    const floor = tables.settings.floors[rank]
    const isBelowFloor = (row: EndpointRow) => row.runningByRank[rank] < floor * row.limit
    grantRank(tables, candidates, rank, isBelowFloor, now, orders)
  }
  for (const rank of RANKS) {
    const hasHeadroom = (row: EndpointRow) => hasCapacityFor(row, rank, tables.settings)
    grantRank(tables, candidates, rank, hasHeadroom, now, orders)
  }
}

function listCandidates(tables: SchedulerTables): Candidate[] {
  const found = new Map<AdapterKey, Candidate>()
  for (const row of tables.endpoints.values()) {
    if (!isAvailable(row) || !hasCapacity(row)) continue
    for (const adapter of row.residents.keys()) {
      const group = tables.queue.byAdapter.get(adapter)
      if (!group || !canGrant(row, adapter)) continue
      const candidate = found.get(adapter)
      if (candidate) candidate.rows.push(row)
      else found.set(adapter, { group, rows: [row] })
    }
  }
  return [...found.values()]
}

function grantRank(
  tables: SchedulerTables,
  candidates: readonly Candidate[],
  rank: Rank,
  isAllowed: (row: EndpointRow) => boolean,
  now: Millis,
  orders: SchedulerOrder[],
): void {
  for (;;) {
    let next: RouteRequest | undefined
    let target: EndpointRow | undefined
    for (const { group, rows } of candidates) {
      const head = group.byRank[rank][0]
      if (!head || (next && head.deadline >= next.deadline)) continue
      const row = findLeastLoaded(rows, isAllowed)
      if (!row) continue
      next = head
      target = row
    }
    if (!next || !target) return
    addGrant(tables, next, target, now, orders)
  }
}

function findLeastLoaded(
  rows: readonly EndpointRow[],
  isAllowed: (row: EndpointRow) => boolean,
): EndpointRow | undefined {
  let best: EndpointRow | undefined
  for (const row of rows) {
    if (!hasCapacity(row) || !isAllowed(row)) continue
    if (!best || row.running.size / row.limit < best.running.size / best.limit) best = row
  }
  return best
}

function addGrant(
  tables: SchedulerTables,
  request: RouteRequest,
  row: EndpointRow,
  now: Millis,
  orders: SchedulerOrder[],
): void {
  const { id, adapter, rank, maxTokens } = request
  removeQueued(tables.queue, id)
  updateDemand(row, now)
  row.running.set(id, { adapter, rank, grantedAt: now, maxTokens })
  row.runningByRank[rank]++
  tables.endpointByRequest.set(id, row.info.id)
  const resident = row.residents.get(adapter)
  if (resident) {
    resident.running++
    resident.usedAt = now
  }
  orders.push({ kind: "grant", request: id, endpoint: row.info.id, adapter })
}
