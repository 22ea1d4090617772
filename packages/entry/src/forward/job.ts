import { type ErrorCode, type Millis, waitFor } from "@galenaway/core"
import type { AttemptResult, AttemptTimeouts, CompleteAnswer, Destination } from "./answer.js"
import { Attempt } from "./attempt.js"
import { type Call, describeCall, getRank, isRetryable, isStream } from "./call.js"
import type { ForwardContext } from "./context.js"
import { DestinationSearch } from "./destinations.js"
import { buildRefusal, buildTimeout, buildUnknownOutcome, type ErrorAnswer } from "./errors.js"
import type { CallerReply } from "./reply.js"
import { chooseRetryAfterMs } from "./retry-after.js"
import { BufferingSink, type FlowControl, StreamSink } from "./sinks.js"

/** A call without an endpoint is refused after this share of its latency objective. */
const MAX_SEARCH_SHARE = 0.12
const SEARCH_INTERVAL_MS = 15
/** A call is not sent when less time is left before its deadline. */
const MIN_REMAINING_MS = 10
/** Limit on the sends of one call, including those that no endpoint ran. */
const MAX_SEND_COUNT = 5
/** Timeout of the first byte as a share of the latency objective, for calls that aren't streams. */
const FIRST_BYTE_TIMEOUT_SHARE = 0.5
const MIN_FIRST_BYTE_TIMEOUT_MS = 100
/** Timeout of a stream's first event, to which the times for the queue and the prompt are added. Long prompts delay the event, and another engine would often have to load the adapter first. */
const FIRST_EVENT_TIMEOUT_MS = 1000
/** Allowed time for the prompt, as a multiple of the estimate. */
const PROMPT_TIME_FACTOR = 3
/** Added for late requests, since engines run them after all requests that can be on time. */
const LATE_TIMEOUT_MS = 2000
/** Timeout between two parts of an answer: at least this, and for streams a multiple of the pause that their objective allows. */
const BETWEEN_BYTES_TIMEOUT_MS = 900
const BETWEEN_EVENTS_PAUSES_COUNT = 3
const SERVER_ERROR_STATUS = 500
const NO_TIMEOUTS: AttemptTimeouts = { firstByteMs: Infinity, betweenBytesMs: Infinity }

/** What a job does after one search for an endpoint or one send. */
type NextAction =
  | { readonly kind: "retry" }
  | { readonly kind: "done" }
  | { readonly kind: "error"; readonly answer: ErrorAnswer }

const RETRY: NextAction = { kind: "retry" }
const DONE: NextAction = { kind: "done" }

/** Serves one call: finds an endpoint, sends the call, and retries where the route and the retry budget allow it. */
export class ForwardJob {
  private readonly search: DestinationSearch
  private readonly stream: StreamSink
  private attempt: Attempt | undefined
  private sendCount = 0
  /** Number of sends that an endpoint may have run. */
  private runCount = 0
  /** Whether the call tests a quarantined part of it. */
  private isTrial = false
  /** The last server error of an endpoint, sent when no later attempt succeeds. */
  private fallbackAnswer: CompleteAnswer | undefined

  constructor(
    private readonly context: ForwardContext,
    private readonly call: Call,
    private readonly reply: CallerReply,
  ) {
    this.search = new DestinationSearch(context, call)
    this.stream = new StreamSink(reply, isRetryable(call), call.facts.lastEventId)
  }

  /** Serves the call and sends its answer. A caller that closes its connection ends it early. */
  async run(): Promise<void> {
    const { context, call } = this
    const { adapter } = call.facts
    context.metrics.countRank("requests", getRank(call))
    context.getRetryBudget(call.service).recordRequest(context.clock.now())
    if (adapter !== undefined) context.popularity.add(adapter, context.clock.now())
    for (;;) {
      const action = await this.runStep()
      if (action.kind === "retry") continue
      if (action.kind === "error") this.sendError(action.answer)
      if (call.disconnectSignal.aborted) context.metrics.countRank("cancellations", getRank(call))
      return
    }
  }

