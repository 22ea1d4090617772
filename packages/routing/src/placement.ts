import type {
  AdapterName,
  AdapterVersion,
  DataCentre,
  EndpointId,
  Millis,
  Registration,
  RequestMetadata,
} from "@galenaway/core"
import { hashText, mergeHashes, type PaceEstimator } from "@galenaway/policy"
import type { EndpointHealth } from "./health.js"
import { DEFAULT_PLACEMENT_COSTS, type PlacementCosts } from "./placement-costs.js"
import type { Popularity } from "./popularity.js"
import type { Residency } from "./residency.js"
import type { VersionTable } from "./versions.js"

/** The decision where to send a model request. */
export type Placement =
  /** The engine holds what the request needs. */
  | {
      readonly kind: "send"
      readonly endpoint: Registration
      readonly version?: AdapterVersion
      /** Expected wait in ms until the engine processes the prompt, plus the costs of its distance and its failures. */
      readonly waitMs: Millis
    }
  /** The engine's owner must load the adapter first. */
  | { readonly kind: "load"; readonly endpoint: Registration }
  /** No engine can be used. */
  | { readonly kind: "none" }

/** The state from which a placement is computed. */
export interface PlacementView {
  /** Live engines of the service. */
  readonly engines: readonly Registration[]
  /** Finds a live engine of the service by its id. */
  findEngine(id: EndpointId): Registration | undefined
  readonly health: EndpointHealth
  /** The pace of the service's engines. */
  readonly pace: PaceEstimator
  readonly residency: Residency
  readonly versions: VersionTable
  readonly popularity: Popularity
  readonly localDataCentre: DataCentre
  /** The times of the deployment; the defaults if undefined. */
  readonly costs?: PlacementCosts
  /** Whether the expected costs of requests are better than their mean. Without it, requests are counted. */
  readonly usesWork?: boolean
  /** Returns the cost in ms of sending to a data centre, in addition to the hop; 0 if absent. */
  readonly getDataCentreCost?: (dataCentre: DataCentre) => Millis
  /** Returns whether an engine's owner can be requested to load adapters. */
  canLoad(endpoint: EndpointId): boolean
}

/** Events of the request itself that count when engines of different speeds are compared. */
const OWN_EVENT_COUNT = 10
/** Cost of an engine at which every request fails. It is multiplied by the failure rate. */
const FAILURE_MS = 400
/** Number of recent requests at this instance from which an adapter is popular. */
const POPULAR_COUNT = 4
/** Number of recent requests at this instance from which an adapter is loaded in the instance's own data centre too. */
const LOCAL_COUNT = 8
/** An adapter's preferred engine is skipped for a load when its cost exceeds the mean by more than this. */
const PREFERRED_SLACK_MS = 120
/** Long shared prompts prefer the engine that may have them cached, up to this cost above the cheapest engine. */
const CACHE_SLACK_MS = 60
/** Length of the shared parts from which a prompt counts as a long shared one. */
const LONG_SHARED_TOKENS_COUNT = 1000

const NO_ENDPOINTS: ReadonlySet<EndpointId> = new Set()

interface Candidate {
  readonly endpoint: Registration
  readonly cost: number
}

/**
 * Chooses the engine for a request: the cheapest of those that hold the adapter.
 * If none holds it, chooses the first one in the adapter's hash order whose cost
 * isn't far above the mean. With `canReplicate`, another engine loads the adapter
 * when that is faster than waiting at the holders.
 */
export function choosePlacement(
  view: PlacementView,
  metadata: RequestMetadata,
  excluded: ReadonlySet<EndpointId>,
  now: Millis,
  canReplicate = true,
): Placement {
  const { adapter, model } = metadata
  const { loadMs } = getCosts(view)
  const best = chooseHolder(view, listHolders(view, metadata, excluded, now), metadata, now)
  if (best && (best.cost < loadMs || !canReplicate)) return buildSend(view, best, adapter)
  if (adapter === undefined) return { kind: "none" }
  const loadable = listUsable(view, excluded, now).filter(({ id }) =>
    canLoadAdapter(view, id, model),
  )
  // Replacing an older version on an engine may have to wait for requests that use it.
  const withoutAdapter = loadable.filter(({ id }) => !hasAdapter(view, id, adapter))
  const target = choosePreferredEngine(
    view,
    withoutAdapter.length > 0 ? withoutAdapter : loadable,
    adapter,
    now,
  )
  if (best && (!target || estimateEngineCost(view, target, now) + loadMs >= best.cost))
    return buildSend(view, best, adapter)
  return target ? { kind: "load", endpoint: target } : { kind: "none" }
}

/**
 * Chooses an engine that should load an adapter in addition to its holders when
 * these are busy, hold an older version or, for a popular adapter, are all in
 * other data centres. Returns undefined when no replica is needed or possible.
 */
