import { type Millis, RANKS, type RouteRequest } from "@galenaway/core"
import { removeQueued } from "./queue.js"
import type { SchedulerOrder } from "./scheduler.js"
import { isAvailable, type SchedulerTables } from "./tables.js"

/** Limit of the estimated memory of all waiting requests. */
const QUEUE_LIMIT_BYTES = 8 * 1024 * 1024
/** Time from a grant to the first token on an idle engine. A full batch adds {@link FULL_BATCH_MS}. */
const FIRST_TOKEN_MS = 40
const FULL_BATCH_MS = 60
/** Below this wait for the load budget, a redirect to another owner isn't worthwhile. */
const SHORT_WAIT_MS = 150
const MS_PER_SECOND = 1000

/** Refuses waiting requests that can't meet their deadline, that exceed a queue limit, or for which there is no live endpoint. */
export function runRefusals(tables: SchedulerTables, now: Millis, orders: SchedulerOrder[]): void {
  if (tables.queue.byId.size === 0) return
  refuseWithoutEndpoint(tables, orders)
  refuseLate(tables, now, orders)
  refuseOverLimit(tables, orders)
}

/**
 * Refuses new cold requests when no load can start here soon, so that they are
 * redirected to another owner. It must run after the loads. A request isn't refused
 * when others already wait for the same adapter.
 */
export function runRedirects(tables: SchedulerTables, orders: SchedulerOrder[]): void {
  const submitted = tables.redirectable.splice(0)
  if (orders.some(({ kind }) => kind === "load" || kind === "evict")) return
  const { loadBudget, share } = tables
  const waitMs = ((1 - loadBudget.tokens) * MS_PER_SECOND) / share.ratePerSecond
  if (waitMs > 0 && waitMs < SHORT_WAIT_MS) return
  for (const request of submitted) {
    const group = tables.queue.byAdapter.get(request.adapter)
    if (!tables.queue.byId.has(request.id) || group?.count !== 1 || !isCold(tables, request))
      continue
    refuseQueued(tables, orders, request, "overloaded", "no load can start here soon")
  }
}

/** Refuses all requests when no endpoint is live. An unreachable live endpoint may return, so requests still wait for it. */
function refuseWithoutEndpoint(tables: SchedulerTables, orders: SchedulerOrder[]): void {
  for (const row of tables.endpoints.values()) if (row.phase === "live") return
  for (const request of tables.queue.byId.values())
    refuseQueued(tables, orders, request, "no-endpoint", "this instance owns no live endpoint")
}

/** Computes the utilization of the available endpoints, from 0 to 1. */
function computeUtilization(tables: SchedulerTables): number {
  let running = 0
  let limit = 0
  for (const row of tables.endpoints.values()) {
    if (!isAvailable(row)) continue
    running += row.running.size
    limit += row.limit
  }
  return limit === 0 ? 0 : Math.min(1, running / limit)
}

function refuseLate(tables: SchedulerTables, now: Millis, orders: SchedulerOrder[]): void {
  const horizon = now + FIRST_TOKEN_MS + FULL_BATCH_MS * computeUtilization(tables)
  const coldHorizon = horizon + tables.settings.loads.loadMs
  for (const rank of RANKS) {
    const late: RouteRequest[] = []
    for (const request of tables.queue.byRank[rank]) {
      if (request.deadline >= coldHorizon) break
      if (request.deadline < horizon || isCold(tables, request)) late.push(request)
    }
    for (const request of late)
      refuseQueued(tables, orders, request, "deadline", "the deadline can't be met")
  }
}

function isCold(tables: SchedulerTables, { adapter }: RouteRequest): boolean {
  for (const row of tables.endpoints.values())
    if (isAvailable(row) && (row.residents.has(adapter) || row.loading.has(adapter))) return false
  return true
}

/** Refuses requests over the limits: the least urgent rank first, and within a rank the latest deadline first. */
function refuseOverLimit(tables: SchedulerTables, orders: SchedulerOrder[]): void {
  const { queue, settings } = tables
  for (const rank of RANKS) {
    const list = queue.byRank[rank]
    while (list.length > settings.queueLimit[rank]) refuseLast(tables, list, orders)
  }
  for (const rank of [...RANKS].reverse()) {
    const list = queue.byRank[rank]
    while (queue.bytes > QUEUE_LIMIT_BYTES && list.length > 0) refuseLast(tables, list, orders)
  }
}

function refuseLast(
  tables: SchedulerTables,
  list: readonly RouteRequest[],
  orders: SchedulerOrder[],
): void {
  const last = list.at(-1)
  if (last) refuseQueued(tables, orders, last, "overloaded", "the queue is full")
}

function refuseQueued(
  tables: SchedulerTables,
  orders: SchedulerOrder[],
  request: RouteRequest,
  code: "deadline" | "overloaded" | "no-endpoint",
  message: string,
): void {
  removeQueued(tables.queue, request.id)
  orders.push({ kind: "refuse", request: request.id, code, message })
}
