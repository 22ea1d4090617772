import type { AnswerMetadata, EndpointId } from "@galenaway/core"
import type { NotRunCause } from "./answer.js"

const OK_STATUS = 200
const FIRST_ERROR_STATUS = 300
const SERVER_ERROR_STATUS = 500

/** Finds why an endpoint hasn't run a call. A refusal without the call's id may be that of an earlier request on the connection. */
export function findNotRunCause(
  facts: AnswerMetadata,
  attempt: string | undefined,
  endpoint: EndpointId,
): NotRunCause | undefined {
  if (facts.attempt !== attempt) return undefined
  if (facts.isMisdirected)
    return facts.answeredBy === undefined || facts.answeredBy === endpoint ? "missing" : "moved"
  return facts.isNotRun ? "full" : undefined
}

/**
 * Returns whether an answer belongs to a call. A success or a server error must have
 * the endpoint's signature. A success must carry the request id of the call, and no
 * answer may carry another one. An encoded body is never accepted, nor a refusal,
 * which would say that the call hasn't run.
 */
export function isMatchingAnswer(
  facts: AnswerMetadata,
  attempt: string | undefined,
  status: number,
): boolean {
  if (facts.hasEncodedBody || facts.isNotRun || facts.isMisdirected) return false
  const isSuccess = status >= OK_STATUS && status < FIRST_ERROR_STATUS
  if (!facts.isSigned && (isSuccess || status >= SERVER_ERROR_STATUS)) return false
  return facts.attempt === undefined ? !isSuccess : facts.attempt === attempt
}

/** Returns whether the endpoint itself has answered. A misdirected request may have reached another one, which then states its id. */
export function isFromEndpoint(
  { answeredBy, isMisdirected }: AnswerMetadata,
  endpoint: EndpointId,
): boolean {
  return answeredBy === undefined ? !isMisdirected : answeredBy === endpoint
}