export function chooseReplica(
  view: PlacementView,
  metadata: RequestMetadata,
  now: Millis,
): Registration | undefined {
  const { adapter, model } = metadata
  if (adapter === undefined) return undefined
  const holders = listHolders(view, metadata, NO_ENDPOINTS, now)
  if (holders.length === 0) return undefined
  const listReplicaTargets = () =>
    listUsable(view, NO_ENDPOINTS, now).filter(
      ({ id }) => !hasAdapter(view, id, adapter) && canLoadAdapter(view, id, model),
    )
  if (!holders.some(({ id }) => hasNewestVersion(view, id, adapter)))
    return choosePreferredEngine(view, listReplicaTargets(), adapter, now)
  const count = view.popularity.get(adapter, now)
  const isLocal = ({ dataCentre }: Registration) => dataCentre === view.localDataCentre
  if (count >= LOCAL_COUNT && !holders.some(isLocal))
    return choosePreferredEngine(view, listReplicaTargets().filter(isLocal), adapter, now)
  const cheapest = Math.min(...holders.map((endpoint) => estimateEngineCost(view, endpoint, now)))
  const { replicatePopularMs, replicateAnyMs } = getCosts(view)
  const limit = count >= POPULAR_COUNT ? replicatePopularMs : replicateAnyMs
  return cheapest >= limit
    ? choosePreferredEngine(view, listReplicaTargets(), adapter, now)
    : undefined
}

/** Returns whether an engine that was chosen earlier can still serve a request: it is live, isn't in a pause and holds the adapter in a version that may be used. */
export function canStillServe(
  view: PlacementView,
  endpoint: EndpointId,
  { model, adapter }: RequestMetadata,
  now: Millis,
): boolean {
  if (!view.findEngine(endpoint) || view.health.getPause(endpoint, now) > 0) return false
  return canServe(view, endpoint, model, adapter, now)
}

/** Ranks engines for an adapter, or for another key, by rendezvous hashing. Every instance computes the same order. */
export function rankEnginesByHash(
  engines: readonly Registration[],
  adapter: AdapterName,
): readonly Registration[] {
  const key = hashText(adapter)
  return engines
    .map((endpoint) => ({ endpoint, score: mergeHashes(hashEndpoint(endpoint), key) }))
    .sort((a, b) => b.score - a.score)
    .map(({ endpoint }) => endpoint)
}

const endpointHashes = new WeakMap<Registration, number>()

/** Returns the hash of an endpoint's id. It is cached because each cold request ranks all engines. */
function hashEndpoint(endpoint: Registration): number {
  const cached = endpointHashes.get(endpoint)
  if (cached !== undefined) return cached
  const hash = hashText(endpoint.id)
  endpointHashes.set(endpoint, hash)
  return hash
}

/** Lists the engines that can serve a request: those with the newest version, or if none, those with an older accepted version. */
function listHolders(
  view: PlacementView,
  { model, adapter }: RequestMetadata,
  excluded: ReadonlySet<EndpointId>,
  now: Millis,
): readonly Registration[] {
  const candidates =
    adapter === undefined
      ? view.engines
      : view.residency.listHolders(adapter).flatMap((id) => view.findEngine(id) ?? [])
  const holders = candidates.filter(
    ({ id }) =>
      !excluded.has(id) && view.health.isUsable(id, now) && canServe(view, id, model, adapter, now),
  )
  if (adapter === undefined) return holders
  const newest = holders.filter(({ id }) => hasNewestVersion(view, id, adapter))
  return newest.length > 0 ? newest : holders
}

function listUsable(
  { engines, health }: PlacementView,
  excluded: ReadonlySet<EndpointId>,
  now: Millis,
): readonly Registration[] {
  return engines.filter(({ id }) => !excluded.has(id) && health.isUsable(id, now))
}

function hasNewestVersion(
  { residency, versions }: PlacementView,
  endpoint: EndpointId,
  adapter: AdapterName,
): boolean {
  const newest = versions.getNewest(adapter)
  const held = residency.getContents(endpoint)?.adapters.get(adapter)
  return held !== undefined && (newest === undefined || held >= newest)
}

function hasAdapter(
  { residency }: PlacementView,
  endpoint: EndpointId,
  adapter: AdapterName,
): boolean {
  return residency.getContents(endpoint)?.adapters.has(adapter) ?? false
}

