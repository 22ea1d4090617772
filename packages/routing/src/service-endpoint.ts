import type { DataCentre, EndpointId, Millis, Registration } from "@galenaway/core"
import type { CostEstimator, PlainCall } from "./cost-estimator.js"
import type { EndpointHealth } from "./health.js"

/** The state from which the endpoint of a plain call is chosen. */
export interface ServiceView {
  /** Live endpoints of the service. */
  readonly endpoints: readonly Registration[]
  readonly health: EndpointHealth
  readonly localDataCentre: DataCentre
  /** Mean cost of the service's calls, in ms. */
  readonly meanCostMs: Millis
  /** Time of a round trip to another data centre beyond one in the own, and the price of its bytes. The default if undefined. */
  readonly hopMs?: Millis
}

/** How an endpoint was chosen: by the counts of requests, or by the expected completion where speeds differ. */
export type ServiceChoiceRule = "load" | "completion"

/** The endpoint that a plain call is sent to. */
export interface ServiceChoice {
  readonly endpoint: Registration
  readonly rule: ServiceChoiceRule
  /** Expected time until the answer, in ms. */
  readonly expectedMs: Millis
}

/** Cost of a hop to another data centre, as a share of an endpoint's slots. */
const HOP_COST_SHARE = 0.15
const DEFAULT_HOP_MS = 4
/** Cost of an endpoint at which every request fails, in multiples of its slots. It is multiplied by the failure rate. */
const FAILURE_COST_FACTOR = 4
/** Part of a full batch that counts as waiting, since the number of requests is uncertain. */
const UNCERTAIN_QUEUE_SHARE = 0.5
/**
 * An endpoint is drawn with a weight of the expected completion to this power. With
 * a lower one slow endpoints get too many calls; with a higher one, instances with
 * similar figures choose the same endpoint at the same time.
 */
const WEIGHT_EXPONENT = -6

/**
 * Chooses the endpoint for a call of a plain service. Returns undefined when no
 * endpoint is usable.
 *
 * Load pattern: many instances with few calls each and outdated figures share a few
 * endpoints. Where these differ in speed or report their pace, one is drawn at
 * random, with a weight that falls steeply with the expected completion. Otherwise
 * it is the one with the lowest load. `random` is from 0 up to, but not including, 1.
 */
export function chooseEndpoint(
  view: ServiceView,
  costMs: Millis,
  excluded: ReadonlySet<EndpointId>,
  now: Millis,
  random: number,
): ServiceChoice | undefined {
  const { endpoints, health } = view
  const usable = endpoints.filter(({ id }) => !excluded.has(id) && health.isUsable(id, now))
  const rule = chooseRule(view, now)
  const endpoint =
    rule === "completion"
      ? drawEndpoint(view, usable, costMs, now, random)
      : findLeastLoaded(view, usable, now)
  return endpoint && { endpoint, rule, expectedMs: estimateCompletion(view, endpoint, costMs, now) }
}

/** Chooses the rule by which an endpoint is chosen: expected completion where speeds differ. */
export function chooseRule({ endpoints, health }: ServiceView, now: Millis): ServiceChoiceRule {
  return health.times.hasDifferences(endpoints, now) ? "completion" : "load"
}

/** Estimates the time until the answer to a call that is sent to an endpoint now, in ms. */
export function estimateCompletion(
  view: ServiceView,
  endpoint: Registration,
  costMs: Millis,
  now: Millis,
): Millis {
  const { health, meanCostMs } = view
  const { id, slots } = endpoint
  const factor = health.times.estimateFactor(id, now)
  const others = health.times.estimateLoad(id, now)
  const own = health.work.getUnfinished(id, factor, now)
  const load = others + own.count
  const ahead = Math.max(0, load + 1 - slots) + UNCERTAIN_QUEUE_SHARE * load
  const meanMs = load > 0 ? (others * meanCostMs + own.costMs) / load : meanCostMs
  const queueMs = (ahead * meanMs) / Math.max(1, slots)
  return factor * (costMs + queueMs) + getHopMs(endpoint, view)
}

/** The tables that learn from the answers to plain calls. */
export interface PlainCallTables {
  readonly health: EndpointHealth
  readonly costs: CostEstimator
  readonly localDataCentre: DataCentre
  /** See {@link ServiceView}. */
  readonly hopMs?: Millis
}

/** Records the time of a complete plain call. Returns whether it shows what the call cost: nothing waited at the endpoint. */
export function recordPlainCall(
  tables: PlainCallTables,
  endpoint: Registration,
  call: PlainCall,
  ms: Millis,
  now: Millis,
): boolean {
  const { health, costs } = tables
  const { times } = health
  if (times.hasWaiting(endpoint.id)) return false
  const runMs = ms - getHopMs(endpoint, tables)
  const factor = times.estimateFactor(endpoint.id, now)
  times.onCall(endpoint.id, runMs, costs.estimateCall(call), now)
  costs.recordCall(call, runMs / factor)
  return true
}

function getHopMs(
  { dataCentre }: Registration,
  { localDataCentre, hopMs = DEFAULT_HOP_MS }: Pick<ServiceView, "localDataCentre" | "hopMs">,
): Millis {
  return dataCentre === localDataCentre ? 0 : hopMs
}

/** Computes the probability with which each usable endpoint is drawn by the expected completion. */
export function computeShares(
  view: ServiceView,
  costMs: Millis,
  now: Millis,
): ReadonlyMap<Registration, number> {
  const usable = view.endpoints.filter(({ id }) => view.health.isUsable(id, now))
  const weights = usable.map((endpoint) => computeWeight(view, endpoint, costMs, now))
  const sum = weights.reduce((total, weight) => total + weight, 0)
  return new Map(usable.map((endpoint, index) => [endpoint, (weights[index] ?? 0) / sum]))
}

function drawEndpoint(
  view: ServiceView,
  usable: readonly Registration[],
  costMs: Millis,
  now: Millis,
  random: number,
): Registration | undefined {
  const weights = usable.map((endpoint) => computeWeight(view, endpoint, costMs, now))
  let rest = random * weights.reduce((sum, weight) => sum + weight, 0)
  const drawn = weights.findIndex((weight) => (rest -= weight) < 0)
  return usable[drawn] ?? usable.at(-1)
}

function computeWeight(
  view: ServiceView,
  endpoint: Registration,
  costMs: Millis,
  now: Millis,
): number {
  const failureFactor = 1 + FAILURE_COST_FACTOR * view.health.getFailureRate(endpoint.id)
  const expectedMs = estimateCompletion(view, endpoint, costMs, now)
  return Math.max(1, expectedMs * failureFactor) ** WEIGHT_EXPONENT
}

function findLeastLoaded(
  view: ServiceView,
  usable: readonly Registration[],
  now: Millis,
): Registration | undefined {
  let best: Registration | undefined
  let bestCost = Infinity
  for (const endpoint of usable) {
    const cost = estimateLoadCost(view, endpoint, now)
    if (cost >= bestCost) continue
    best = endpoint
    bestCost = cost
  }
  return best
}

function estimateLoadCost(
  { health, localDataCentre }: ServiceView,
  { id, slots, dataCentre }: Registration,
  now: Millis,
): number {
  const load = (health.countRunning(id, now) + health.countInFlight(id) + 1) / Math.max(1, slots)
  const hop = dataCentre === localDataCentre ? 0 : HOP_COST_SHARE
  return load * health.getSlowness(id) + hop + FAILURE_COST_FACTOR * health.getFailureRate(id)
}
