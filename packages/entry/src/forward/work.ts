import type { Millis } from "@galenaway/core"
import type { ModelRequest } from "@galenaway/routing"
import type { AttemptResult, Destination } from "./answer.js"
import type { Call } from "./call.js"
import type { ForwardContext } from "./context.js"
import { recordPlainResult, toPlainCall } from "./plain-call.js"

/** Adds the expected work of a call to what its endpoint has to do. Returns a function that removes it. */
export function startWork(
  context: ForwardContext,
  call: Call,
  { endpoint }: Destination,
): () => void {
  const costMs = estimateCost(context, call)
  return context.health.work.add(endpoint.id, costMs, context.clock.now())
}

/** Records what the end of an attempt after `ms` shows of the cost of the call. */
export function recordCost(
  context: ForwardContext,
  call: Call,
  destination: Destination,
  result: AttemptResult,
  headMs: Millis | undefined,
  ms: Millis,
): void {
  if (call.facts.model === undefined) {
    recordPlainResult(context, call, destination, result, headMs)
    return
  }
  if (result.kind === "streamed")
    context.costs.recordRun(toModelRequest(call), context.paces.get(call.service), ms)
}

function estimateCost({ costs, paces }: ForwardContext, call: Call): Millis {
  return call.facts.model === undefined
    ? costs.estimateCall(toPlainCall(call))
    : costs.estimateRun(toModelRequest(call), paces.get(call.service))
}

/** Returns the caller's estimate, at most the maximum if there is one. */
export function chooseOutputTokens(lengthHint: number | undefined, maxTokens: number): number {
  if (lengthHint === undefined) return maxTokens
  return maxTokens > 0 ? Math.min(lengthHint, maxTokens) : lengthHint
}

function toModelRequest({ service, route, facts, account }: Call): ModelRequest {
  const { adapter, promptTokens, lengthHint, outputTokens } = facts
  return {
    service,
    route: route.name,
    adapter,
    account: account?.name,
    promptTokens,
    outputTokens: chooseOutputTokens(lengthHint, outputTokens),
  }
}
