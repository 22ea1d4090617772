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
import { RetryBudget } from "./retry-budget.js"
import type { ServicePool } from "./pool.js"
import type { TimeSource } from "./idle-timeout.js"
import type { Observers } from "./tracker.js"

const ANSWER_LIMIT_BYTES = 1024 * 1024
const MAX_ATTEMPTS = 3
const SERVER_FAILURE = 500

/** A call to a plain service. */
export interface ServiceCall {
  readonly id: string
  readonly operation: string
  readonly key?: string
  readonly body: string
  /** How long an answer is waited for, in milliseconds. */
  readonly timeoutMs: number
}

/** A place at an endpoint, which moves on to another while no connection comes about. */
export interface ServiceReservation {
  /** Sends the call once. Fails as not run only when no byte can have left. */
  send(call: ServiceCall): Promise<RecordedAnswer>
  /** Gives the place back. */
  release(): void
}

/** Sends calls to the plain services. */
export class ServiceSender {
  private readonly budget = new RetryBudget()

  constructor(
    private readonly pool: ServicePool,
    private readonly agent: Agent,
    private readonly parts: TimeSource & Pick<Observers, "recorder">,
  ) {}

  /** Takes a place. Throws a RefusedError when there is none in time. */
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

  /** Sends a call that must not be repeated once a byte may have left. */
  async sendOnce(call: ServiceCall): Promise<RecordedAnswer> {
    const place = await this.acquire()
    try {
      return await place.send(call)
    } finally {
      place.release()
    }
  }

  /** Sends a call that may run more than once, again when its outcome is unknown. */
  async sendIdempotent(call: ServiceCall): Promise<RecordedAnswer> {
    this.budget.recordRequest()
    const { clock } = this.parts
    const end = clock.now() + call.timeoutMs
    for (let attempt = 1; ; attempt++) {
      try {
        return await this.sendOnce({ ...call, timeoutMs: end - clock.now() })
      } catch (error) {
        const isLast = attempt === MAX_ATTEMPTS || clock.now() >= end
        if (isLast || !isUnknown(error) || !this.budget.acquire()) throw error
      }
    }
  }

  private async call({ id, url }: EndpointInfo, call: ServiceCall): Promise<RecordedAnswer> {
    this.parts.recorder.record({ kind: "request-sent", request: call.id, endpoint: id })
    const timer = new AbortController()
    const timeout = new AbortController()
    void this.parts.wait(call.timeoutMs, timer.signal).then(() => {
      const message = `no answer within ${Math.round(call.timeoutMs)} ms`
      if (!timer.signal.aborted) timeout.abort(new Error(message))
    })
    try {
      const answer = await this.send(`${url}/${call.operation}`, call, timeout.signal)
      if (answer.status < SERVER_FAILURE) return answer
      // A server's own failure may come after it has run the call.
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
    const limits = { limit: ANSWER_LIMIT_BYTES, encoding: "utf8" } as const
    return { status: response.statusCode, body: await getRawBody(response.body, limits) }
  }
}

function isUnknown(error: unknown): boolean {
  return error instanceof GalenawayError && error.outcome === "unknown"
}