  private async runStep(): Promise<NextAction> {
    if (this.call.disconnectSignal.aborted) return DONE
    if (this.getRemainingMs() < MIN_REMAINING_MS) return this.rejectOnTimeout()
    const held = this.checkParts()
    if (held) return held
    const search = await this.search.find(this.stream.hasStarted)
    if (search.kind === "none") return this.waitForEndpoint(search.reason)
    if (search.kind === "paused") return this.rejectPaused(search.waitMs)
    if (search.kind === "overloaded") return this.rejectOverload(search.waitMs)
    if (this.getRemainingMs() < MIN_REMAINING_MS) return this.rejectOnTimeout()
    // The wait for admission or a load may have been long.
    const heldMeanwhile = this.checkParts()
    if (heldMeanwhile) return heldMeanwhile
    if (this.sendCount > 0 && !this.acquireRetry()) return this.reject("the retry limit is reached")
    return this.send(search.destination)
  }

  private async send(destination: Destination): Promise<NextAction> {
    const { context, call } = this
    const timeouts = this.chooseTimeouts(destination)
    const getFlowControl = (): FlowControl =>
      this.attempt ?? { pause: doNothing, resume: doNothing }
    const sink = isStream(call)
      ? this.stream.createSink(getFlowControl)
      : new BufferingSink(this.reply, getFlowControl)
    this.sendCount++
    this.attempt = new Attempt(context, call, destination, sink, timeouts)
    const sentAt = context.clock.now()
    const result = await this.attempt.run()
    const ms = Math.round(context.clock.now() - sentAt)
    this.recordMetrics(sentAt)
    this.logAttempt(destination, result, Math.round(sentAt - call.arrivedAt), ms)
    return this.handleResult(destination, result)
  }

  private recordMetrics(sentAt: Millis): void {
    const { context, call, attempt } = this
    const waitedMs = sentAt - call.arrivedAt
    const rank = getRank(call)
    if (this.sendCount === 1) context.metrics.recordRankDuration("wait", rank, waitedMs)
    if (attempt?.headMs !== undefined)
      context.metrics.recordRankDuration("first-token", rank, waitedMs + attempt.headMs)
  }

  private handleResult({ endpoint }: Destination, result: AttemptResult): NextAction {
    switch (result.kind) {
      case "streamed":
        return DONE
      case "answered":
        return this.handleAnswer(endpoint.id, result.answer)
      case "not-run":
        if (result.cause === "missing") this.search.onAdapterMissing(endpoint.id)
        else this.search.exclude(endpoint.id)
        return this.sendCount < MAX_SEND_COUNT ? RETRY : this.reject(`not run: ${result.cause}`)
      case "failed":
        this.runCount++
        this.search.exclude(endpoint.id)
        return this.canRetry() ? RETRY : this.reject(`the endpoint failed: ${result.cause}`)
      case "out-of-time":
        this.runCount++
        return this.rejectOnTimeout()
      case "caller-gone":
        return DONE
    }
  }

  private handleAnswer(endpoint: string, answer: CompleteAnswer): NextAction {
    if (answer.status >= SERVER_ERROR_STATUS) {
      this.runCount++
      this.fallbackAnswer = answer
      this.search.exclude(endpoint)
      if (this.canRetry()) return RETRY
    }
    this.sendAnswer(answer)
    return DONE
  }

  /** Sends a complete answer. When a stream has started, the connection is closed instead. */
  private sendAnswer({ status, headers, body }: CompleteAnswer): void {
    if (this.reply.hasHead) this.reply.abort()
    else this.reply.sendComplete(status, headers, body)
  }

  /** Returns whether the call may run at another endpoint. */
  private canRetry(): boolean {
    const { route } = this.call
    return (
      isRetryable(this.call) && this.runCount < route.maxAttempts && this.sendCount < MAX_SEND_COUNT
    )
  }

  /** Returns what happens to a call with a part that ends engines, or may do so; undefined if the call may be sent. */
  private checkParts(): Promise<NextAction> | undefined {
    if (this.isTrial) return undefined
    const { context, call } = this
    const verdict = context.guard.check(call.parts)
    switch (verdict.kind) {
      case "allowed":
        return undefined
      case "trial":
        this.isTrial = true
        return undefined
      case "suspected":
        return this.waitForEndpoint("a part of the request may end engines")
      case "quarantined":
        context.metrics.count("quarantine-refusals")
        return Promise.resolve(this.rejectQuarantined(verdict.part, verdict.retryAfterMs))
    }
  }

  private async waitForEndpoint(reason: string): Promise<NextAction> {
    const searchMs = this.context.clock.now() - this.call.arrivedAt
    const isSearchOver = searchMs > MAX_SEARCH_SHARE * this.call.route.objectiveMs
    if (isSearchOver && !this.stream.hasStarted) return this.reject(reason)
    await waitFor(SEARCH_INTERVAL_MS, this.call.disconnectSignal)
    return RETRY
  }

