import type {
  AdapterName,
  AdapterVersion,
  DataCentre,
  EndpointId,
  Millis,
  Registration,
  RequestFacts,
} from "@galenaway/core"
import { hashText, mergeHashes } from "@galenaway/policy"
import type { EndpointHealth } from "./health.js"
import type { Residency } from "./residency.js"
import type { VersionTable } from "./versions.js"

/** Where a model request goes. */
export type Placement =
  /** The engine holds what the request needs. */
  | { readonly kind: "send"; readonly endpoint: Registration; readonly version?: AdapterVersion }
  /** The engine's owner is asked to load the adapter first. */
  | { readonly kind: "load"; readonly endpoint: Registration }
  /** No engine can be used. */
  | { readonly kind: "none" }

/** What a placement is decided from. */
export interface PlacementView {
  /** Live engines of the service. */
  readonly engines: readonly Registration[]
  readonly health: EndpointHealth
  readonly residency: Residency
  readonly versions: VersionTable
  readonly home: DataCentre
  /** Tells whether an engine's owner can be asked for loads. */
  canLoad(endpoint: EndpointId): boolean
}

/** Time of a first token on an idle engine, in ms. */
const PROMPT_TOKENS_PER_MS = 38
const HOP_MS = 8
/** Cost of each request in the batch, as a share of a full batch. */
const BATCH_MS = 30
/** Wait for a place in a full batch. */
const FULL_MS = 60
const FAILING_MS = 400
/** Above this cost beyond an idle engine's, another engine is asked to load the adapter too. */
const REPLICATE_MS = 60
/** Bulk prompts prefer the engine that may have their shared part, up to this cost. */
const CACHE_SLACK_MS = 60
const LONG_SHARED_TOKENS = 1000

interface Candidate {
  readonly endpoint: Registration
  readonly cost: number
}

/** Estimates the engine's time to read a request's prompt, in ms. */
export function estimatePromptMs(facts: RequestFacts): Millis {
  return facts.promptTokens / PROMPT_TOKENS_PER_MS
}

/** Chooses the engine for a request: among those that hold the adapter the cheapest, else the first in the adapter's own order that has room. */
export function choosePlacement(
  view: PlacementView,
  facts: RequestFacts,
  excluded: ReadonlySet<EndpointId>,
  now: Millis,
): Placement {
  const usable = view.engines.filter(
    ({ id }) => !excluded.has(id) && view.health.isUsable(id, now),
  )
  const { adapter, model } = facts
  const holders = usable.filter(({ id }) => isHolder(view, id, model, adapter, now))
  const best = chooseHolder(view, holders, facts, now)
  if (best) return buildSend(view, best.endpoint, adapter)
  const loadable = usable.filter(({ id }) => canBringIn(view, id, model))
  const target = adapter === undefined ? undefined : chooseHome(view, loadable, adapter, now)
  return target ? { kind: "load", endpoint: target } : { kind: "none" }
}

/** Names an engine that should load an adapter beside those that hold it, when these are busy. */
export function chooseReplica(
  view: PlacementView,
  facts: RequestFacts,
  now: Millis,
): Registration | undefined {
  const { adapter, model } = facts
  if (adapter === undefined) return undefined
  const usable = view.engines.filter(({ id }) => view.health.isUsable(id, now))
  const holders = usable.filter(({ id }) => isHolder(view, id, model, adapter, now))
  const cheapest = Math.min(...holders.map((endpoint) => estimateCost(view, endpoint, now)))
  if (holders.length === 0 || cheapest < REPLICATE_MS) return undefined
  const others = usable.filter(
    (endpoint) => !holders.includes(endpoint) && canBringIn(view, endpoint.id, model),
  )
  return chooseHome(view, others, adapter, now)
}

/** Ranks engines for an adapter by rendezvous hashing; every instance finds the same order. */
export function rankHomes(
  engines: readonly Registration[],
  adapter: AdapterName,
): readonly Registration[] {
  const key = hashText(adapter)
  return engines
    .map((endpoint) => ({ endpoint, score: mergeHashes(hashText(endpoint.id), key) }))
    .sort((a, b) => b.score - a.score)
    .map(({ endpoint }) => endpoint)
}

function chooseHolder(
  view: PlacementView,
  holders: readonly Registration[],
  facts: RequestFacts,
  now: Millis,
): Candidate | undefined {
  const candidates = holders
    .map((endpoint) => ({ endpoint, cost: estimateCost(view, endpoint, now) }))
    .sort((a, b) => a.cost - b.cost)
  const [cheapest] = candidates
  const shared = facts.sharedParts.reduce((sum, { tokens }) => sum + tokens, 0)
  if (!cheapest || shared < LONG_SHARED_TOKENS) return cheapest
  const key = facts.sharedParts.map(({ id }) => id).join()
  const near = candidates.filter(({ cost }) => cost <= cheapest.cost + CACHE_SLACK_MS)
  const [home] = rankHomes(
    near.map(({ endpoint }) => endpoint),
    key,
  )
  return candidates.find(({ endpoint }) => endpoint === home) ?? cheapest
}

function chooseHome(
  view: PlacementView,
  engines: readonly Registration[],
  adapter: AdapterName,
  now: Millis,
): Registration | undefined {
  const costs = engines.map((endpoint) => estimateCost(view, endpoint, now))
  const mean = costs.reduce((sum, cost) => sum + cost, 0) / Math.max(1, costs.length)
  const bound = mean + REPLICATE_MS
  const order = rankHomes(engines, adapter)
  return order.find((endpoint) => estimateCost(view, endpoint, now) <= bound) ?? order[0]
}

function isHolder(
  { residency, versions }: PlacementView,
  endpoint: EndpointId,
  model: string | undefined,
  adapter: AdapterName | undefined,
  now: Millis,
): boolean {
  const view = residency.getView(endpoint)
  if (!view) return false
  if (model !== undefined && !view.models.has(model)) return false
  if (adapter === undefined) return true
  const held = view.adapters.get(adapter)
  if (held === undefined) return false
  const required = versions.getRequired(adapter, now)
  return required === undefined || held >= required
}

function canBringIn(view: PlacementView, endpoint: EndpointId, model: string | undefined): boolean {
  if (!view.canLoad(endpoint)) return false
  return model === undefined || (view.residency.getView(endpoint)?.models.has(model) ?? false)
}

function buildSend(
  { residency, versions }: PlacementView,
  endpoint: Registration,
  adapter: AdapterName | undefined,
): Placement {
  if (adapter === undefined) return { kind: "send", endpoint }
  const newest = versions.getNewest(adapter)
  const held = residency.getView(endpoint.id)?.adapters.get(adapter)
  return newest !== undefined && held !== undefined && held >= newest
    ? { kind: "send", endpoint, version: newest }
    : { kind: "send", endpoint }
}

function estimateCost(view: PlacementView, { id, slots, dataCentre }: Registration, now: Millis) {
  const { health, home } = view
  const running = health.countRunning(id, now)
  const load = (running * BATCH_MS) / Math.max(1, slots)
  const wait = Math.max(0, running + 1 - slots) * (FULL_MS / Math.max(1, slots)) * 4
  const hop = dataCentre === home ? 0 : HOP_MS
  const slow = Math.max(1, health.getSlowness(id))
  return (
    (load + wait + health.getBacklog(id, now)) * slow + hop + FAILING_MS * health.getFailing(id)
  )
}
