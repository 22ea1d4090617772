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
const LOAD_MS = 250
const LOADING_MS = 125
/** Time until an owner may start the next load. */
const LOAD_TURN_MS = 400
const HOP_MS = 3
const SERVICE_MS = 2000
/** Spreads endpoints of equal worth, so that views of the same age don't send everybody to one. */
const SPREAD_MS = 100

/** What of a request the cost depends on, computed once for all endpoints. */
interface CostInputs {
  readonly adapter: AdapterKey
  readonly rank: Rank
  readonly localDataCentre: DataCentre
  /** Chooses among endpoints that hold the adapter. */
  readonly spreadHash: number
  /** Chooses the endpoint that a cold adapter is loaded on. */
  readonly adapterHash: number
  /** Loads on their way for each owner. Only urgent requests avoid owners that are busy loading. */
  readonly loading: ReadonlyMap<Incarnation, number>
}

interface Candidate {
  readonly id: EndpointId
  readonly cost: number
}

/**
 * Ranks the endpoints whose owners to ask for a request, the quickest first.
 * It names no endpoint that is unreachable or leaving, and one without an
 * owner only for an adapter that it holds. All instances with the same views
 * send a cold adapter to the same endpoint.
 */
export function rankEndpoints(
  views: readonly EndpointView[],
  request: RouteRequest,
  home: DataCentre,
  now: Millis,
): readonly EndpointId[] {
  const question = createCostInputs(views, request, home)
  const best: Candidate[] = []
  for (const view of views)
    if (isUsable(view, request, now)) addCandidate(best, view.info.id, estimateCost(view, question))
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

/** An endpoint without an owner can only serve what it holds, since nobody may order loads there. */
function isUsable(view: EndpointView, request: RouteRequest, now: Millis): boolean {
  if (view.info.kind !== "engine" || !view.isReachable || view.phase !== "live") return false
  if (now - view.seenAt > VIEW_LIFETIME_MS) return false
  return view.owner !== undefined || view.resident.has(request.adapter)
}

/** Keeps the cheapest few in order. */
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

/** Estimates the time to the first token, in milliseconds, with a part that spreads equals. */
function estimateCost(view: EndpointView, question: CostInputs): number {
  const { capacity, dataCentre } = view.info
  const hop = dataCentre === question.localDataCentre ? 0 : HOP_MS
  const ahead = view.running + countAhead(view, question.rank)
  const wait = (Math.max(0, ahead + 1 - capacity) * SERVICE_MS) / Math.max(1, capacity)
  if (view.resident.has(question.adapter))
    return hop + wait + SPREAD_MS * computeFraction(view.info, question.spreadHash)
  if (view.loading.has(question.adapter)) return hop + wait + SPREAD_MS + LOADING_MS
  const busyMs = LOAD_TURN_MS * (question.loading.get(view.owner ?? "") ?? 0)
  const loadMs = LOAD_MS * (1 + computeFraction(view.info, question.adapterHash))
  return hop + wait + SPREAD_MS + busyMs + loadMs
}

function countAhead(view: EndpointView, rank: Rank): number {
  let count = 0
  for (const one of RANKS) {
    count += view.queued[one]
    if (one === rank) break
  }
  return count
}

/** Counts the loads on their way for each owner, whose share of the budget they use up. */
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
