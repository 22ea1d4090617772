import type { EndpointId, Millis, Registration } from "@galenaway/core"
import { chooseEndpoint, type PlainCall, recordPlainCall } from "@galenaway/routing"
import type { AttemptResult, Destination } from "./answer.js"
import type { Call } from "./call.js"
import type { ForwardContext } from "./context.js"

const FIRST_ERROR_STATUS = 300

/** Chooses the endpoint of a call without a model. Returns undefined when none is usable. */
export function choosePlainDestination(
  { health, costs, localDataCentre, clock, metrics }: ForwardContext,
  call: Call,
  endpoints: readonly Registration[],
  excluded: ReadonlySet<EndpointId>,
): Destination | undefined {
  const meanCostMs = costs.getMeanCost(call.service)
  const choice = chooseEndpoint(
    { endpoints, health, localDataCentre, meanCostMs },
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
  recordPlainCall(context, endpoint, toPlainCall(call), headMs, context.clock.now())
  if (expectedMs === undefined) return
  context.metrics.recordDuration("expected-completion", expectedMs)
  context.metrics.recordDuration("actual-completion", headMs)
}

/** Returns what the cost of a call without a model depends on. */
export function toPlainCall({ service, route, path }: Call): PlainCall {
  return { service, route: route.name, path }
}
