import {
  type AdapterKey,
  type DataCentre,
  type EndpointId,
  type EndpointInfo,
  type Incarnation,
  type Millis,
  type Rank,
  RANKS,
  type RouteRequest,
} from "@galenaway/core"
import { hashText, mergeHashes } from "./hash.js"
import type { EndpointView } from "./view.js"

const MAX_CANDIDATE_COUNT = 8
const VIEW_LIFETIME_MS = 30_000
const HASH_RANGE = 2 ** 32
/** Minimum cost of a load. A hash-based part of up to the same amount is added, so that each adapter prefers certain endpoints. */
const LOAD_MS = 250
/** Expected remaining time of a load in progress. */
const LOADING_MS = 125
/** Expected time until an owner may start its next load. */
const LOAD_TURN_MS = 400
/** Added latency of an endpoint in another data centre. */
const HOP_MS = 3
/** Expected time from the start to the end of a request. */
const SERVICE_MS = 2000
/** Range of the hash-based part of the cost. Without it, all requests would go to one of several equal endpoints. */
const SPREAD_MS = 100

/** Inputs of the cost estimate for a request, computed once for all endpoints. */
interface CostInputs {
  readonly adapter: AdapterKey
  readonly rank: Rank
  readonly localDataCentre: DataCentre
  /** Hash that chooses among endpoints that hold the adapter. */
  readonly spreadHash: number
  /** Hash that chooses the endpoint on which a cold adapter is loaded. */
  readonly adapterHash: number
  /** Number of pending loads of each owner. Empty unless the request is urgent, since only urgent requests avoid busy owners. */
  readonly loading: ReadonlyMap<Incarnation, number>
}

interface Candidate {
  readonly id: EndpointId
  readonly cost: number
}

/**
 * Ranks the endpoints that can serve a request, the lowest estimated time to the
 * first token first, and returns at most {@link MAX_CANDIDATE_COUNT}. Endpoints that
 * are unreachable, not live or not recently updated are excluded, and so is an
 * endpoint without an owner that doesn't hold the adapter. Instances with equal views
 * choose the same endpoint for a cold adapter.
 */
export function rankEndpoints(
  views: readonly EndpointView[],
  request: RouteRequest,
  localDataCentre: DataCentre,
  now: Millis,
): readonly EndpointId[] {
  const inputs = createCostInputs(views, request, localDataCentre)
  const best: Candidate[] = []
  for (const view of views)
    if (isUsable(view, request, now)) addCandidate(best, view.info.id, estimateCost(view, inputs))
  return best.map(({ id }) => id)
}

function createCostInputs(
  views: readonly EndpointView[],
  { id, adapter, rank, prefix }: RouteRequest,
  localDataCentre: DataCentre,
): CostInputs {
  const adapterHash = hashText(adapter)
  const spreadHash = rank === "bulk" ? mergeHashes(adapterHash, prefix) : hashText(id)
  const loading = rank === "urgent" ? countLoading(views) : new Map<Incarnation, number>()
  return { adapter, rank, localDataCentre, spreadHash, adapterHash, loading }
}

/** An endpoint without an owner can only serve adapters that it holds, since no instance may order loads there. */
function isUsable(view: EndpointView, request: RouteRequest, now: Millis): boolean {
  if (view.info.kind !== "engine" || !view.isReachable || view.phase !== "live") return false
  if (now - view.seenAt > VIEW_LIFETIME_MS) return false
  return view.owner !== undefined || view.resident.has(request.adapter)
}

/** Inserts a candidate into the sorted list of the cheapest ones. */
function addCandidate(best: Candidate[], id: EndpointId, cost: number): void {
  const last = best.at(-1)
  if (best.length >= MAX_CANDIDATE_COUNT && last && !isCheaper(id, cost, last)) return
  let index = best.length
  for (; index > 0; index--) {
    const other = best[index - 1]
    if (!other || !isCheaper(id, cost, other)) break
  }
  best.splice(index, 0, { id, cost })
  if (best.length > MAX_CANDIDATE_COUNT) best.pop()
}

function isCheaper(id: EndpointId, cost: number, other: Candidate): boolean {
  return cost < other.cost || (cost === other.cost && id < other.id)
}

/** Estimates the time to the first token in milliseconds, with a hash-based part that spreads requests over equal endpoints. */
function estimateCost(view: EndpointView, inputs: CostInputs): number {
  const { capacity, dataCentre } = view.info
  const hop = dataCentre === inputs.localDataCentre ? 0 : HOP_MS
  const ahead = view.running + countAhead(view, inputs.rank)
  const wait = (Math.max(0, ahead + 1 - capacity) * SERVICE_MS) / Math.max(1, capacity)
  if (view.resident.has(inputs.adapter))
    return hop + wait + SPREAD_MS * computeFraction(view.info, inputs.spreadHash)
  if (view.loading.has(inputs.adapter)) return hop + wait + SPREAD_MS + LOADING_MS
  const busyMs = LOAD_TURN_MS * (inputs.loading.get(view.owner ?? "") ?? 0)
  const loadMs = LOAD_MS * (1 + computeFraction(view.info, inputs.adapterHash))
  return hop + wait + SPREAD_MS + busyMs + loadMs
}

function countAhead(view: EndpointView, rank: Rank): number {
  let count = 0
  for (const each of RANKS) {
    count += view.queued[each]
    if (each === rank) break
  }
  return count
}

/** Counts the pending loads of each owner. They use up the owner's share of the load budget. */
function countLoading(views: readonly EndpointView[]): ReadonlyMap<Incarnation, number> {
  const counts = new Map<Incarnation, number>()
  for (const { owner, loading } of views)
    if (owner !== undefined && loading.size > 0)
      counts.set(owner, (counts.get(owner) ?? 0) + loading.size)
  return counts
}

const endpointHashes = new WeakMap<EndpointInfo, number>()

function computeFraction(info: EndpointInfo, key: number): number {
  let hash = endpointHashes.get(info)
  if (hash === undefined) {
    hash = hashText(info.id)
    endpointHashes.set(info, hash)
  }
  return mergeHashes(hash, key) / HASH_RANGE
}
