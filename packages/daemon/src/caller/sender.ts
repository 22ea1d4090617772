import getRawBody from "raw-body"
import { type Agent, request as sendRequest } from "undici"
import type { RecordedAnswer } from "@galenaway/claims"
import {
  describeError,
  type EndpointId,
  type EndpointInfo,
  GalenawayError,
  RefusedError,
  UnknownOutcomeError,
} from "@galenaway/core"
import { isConnectFailure } from "../endpoint/connect-failure.js"
import type { TimeSource } from "./idle-timeout.js"
import type { ServicePool } from "./pool.js"
import { RetryBudget } from "./retry-budget.js"
import type { Observers } from "./tracker.js"

const ANSWER_LIMIT_BYTES = 1024 * 1024
const MAX_ATTEMPT_COUNT = 3
const SERVER_ERROR_STATUS = 500

/** A call to a plain service. */
export interface ServiceCall {
  readonly id: string
  readonly operation: string
  readonly key?: string
  readonly body: string
  /** Time until the call fails without a complete answer, in milliseconds. */
  readonly timeoutMs: number
}

/** Capacity for one call at an endpoint. */
export interface ServiceReservation {
  /**
   * Sends the call. When no connection to the endpoint can be opened, the
   * reservation moves to another endpoint. Throws an error with the outcome
   * `not-run` only when no byte can have been sent.
   */
  send(call: ServiceCall): Promise<RecordedAnswer>
  /** Releases the capacity. Further calls have no effect. */
  release(): void
}

/** Sends calls to the plain services. */
export class ServiceSender {
  private readonly budget = new RetryBudget()

  constructor(
    private readonly pool: ServicePool,
    private readonly agent: Agent,
    private readonly deps: TimeSource & Pick<Observers, "recorder">,
  ) {}

  /** Reserves capacity for one call. Throws a RefusedError when none becomes free in time. */
  async acquire(): Promise<ServiceReservation> {
    let endpoint: EndpointInfo | undefined = await this.pool.acquire()
    const release = () => {
      if (endpoint) this.pool.release(endpoint.id)
      endpoint = undefined
    }
    const tried = new Set<EndpointId>()
    const send = async (call: ServiceCall): Promise<RecordedAnswer> => {
      for (;;) {
        endpoint ??= await this.pool.acquire(tried)
        try {
          return await this.call(endpoint, call)
        } catch (error) {
          this.pool.recordFailure(endpoint.id)
          if (!(error instanceof RefusedError)) throw error
          tried.add(endpoint.id)
          release()
        }
      }
    }
    return { send, release }
  }

  /** Sends a call that must not be retried once a byte may have been sent. */
  async sendOnce(call: ServiceCall): Promise<RecordedAnswer> {
    const reservation = await this.acquire()
    try {
      return await reservation.send(call)
    } finally {
      reservation.release()
    }
  }

  /** Sends a call that may run more than once. Retries it within the retry budget when its outcome is unknown. */
  async sendIdempotent(call: ServiceCall): Promise<RecordedAnswer> {
    this.budget.recordRequest()
    const { clock } = this.deps
    const end = clock.now() + call.timeoutMs
    for (let attempt = 1; ; attempt++) {
      try {
        return await this.sendOnce({ ...call, timeoutMs: end - clock.now() })
      } catch (error) {
        const isLast = attempt === MAX_ATTEMPT_COUNT || clock.now() >= end
        if (isLast || !hasUnknownOutcome(error) || !this.budget.acquire()) throw error
      }
    }
  }

  private async call({ id, url }: EndpointInfo, call: ServiceCall): Promise<RecordedAnswer> {
    this.deps.recorder.record({ kind: "request-sent", request: call.id, endpoint: id })
    const timer = new AbortController()
    const timeout = new AbortController()
    void this.deps.wait(call.timeoutMs, timer.signal).then(() => {
      const message = `no answer within ${Math.round(call.timeoutMs)} ms`
      if (!timer.signal.aborted) timeout.abort(new Error(message))
    })
    try {
      const answer = await this.send(`${url}/${call.operation}`, call, timeout.signal)
      if (answer.status < SERVER_ERROR_STATUS) return answer
      // A service may fail with a 5xx status after it has run the call.
      throw new Error(`status ${answer.status}: ${answer.body}`)
    } catch (error) {
      const message = describeError(error)
      if (isConnectFailure(error)) throw new RefusedError("endpoint-failed", "send", id, message)
      throw new UnknownOutcomeError("endpoint-failed", "send", id, message)
    } finally {
      timer.abort()
    }
  }

  private async send(url: string, call: ServiceCall, signal: AbortSignal): Promise<RecordedAnswer> {
    const response = await sendRequest(url, {
      method: "POST",
      dispatcher: this.agent,
      headers: {
        "content-type": "application/json",
        "x-request-id": call.id,
        ...(call.key === undefined ? {} : { "idempotency-key": call.key }),
      },
      body: call.body,
      signal,
      headersTimeout: 0,
      bodyTimeout: 0,
    })
    const options = { limit: ANSWER_LIMIT_BYTES, encoding: "utf8" } as const
    return { status: response.statusCode, body: await getRawBody(response.body, options) }
  }
}

function hasUnknownOutcome(error: unknown): boolean {
  return error instanceof GalenawayError && error.outcome === "unknown"
}
