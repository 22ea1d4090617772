import type { EndpointId, Millis, Registration, ServiceName } from "@galenaway/core"
import {
  chooseEndpoint,
  type PlainCall,
  recordPlainCall,
  type ServiceView,
} from "@galenaway/routing"
import type { AttemptResult, Destination } from "./answer.js"
import type { Call } from "./call.js"
import type { ForwardContext } from "./context.js"

const FIRST_ERROR_STATUS = 300

/** Chooses the endpoint of a call without a model. Returns undefined when none is usable. */
export function choosePlainDestination(
  context: ForwardContext,
  call: Call,
  endpoints: readonly Registration[],
  excluded: ReadonlySet<EndpointId>,
): Destination | undefined {
  const { costs, clock, metrics } = context
  const choice = chooseEndpoint(
    buildServiceView(context, call.service, endpoints),
    costs.estimateCall(toPlainCall(call)),
    excluded,
    clock.now(),
    Math.random(),
  )
  if (!choice) return undefined
  const destination = { endpoint: choice.endpoint, isLate: false, waitMs: 0 }
  switch (choice.rule) {
    case "load":
      metrics.count("choices-by-load")
      return destination
    case "completion":
      metrics.count("choices-by-completion")
      return { ...destination, expectedMs: choice.expectedMs }
  }
}

/** Records what the end of an attempt shows of its endpoint's speed and of the call's cost. An error answer shows neither. */
export function recordPlainResult(
  context: ForwardContext,
  call: Call,
  { endpoint, expectedMs }: Destination,
  result: AttemptResult,
  headMs: Millis | undefined,
): void {
  if (result.kind !== "answered" || headMs === undefined) return
  if (result.answer.status >= FIRST_ERROR_STATUS) return
  const { health, costs, localDataCentre, placementCosts, clock } = context
  const tables = { health, costs, localDataCentre, hopMs: placementCosts.roundTripMs }
  recordPlainCall(tables, endpoint, toPlainCall(call), headMs, clock.now())
  if (expectedMs === undefined) return
  context.metrics.recordDuration("expected-completion", expectedMs)
  context.metrics.recordDuration("actual-completion", headMs)
}

/** Builds the view from which the endpoint of a plain call is chosen. */
export function buildServiceView(
  { health, costs, localDataCentre, placementCosts }: ForwardContext,
  service: ServiceName,
  endpoints: readonly Registration[],
): ServiceView {
  const meanCostMs = costs.getMeanCost(service)
  return { endpoints, health, localDataCentre, meanCostMs, hopMs: placementCosts.roundTripMs }
}

/** Returns what the cost of a call without a model depends on. */
export function toPlainCall({ service, route, path }: Call): PlainCall {
  return { service, route: route.name, path }
}
