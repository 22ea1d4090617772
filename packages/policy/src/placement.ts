import {
  type DataCentre,
  type EndpointId,
  getRankOrder,
  type Incarnation,
  type Millis,
  RANKS,
  type RouteRequest,
} from "@galenaway/core"
import { hashText } from "./hash.js"
import type { EndpointView } from "./view.js"

const CANDIDATE_LIMIT = 8
const VIEW_LIFETIME_MS = 30_000
const HASH_RANGE = 2 ** 32
const LOAD_MS = 250
const LOADING_MS = 125
/** Time until an owner may start the next load. */
const LOAD_TURN_MS = 400
const HOP_MS = 3
const SERVICE_MS = 2000
/** Spreads endpoints of equal worth, so that views of the same age don't send everybody to one. */
const SPREAD_MS = 100

/**
 * Ranks the endpoints whose owners to ask for a request, the quickest first.
 * It names no endpoint that is unreachable or leaving, and one without an owner only for an adapter that it holds. All
 * instances with the same views send a cold adapter to the same endpoint.
 */
export function rankEndpoints(
  views: readonly EndpointView[],
  request: RouteRequest,
  home: DataCentre,
  now: Millis,
): readonly EndpointId[] {
  const loading = countLoading(views)
  const costs: { readonly id: EndpointId; readonly cost: number }[] = []
  for (const view of views) {
    if (!isUsable(view, request, now)) continue
    costs.push({ id: view.info.id, cost: estimateCost(view, request, home, loading) })
  }
  costs.sort((a, b) => a.cost - b.cost || (a.id < b.id ? -1 : 1))
  return costs.slice(0, CANDIDATE_LIMIT).map(({ id }) => id)
}

/** An endpoint without an owner can only serve what it holds, since nobody may order loads there. */
function isUsable(view: EndpointView, request: RouteRequest, now: Millis): boolean {
  if (view.info.kind !== "engine" || !view.isReachable || view.phase !== "live") return false
  if (now - view.seenAt > VIEW_LIFETIME_MS) return false
  return view.owner !== undefined || view.resident.has(request.adapter)
}

/** Estimates the time to the first token, in milliseconds, with a part that spreads equals. */
function estimateCost(
  view: EndpointView,
  request: RouteRequest,
  home: DataCentre,
  loading: ReadonlyMap<Incarnation, number>,
): number {
  const { id, capacity } = view.info
  const hop = view.info.dataCentre === home ? 0 : HOP_MS
  const ahead = view.running + countAhead(view, request)
  const wait = (Math.max(0, ahead + 1 - capacity) * SERVICE_MS) / Math.max(1, capacity)
  if (view.resident.has(request.adapter)) {
    const key = request.rank === "bulk" ? String(request.prefix) : request.id
    return hop + wait + SPREAD_MS * computeFraction(id, key)
  }
  if (view.loading.has(request.adapter)) return hop + wait + SPREAD_MS + LOADING_MS
  const turns = request.rank === "urgent" ? (loading.get(view.owner ?? "") ?? 0) : 0
  const busyMs = LOAD_TURN_MS * turns
  return hop + wait + SPREAD_MS + busyMs + LOAD_MS * (1 + computeFraction(id, request.adapter))
}

/** Counts the loads on their way for each owner, whose share of the budget they use up. */
function countLoading(views: readonly EndpointView[]): ReadonlyMap<Incarnation, number> {
  const counts = new Map<Incarnation, number>()
  for (const { owner, loading } of views)
    if (owner !== undefined && loading.size > 0)
      counts.set(owner, (counts.get(owner) ?? 0) + loading.size)
  return counts
}

function countAhead(view: EndpointView, request: RouteRequest): number {
  let count = 0
  for (const rank of RANKS.slice(0, getRankOrder(request.rank) + 1)) count += view.queued[rank]
  return count
}

function computeFraction(endpoint: EndpointId, key: string): number {
  return hashText(key, hashText(endpoint)) / HASH_RANGE
}
