import type { DataCentre, EndpointId, Millis, Registration, RequestMetadata } from "@galenaway/core"
import type { EndpointHealth } from "./health.js"
import {
  canStillServe,
  choosePlacement,
  estimateEngineCost,
  type Placement,
  type PlacementView,
} from "./placement.js"
import {
  chooseEndpoint,
  chooseRule,
  computeShares,
  estimateCompletion,
  type ServiceChoiceRule,
  type ServiceView,
} from "./service-endpoint.js"

/** Why an endpoint could get a request, or not. */
export type CandidateVerdict =
  /** It would get the request. */
  | "chosen"
  /** It could get the request, and another one costs less. */
  | "possible"
  /** The adapter would have to be loaded there first. */
  | "needs-load"
  /** It lacks the base model, or its adapter is too old, and its owner can't be requested to load. */
  | "cannot-serve"
  /** It has asked for a pause. */
  | "paused"
  /** Requests to it failed recently. */
  | "excluded"

/** One endpoint as a decision sees it. */
export interface CandidateExplanation {
  readonly endpoint: EndpointId
  readonly dataCentre: DataCentre
  readonly verdict: CandidateVerdict
  /** Probability that the endpoint gets the request. */
  readonly share: number
  /** Expected time until the answer to a plain call, or cost of a model request at the engine, in ms. */
  readonly costMs: Millis
  readonly slots: number
  /** Requests there, as far as known. */
  readonly running: number
  /** Requests of this instance there. */
  readonly ownRunning: number
  /** Remaining work of these, in ms at the usual pace. */
  readonly ownWorkMs: Millis
  /** Learned time of plain calls, as a multiple of their cost. */
  readonly timeFactor: number
  /** How long work takes at present in percent of the usual time, if the endpoint reports it. */
  readonly pacePercent?: number
  /** Age of that report. */
  readonly paceAgeMs?: Millis
  /** Last wait for admission to an engine. */
  readonly queueWaitMs: Millis
  /** Prompts that this instance has sent and that aren't read yet, in ms. */
  readonly backlogMs: Millis
  /** Weighted share of recent requests that failed, 0 to 1. */
  readonly failureRate: number
}

/** Where a plain call would go. */
export interface ServiceExplanation {
  readonly rule: ServiceChoiceRule
  readonly candidates: readonly CandidateExplanation[]
}

/** Where a model request would go. */
export interface PlacementExplanation {
  readonly placement: Placement
  readonly candidates: readonly CandidateExplanation[]
}

const NO_ENDPOINTS: ReadonlySet<EndpointId> = new Set()

/** Explains where a plain call would go now. Sends nothing and changes nothing. */
export function explainService(view: ServiceView, costMs: Millis, now: Millis): ServiceExplanation {
  const { endpoints, health } = view
  const rule = chooseRule(view, now)
  const shares = computeShares(view, costMs, now)
  const chosen = chooseEndpoint(view, costMs, NO_ENDPOINTS, now, 0)?.endpoint
  const candidates = endpoints.map((endpoint): CandidateExplanation => {
    const isChosen = rule === "load" && endpoint === chosen
    return {
      ...describeEndpoint(health, endpoint, now),
      verdict: isChosen ? "chosen" : (findHindrance(health, endpoint, now) ?? "possible"),
      share: rule === "load" ? Number(isChosen) : (shares.get(endpoint) ?? 0),
      costMs: estimateCompletion(view, endpoint, costMs, now),
    }
  })
  return { rule, candidates }
}

/** Explains where a model request would go now, before its owner's admission. Sends nothing and changes nothing. */
export function explainPlacement(
  view: PlacementView,
  metadata: RequestMetadata,
  now: Millis,
): PlacementExplanation {
  const placement = choosePlacement(view, metadata, NO_ENDPOINTS, now)
  const chosen = placement.kind === "none" ? undefined : placement.endpoint
  const candidates = view.engines.map((endpoint) => {
    const isChosen = endpoint === chosen
    const verdict = isChosen ? "chosen" : judgeEngine(view, endpoint, metadata, now)
    const costMs = estimateEngineCost(view, endpoint, now)
    const description = describeEndpoint(view.health, endpoint, now)
    return { ...description, verdict, share: Number(isChosen), costMs }
  })
  return { placement, candidates }
}

function judgeEngine(
  view: PlacementView,
  endpoint: Registration,
  metadata: RequestMetadata,
  now: Millis,
): CandidateVerdict {
  const { health, residency } = view
  const { id } = endpoint
  const hindrance = findHindrance(health, endpoint, now)
  if (hindrance) return hindrance
  if (canStillServe(view, id, metadata, now)) return "possible"
  const { model, adapter } = metadata
  const hasModel = model === undefined || (residency.getContents(id)?.models.has(model) ?? false)
  return adapter !== undefined && hasModel && view.canLoad(id) ? "needs-load" : "cannot-serve"
}

/** Finds why an endpoint gets no requests at all; undefined if it gets some. */
function findHindrance(
  health: EndpointHealth,
  { id }: Registration,
  now: Millis,
): "paused" | "excluded" | undefined {
  if (health.isUsable(id, now)) return undefined
  return health.getPause(id, now) > 0 ? "paused" : "excluded"
}

function describeEndpoint(
  health: EndpointHealth,
  { id, dataCentre, slots }: Registration,
  now: Millis,
): Omit<CandidateExplanation, "verdict" | "share" | "costMs"> {
  const { times, work } = health
  const pace = times.getLastPace(id)
  return {
    endpoint: id,
    dataCentre,
    slots,
    running: health.countRunning(id, now),
    ownRunning: health.countInFlight(id),
    ownWorkMs: work.getUnfinished(id, times.estimateFactor(id, now), now).costMs,
    timeFactor: times.getUsualFactor(id),
    ...(pace && { pacePercent: pace.percent, paceAgeMs: now - pace.at }),
    queueWaitMs: health.getQueueWait(id, now),
    backlogMs: health.getBacklog(id, now),
    failureRate: health.getFailureRate(id),
  }
}
