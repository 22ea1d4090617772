import {
  type Clock,
  type EndpointId,
  type GalenawayError,
  type Millis,
  RefusedError,
  type RouteRequest,
} from "@galenaway/core"
import type { EventKind, Log, Metrics, Recorder } from "@galenaway/observe"

/** Destinations of a request's events, metrics and log line. */
export interface Observers {
  readonly recorder: Recorder
  readonly metrics: Metrics
  readonly log: Log
}

/** Records the events and metrics of one request, and writes one log line at its end. */
export class RequestTracker {
  private endpoint: EndpointId | undefined
  private attempts = 0
  private resumes = 0
  private tokens = 0
  private sentAt: Millis | undefined
  private firstTokenMs: number | undefined
  private lastTokenAt: Millis | undefined

  constructor(
    private readonly route: RouteRequest,
    private readonly clock: Clock,
    private readonly observers: Observers,
  ) {
    observers.metrics.countRank("requests", route.rank)
    this.record("request-received")
  }

  /** Called before the completion is sent to the endpoint of its grant, for each attempt. */
  onSent(endpoint: EndpointId, attempt: string): void {
    this.endpoint = endpoint
    this.attempts++
    if (this.sentAt === undefined) {
      this.sentAt = this.clock.now()
      this.observers.metrics.recordRankDuration(
        "wait",
        this.route.rank,
        this.sentAt - this.route.arrivedAt,
      )
    }
    this.record("request-sent", attempt)
  }

  /** Called for each token, before it is written to the caller. */
  onToken(): void {
    const now = this.clock.now()
    const { metrics } = this.observers
    this.tokens++
    if (this.lastTokenAt === undefined) {
      this.firstTokenMs = now - this.route.arrivedAt
      metrics.recordRankDuration("first-token", this.route.rank, this.firstTokenMs)
      this.record("first-token")
    } else metrics.recordRankDuration("between-tokens", this.route.rank, now - this.lastTokenAt)
    this.lastTokenAt = now
  }

  /** Called before the answer is resumed over a new connection. */
  onResumed(afterSequence: number, reason: string): void {
    this.resumes++
    this.observers.metrics.count("resumes")
    this.record("stream-resumed", `after ${afterSequence}: ${reason}`)
  }

  /** Called once, when the complete answer has been written. */
  onDone(): void {
    this.record("request-done")
    this.observers.log.info(this.describe(), "request done")
  }

  /** Called once, when the caller has closed its connection or has stalled for too long. */
  onCanceled(): void {
    this.observers.metrics.countRank("cancellations", this.route.rank)
    this.record("request-canceled")
    this.observers.log.info(this.describe(), "request canceled")
  }

  /** Called once, when the request was refused or has failed. */
  onFailed(error: GalenawayError): void {
    const isRefused = error instanceof RefusedError
    this.observers.metrics.countRank(isRefused ? "refusals" : "failures", this.route.rank)
    this.record(isRefused ? "request-refused" : "request-failed", error.code)
    const { code, step, peer, outcome, message: reason } = error
    const text = isRefused ? "request refused" : "request failed"
    this.observers.log.info({ ...this.describe(), code, step, peer, outcome, reason }, text)
  }

  private record(kind: EventKind, note?: string): void {
    this.observers.recorder.record({
      kind,
      request: this.route.id,
      adapter: this.route.adapter,
      ...(this.endpoint === undefined ? {} : { endpoint: this.endpoint }),
      ...(note === undefined ? {} : { note }),
    })
  }

  private describe() {
    const { id: request, adapter, rank, arrivedAt } = this.route
    return {
      request,
      adapter,
      rank,
      endpoint: this.endpoint ?? "none",
      attempts: this.attempts,
      resumes: this.resumes,
      tokens: this.tokens,
      // -1 when no token was received.
      firstTokenMs: Math.round(this.firstTokenMs ?? -1),
      totalMs: Math.round(this.clock.now() - arrivedAt),
    }
  }
}
