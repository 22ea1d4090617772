import type { Request, Response } from "@tinyhttp/app"
import type { Agent } from "undici"
import { type ClaimedAnswer, IdempotentRunner, type ClaimStore } from "@galenaway/claims"
import type {
  DataCentre,
  EndpointId,
  EndpointInfo,
  GalenawayError,
  Incarnation,
} from "@galenaway/core"
import type { IngressGuard } from "@galenaway/ingress"
import { sendError, wrapError } from "./errors.js"
import type { TimeSource } from "./idle-timeout.js"
import { parseDeadline, createInputError } from "./parse.js"
import { ServicePool } from "./pool.js"
import { readLimitedBody, readRequestIds } from "./request.js"
import { type ServiceCall, ServiceSender } from "./sender.js"
import type { Observers } from "./tracker.js"

const OPERATION_PATTERN = /^[a-z][a-z0-9-]{0,62}$/
const MAX_KEY_LENGTH = 255
const DEFAULT_DEADLINE_MS = 10_000

/** Dependencies of a `ServiceHandler`. */
export interface ServiceHandlerDependencies extends TimeSource, Observers {
  readonly endpoints: readonly EndpointInfo[]
  readonly dataCentre: DataCentre
  readonly platform: ClaimStore
  readonly incarnation: Incarnation
  readonly agent: Agent
  readonly ingress: IngressGuard
  /** Returns whether new calls may be sent to an endpoint; false for one that is leaving. */
  readonly isUsable?: (endpoint: EndpointId) => boolean
  /** Returns whether another incarnation may be running, so that it can settle its claims. */
  readonly isAlive?: (author: Incarnation) => boolean
}

interface ParsedCall {
  readonly call: ServiceCall
  readonly key: string | undefined
  readonly isIdempotent: boolean
}

/**
 * Serves `POST /v1/services/:operation`. Calls with the same idempotency key
 * run at most once. A call without a key is sent at most once, unless its
 * caller marks it as idempotent.
 */
export class ServiceHandler {
  private readonly claims: IdempotentRunner
  private readonly sender: ServiceSender

  constructor(private readonly deps: ServiceHandlerDependencies) {
    const { platform, incarnation: author, clock, wait, recorder, metrics, isAlive } = deps
    this.claims = new IdempotentRunner({
      platform,
      author,
      clock,
      wait,
      ...(isAlive ? { isAlive } : {}),
      onEvent: (kind, key) => {
        if (kind === "claim-written") metrics.count("claims")
        recorder.record({ kind, note: key })
      },
    })
    this.sender = new ServiceSender(new ServicePool(deps), deps.agent, deps)
  }

  /** Answers one call. Never rejects; errors are sent to the caller. */
  async handle(request: Request, response: Response): Promise<void> {
    const start = this.deps.clock.now()
    const operation = request.params.operation ?? ""
    try {
      const ids = readRequestIds(request.headers)
      response.setHeader("x-request-id", ids.caller)
      const parsed = parseCall(
        ids.internal,
        operation,
        request,
        await readLimitedBody(request, this.deps.ingress),
      )
      await this.answer(parsed, response, start)
    } catch (error) {
      sendError(response, error)
    }
  }

  /** Waits until all claims are settled, or until `limitMs` has passed. Returns the number of unsettled claims. */
  drain(limitMs: number): Promise<number> {
    return this.claims.drain(limitMs)
  }

  private async answer(parsed: ParsedCall, response: Response, start: number): Promise<void> {
    const { recorder, log, clock } = this.deps
    const { id: request, operation } = parsed.call
    recorder.record({ kind: "request-received", request, note: operation })
    try {
      const answer = await this.run(parsed)
      sendAnswer(response, answer)
      recorder.record({ kind: "request-done", request })
      const { status, isReplayed } = answer
      const totalMs = Math.round(clock.now() - start)
      log.info({ request, operation, status, isReplayed, totalMs }, "call done")
    } catch (thrown) {
      const error = wrapError(thrown)
      sendError(response, error)
      this.recordFailure(parsed.call, error, start)
    }
  }

  private async run({ call, key, isIdempotent }: ParsedCall): Promise<ClaimedAnswer> {
    if (key !== undefined) {
      const reservation = await this.sender.acquire()
      try {
        const { operation, body } = call
        const send = () => reservation.send(call)
        return await this.claims.runOnce({ operation, key, body }, send)
      } finally {
        reservation.release()
      }
    }
    const answer = isIdempotent
      ? await this.sender.sendIdempotent(call)
      : await this.sender.sendOnce(call)
    return { ...answer, isReplayed: false }
  }

  private recordFailure(
    { id: request, operation }: ServiceCall,
    error: GalenawayError,
    start: number,
  ) {
    const { recorder, log, clock } = this.deps
    const { code, step, peer, outcome, message: reason } = error
    const kind = outcome === "not-run" ? "request-refused" : "request-failed"
    recorder.record({ kind, request, peer, step, note: code })
    const totalMs = Math.round(clock.now() - start)
    const text = outcome === "not-run" ? "call refused" : "call failed"
    log.info({ request, operation, code, step, peer, outcome, reason, totalMs }, text)
  }
}

function parseCall(id: string, operation: string, request: Request, body: string): ParsedCall {
  if (!OPERATION_PATTERN.test(operation))
    throw createInputError("operation: expected a lower-case name")
  const { headers } = request
  const key = headers["idempotency-key"]
  const isValidKey = typeof key === "string" && key !== "" && key.length <= MAX_KEY_LENGTH
  if (key !== undefined && !isValidKey)
    throw createInputError(`idempotency-key: expected 1 to ${MAX_KEY_LENGTH} characters`)
  const idempotent = headers["x-galenaway-idempotent"]
  if (idempotent !== undefined && idempotent !== "true" && idempotent !== "false")
    throw createInputError("x-galenaway-idempotent: expected true or false")
  const timeoutMs = parseDeadline(headers["x-galenaway-deadline-ms"], DEFAULT_DEADLINE_MS)
  const call = { id, operation, body, timeoutMs, ...(isValidKey ? { key } : {}) }
  return { call, key: isValidKey ? key : undefined, isIdempotent: idempotent === "true" }
}

function sendAnswer(response: Response, { status, body, isReplayed }: ClaimedAnswer): void {
  response.status(status)
  response.setHeader("content-type", "application/json")
  if (isReplayed) response.setHeader("x-galenaway-replayed", "true")
  if (body === undefined) response.setHeader("x-galenaway-body", "not-kept")
  response.end(body ?? "")
}