  /** Rejects a call that no engine can start in time. It can't get better by waiting, so the caller gets its answer at once. */
  private rejectOverload(waitMs: Millis): NextAction {
    const { objectiveMs } = this.call.route
    const retryAfterMs = chooseRetryAfterMs(
      waitMs,
      objectiveMs,
      this.getRemainingMs(),
      Math.random(),
    )
    return this.reject("every engine has more work than it can do in time", retryAfterMs)
  }

  /** Rejects a call whose service wants no requests for a time. A stream that has started waits, since it can't be refused any more. */
  private rejectPaused(waitMs: Millis): NextAction | Promise<NextAction> {
    const reason = "every endpoint asked for a pause"
    return this.stream.hasStarted ? this.waitForEndpoint(reason) : this.reject(reason, waitMs)
  }

  private chooseTimeouts({ isLate, waitMs }: Destination): AttemptTimeouts {
    const { route, service, facts } = this.call
    if (!isRetryable(this.call) || this.runCount + 1 >= route.maxAttempts) return NO_TIMEOUTS
    if (isStream(this.call)) {
      const promptMs = this.context.paces.get(service).estimatePromptMs(facts.promptTokens)
      const queueMs = waitMs + (isLate ? LATE_TIMEOUT_MS : 0)
      const firstByteMs = FIRST_EVENT_TIMEOUT_MS + queueMs + PROMPT_TIME_FACTOR * promptMs
      const pausesMs = BETWEEN_EVENTS_PAUSES_COUNT * (route.pauseMs ?? 0)
      return { firstByteMs, betweenBytesMs: Math.max(BETWEEN_BYTES_TIMEOUT_MS, pausesMs) }
    }
    const objectiveShareMs = FIRST_BYTE_TIMEOUT_SHARE * route.objectiveMs
    return {
      firstByteMs: Math.max(MIN_FIRST_BYTE_TIMEOUT_MS, objectiveShareMs),
      betweenBytesMs: BETWEEN_BYTES_TIMEOUT_MS,
    }
  }

  private acquireRetry(): boolean {
    const { context, call } = this
    return context
      .getRetryBudget(call.service)
      .acquire(context.clock.now(), context.countInstances())
  }

  private reject(reason: string, retryAfterMs?: Millis, code?: ErrorCode): NextAction {
    if (this.fallbackAnswer) {
      this.sendAnswer(this.fallbackAnswer)
      return DONE
    }
    return {
      kind: "error",
      answer:
        this.runCount > 0 ? buildUnknownOutcome(reason) : buildRefusal(reason, retryAfterMs, code),
    }
  }

  private rejectQuarantined(part: string, retryAfterMs: Millis): NextAction {
    return this.reject(`engines end on ${part}`, retryAfterMs, "quarantined")
  }

  private rejectOnTimeout(): NextAction {
    if (this.fallbackAnswer) return this.reject("out of time")
    return { kind: "error", answer: buildTimeout(this.runCount > 0) }
  }

  private sendError(answer: ErrorAnswer): void {
    const counter = answer.outcome === "not-run" ? "refusals" : "failures"
    this.context.metrics.countRank(counter, getRank(this.call))
    this.context.log.write(
      { ...describeCall(this.call), status: answer.status, reason: answer.message },
      "answered by the instance",
    )
    this.reply.sendError(answer)
  }

  private getRemainingMs(): Millis {
    return this.call.deadline - this.context.clock.now()
  }

  private logAttempt(
    { endpoint, version, isLate }: Destination,
    result: AttemptResult,
    waitedMs: Millis,
    ms: Millis,
  ): void {
    const { adapter } = this.call.facts
    const { id: endpointId, dataCentre } = endpoint
    const cause = "cause" in result ? result.cause : undefined
    const status = result.kind === "answered" ? result.answer.status : this.reply.sentStatus
    this.context.log.write(
      {
        ...describeCall(this.call),
        send: this.sendCount,
        endpoint: endpointId,
        at: dataCentre,
        adapter,
        version,
        result: result.kind,
        cause,
        status,
        waitedMs,
        headMs: this.attempt?.headMs,
        maxPauseMs: this.attempt?.maxPauseMs,
        isLate,
        ms,
        ...(result.kind === "failed" && {
          parts: this.call.parts.join(),
          progress: this.attempt?.progressCount,
        }),
      },
      "attempt ended",
    )
  }
}

function doNothing(): void {
  // There is nothing to pause before the attempt exists.
}