/** Chooses the cheapest holder. Requests with the same long shared prompt choose the same one of the holders that cost little more. */
function chooseHolder(
  view: PlacementView,
  holders: readonly Registration[],
  metadata: RequestMetadata,
  now: Millis,
): Candidate | undefined {
  const candidates = holders
    .map((endpoint) => ({ endpoint, cost: estimateEngineCost(view, endpoint, now) }))
    .sort((a, b) => a.cost - b.cost)
  const [cheapest] = candidates
  const shared = metadata.sharedParts.reduce((sum, { tokens }) => sum + tokens, 0)
  if (!cheapest || shared < LONG_SHARED_TOKENS_COUNT) return cheapest
  const sharedPrompt = metadata.sharedParts.map(({ id }) => id).join()
  const affordable = candidates.filter(({ cost }) => cost <= cheapest.cost + CACHE_SLACK_MS)
  const [preferred] = rankEnginesByHash(
    affordable.map(({ endpoint }) => endpoint),
    sharedPrompt,
  )
  return candidates.find(({ endpoint }) => endpoint === preferred) ?? cheapest
}

function choosePreferredEngine(
  view: PlacementView,
  engines: readonly Registration[],
  adapter: AdapterName,
  now: Millis,
): Registration | undefined {
  const costs = new Map(
    engines.map((endpoint) => [endpoint, estimateEngineCost(view, endpoint, now)]),
  )
  const sum = [...costs.values()].reduce((total, cost) => total + cost, 0)
  const maxCost = sum / Math.max(1, costs.size) + PREFERRED_SLACK_MS
  const order = rankEnginesByHash(engines, adapter)
  return order.find((endpoint) => (costs.get(endpoint) ?? 0) <= maxCost) ?? order[0]
}

function canServe(
  { residency, versions }: PlacementView,
  endpoint: EndpointId,
  model: string | undefined,
  adapter: AdapterName | undefined,
  now: Millis,
): boolean {
  const contents = residency.getContents(endpoint)
  if (!contents) return false
  if (model !== undefined && !contents.models.has(model)) return false
  if (adapter === undefined) return true
  const held = contents.adapters.get(adapter)
  if (held === undefined) return false
  const required = versions.getMinimum(adapter, now)
  return required === undefined || held >= required
}

function canLoadAdapter(
  view: PlacementView,
  endpoint: EndpointId,
  model: string | undefined,
): boolean {
  if (!view.canLoad(endpoint)) return false
  return model === undefined || (view.residency.getContents(endpoint)?.models.has(model) ?? false)
}

function buildSend(
  { residency, versions }: PlacementView,
  { endpoint, cost: waitMs }: Candidate,
  adapter: AdapterName | undefined,
): Placement {
  if (adapter === undefined) return { kind: "send", endpoint, waitMs }
  const newest = versions.getNewest(adapter)
  const held = residency.getContents(endpoint.id)?.adapters.get(adapter)
  return newest !== undefined && held !== undefined && held >= newest
    ? { kind: "send", endpoint, version: newest, waitMs }
    : { kind: "send", endpoint, waitMs }
}

/** Returns the times by which the placements of a view are weighed. */
function getCosts({ costs }: PlacementView): PlacementCosts {
  return costs ?? DEFAULT_PLACEMENT_COSTS
}

/** Estimates the cost of an engine for a request that is sent there now: the wait, the load, the distance and the failures, in ms. */
export function estimateEngineCost(view: PlacementView, engine: Registration, now: Millis): Millis {
  const { health, pace, localDataCentre } = view
  const { id, slots, dataCentre } = engine
  const { fullBatchMs, hopMs } = getCosts(view)
  const slowdown =
    health.speeds.getSlowdown(id) * pace.computeSlowdown(health.times.estimatePace(id, now))
  const running = Math.min(slots, health.countRunning(id, now))
  const load = (running * fullBatchMs) / Math.max(1, slots)
  // At a full engine, a place becomes free each time that one of its requests ends.
  const runMs = estimateRemainingRun(view, engine, slowdown, now)
  const wait = (health.countAhead(id, slots, now) * runMs) / Math.max(1, slots)
  const distance = hopMs + (view.getDataCentreCost?.(dataCentre) ?? 0)
  const hop = dataCentre === localDataCentre ? 0 : distance
  const slow = Math.max(1, health.getSlowness(id)) * slowdown
  const queue = Math.max(wait + health.getBacklog(id, now), health.getQueueWait(id, now))
  // The request itself takes longer on a slow engine, also on an idle one.
  const own = (slowdown - 1) * (pace.firstTokenMs + OWN_EVENT_COUNT * pace.eventMs)
  const busy = (load + queue) * slow + own
  return busy + hop + FAILURE_MS * health.getFailureRate(id)
}

/** Estimates how long the requests at an engine still run on average: this instance's own by their costs, the others by the mean. */
function estimateRemainingRun(
  { health, pace, usesWork = false }: PlacementView,
  { id }: Registration,
  slowdown: number,
  now: Millis,
): Millis {
  if (!usesWork) return pace.runMs
  const own = health.work.getUnfinished(id, slowdown, now)
  const others = Math.max(0, health.countRunning(id, now) - own.count)
  const count = own.count + others
  return count === 0 ? pace.runMs : (own.costMs + others * pace.runMs) / count
}
