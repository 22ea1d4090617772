import {
  describeError,
  type EndpointId,
  type ErrorCode,
  type Millis,
  waitFor,
} from "@galenaway/core"
import type { AttemptResult, CompleteAnswer, Destination } from "./answer.js"
import { Attempt } from "./attempt.js"
import {
  type Call,
  describeCall,
  estimateRunMs,
  getRank,
  isRevoked,
  isRetryable,
  isStopLimit,
  isStream,
} from "./call.js"
import { CallConnections } from "./call-connections.js"
import type { ForwardContext } from "./context.js"
import { type DestinationResult, DestinationSearch } from "./destinations.js"
import {
  buildRefusal,
  buildTimeout,
  buildUnauthorized,
  buildUnknownOutcome,
  type ErrorAnswer,
  STOPPING,
} from "./errors.js"
import { Failover } from "./failover.js"
import type { CallerReply } from "./reply.js"
import { chooseRetryAfterMs } from "./retry-after.js"
import { BufferingSink, type FlowControl, StreamSink } from "./sinks.js"
import { chooseTimeouts, NO_TIMEOUTS } from "./timeouts.js"
import { recordCost, startWork } from "./work.js"

/** A call without an endpoint is refused after this share of its latency objective. */
const MAX_SEARCH_SHARE = 0.12
const SEARCH_INTERVAL_MS = 15
/** A call is not sent when less time is left before its deadline. */
const MIN_REMAINING_MS = 10
/** Limit on the sends of one call, including those that no endpoint ran. */
const MAX_SEND_COUNT = 5
const SERVER_ERROR_STATUS = 500

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
  private readonly failover: Failover
  private readonly connections: CallConnections
  private readonly stream: StreamSink
  private attempt: Attempt | undefined
  private sendCount = 0
  /** Number of sends that an endpoint may have run. */
  private runCount = 0
  /** Whether an endpoint has answered the call. */
  private isAnswered = false
  /** The last endpoint whose attempt was ended because it was silent. */
  private silentEndpoint: EndpointId | undefined
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
    this.connections = new CallConnections(call)
    this.stream = new StreamSink(reply, isRetryable(call), call.facts.lastEventId)
    this.failover = new Failover({
      find: () => this.search.find(this.stream.hasStarted),
      acquireRetry: () => this.acquireRetry(),
      disconnectSignal: call.disconnectSignal,
      onError: (error) => {
        const err = describeError(error)
        context.log.write({ ...describeCall(call), err }, "search for another endpoint failed")
      },
    })
  }

  /** Whether an endpoint may have run the call. */
  get mayHaveRun(): boolean {
    return this.runCount > 0 || this.isAnswered
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
      const { disconnectSignal } = call
      if (disconnectSignal.aborted && !isStopLimit(disconnectSignal))
        context.metrics.countRank("cancellations", getRank(call))
      return
    }
  }

  private async runStep(): Promise<NextAction> {
    if (this.call.disconnectSignal.aborted) return this.endCall()
    if (this.getRemainingMs() < MIN_REMAINING_MS) return this.rejectOnTimeout()
    if (!this.canEndInTime()) return this.reject(STOPPING.message, undefined, STOPPING.code)
    if (isRevoked(this.call, this.context.authorizer)) return this.rejectRevoked()
    const replacement = this.failover.takeDestination()
    const held = this.checkParts()
    if (held) return held
    if (replacement) return this.send(replacement)
    const search = await this.findDestination()
    if (search === "disconnected") return this.endCall()
    if (search.kind === "none") return this.waitForEndpoint(search.reason)
    if (search.kind === "paused") return this.rejectPaused(search.waitMs)
    if (search.kind === "overloaded") return this.rejectOverload(search.waitMs)
    if (this.getRemainingMs() < MIN_REMAINING_MS) return this.rejectOnTimeout()
    if (!this.canEndInTime()) return this.reject(STOPPING.message, undefined, STOPPING.code)
    // The wait for admission or a load may have been long.
    if (isRevoked(this.call, this.context.authorizer)) return this.rejectRevoked()
    const heldMeanwhile = this.checkParts()
    if (heldMeanwhile) return heldMeanwhile
    if (this.sendCount > 0 && !this.acquireRetry()) return this.handleRetryLimit()
    return this.send(search.destination)
  }

  /** Returns whether the call ends before this instance does. The rest of an answer that has begun is always tried. */
  private canEndInTime(): boolean {
    const { context, call } = this
    if (!context.stop.isStopping || this.stream.hasStarted) return true
    const now = context.clock.now()
    const runMs = estimateRunMs(call, context.paces.get(call.service), now)
    return isStream(call) || !context.stop.canTake() ? context.stop.canSend(runMs) : true
  }

  /** Finds the next endpoint. The wait ends when the instance ends its calls, since a load can't be cancelled. */
  private findDestination(): Promise<DestinationResult | "disconnected"> {
    const { disconnectSignal } = this.call
    return new Promise((resolve, reject) => {
      const onDisconnect = () => {
        if (isStopLimit(disconnectSignal)) resolve("disconnected")
      }
      disconnectSignal.addEventListener("abort", onDisconnect, { once: true })
      this.search
        .find(this.stream.hasStarted)
        .then(resolve, reject)
        .finally(() => {
          disconnectSignal.removeEventListener("abort", onDisconnect)
        })
    })
  }

  /** Ends a call whose connection ends. A caller that is still there gets an answer. */
  private endCall(): NextAction {
    if (!isStopLimit(this.call.disconnectSignal)) return DONE
    if (this.runCount > 0) return this.rejectOnTimeout()
    return { kind: "error", answer: STOPPING }
  }

  private async send(destination: Destination): Promise<NextAction> {
    const { context, call } = this
    const getFlowControl = (): FlowControl =>
      this.attempt ?? { pause: doNothing, resume: doNothing }
    const sink = isStream(call)
      ? this.stream.createSink(getFlowControl)
      : new BufferingSink(this.reply, getFlowControl)
    this.sendCount++
    const isReplaceable = this.canRetryAfter(this.runCount + 1)
    const timeouts = isReplaceable ? chooseTimeouts(context, call, destination) : NO_TIMEOUTS
    this.attempt = new Attempt(context, call, destination, sink, {
      timeouts,
      connectionUse: this.connections.choose(destination.endpoint),
      onSilent: (attempt) => {
        this.handleSilence(destination, attempt)
      },
    })
    const sentAt = context.clock.now()
    const endWork = startWork(context, call, destination)
    const result = await this.attempt.run()
    endWork()
    const ms = Math.round(context.clock.now() - sentAt)
    this.recordMetrics(sentAt)
    recordCost(context, call, destination, result, this.attempt.headMs, ms)
    this.logAttempt(destination, result, Math.round(sentAt - call.arrivedAt), ms)
    return this.handleResult(destination, result)
  }

  /** Searches for another endpoint while the silent one may still go on. */
  private handleSilence({ endpoint }: Destination, attempt: Attempt): void {
    const { context, call } = this
    if (!this.canRetryAfter(this.runCount + 1)) return
    const endpointSilentMs = context.health.getSilence(endpoint.id, context.clock.now())
    context.log.write(
      { ...describeCall(call), endpoint: endpoint.id, endpointSilentMs },
      "attempt is silent",
    )
    this.search.exclude(endpoint.id)
    void this.failover.run(attempt)
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
        this.isAnswered = true
        return DONE
      case "answered":
        this.isAnswered = true
        return this.handleAnswer(endpoint.id, result.answer)
      case "not-run":
        if (result.cause === "missing") this.search.onAdapterMissing(endpoint.id)
        else this.search.exclude(endpoint.id)
        this.readmitSilent()
        return this.sendCount < MAX_SEND_COUNT ? RETRY : this.reject(`not run: ${result.cause}`)
      case "failed":
        this.runCount++
        this.search.exclude(endpoint.id)
        this.silentEndpoint = result.cause === "silent" ? endpoint.id : undefined
        return this.canRetryAfter(this.runCount)
          ? RETRY
          : this.reject(`the endpoint failed: ${result.cause}`)
      case "out-of-time":
        this.runCount++
        return this.rejectOnTimeout()
      case "caller-gone":
        this.runCount++
        return this.endCall()
    }
  }

  private handleAnswer(endpoint: string, answer: CompleteAnswer): NextAction {
    if (answer.status >= SERVER_ERROR_STATUS) {
      this.runCount++
      this.fallbackAnswer = answer
      this.search.exclude(endpoint)
      if (this.canRetryAfter(this.runCount)) return RETRY
    }
    this.sendAnswer(answer)
    return DONE
  }

  /** Sends a complete answer. When a stream has started, the connection is closed instead. */
  private sendAnswer({ status, headers, body }: CompleteAnswer): void {
    if (this.reply.hasHead) this.reply.abort()
    else this.reply.sendComplete(status, headers, body)
  }

  /** Returns whether the call may run at another endpoint after `runCount` runs. */
  private canRetryAfter(runCount: number): boolean {
    const isWithinLimits = runCount < this.call.route.maxAttempts && this.sendCount < MAX_SEND_COUNT
    return isRetryable(this.call) && isWithinLimits && this.stream.canContinue
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

  /** Allows the silent endpoint again when the one that should continue the answer has refused it: the silent one may be sound. */
  private readmitSilent(): void {
    if (this.silentEndpoint !== undefined && this.stream.hasStarted)
      this.search.readmit(this.silentEndpoint)
  }

  /** An answer that this instance took from a silent endpoint waits for a retry; other calls are rejected, so that their callers can come back. */
  private handleRetryLimit(): NextAction | Promise<NextAction> {
    const reason = "the retry limit is reached"
    const mustContinue = this.silentEndpoint !== undefined && this.stream.hasStarted
    return mustContinue ? this.waitForEndpoint(reason) : this.reject(reason)
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

  /** Rejects a call whose key was revoked while it waited. */
  private rejectRevoked(): NextAction {
    const reason = "the key was revoked"
    if (this.runCount > 0) return this.reject(reason)
    return { kind: "error", answer: buildUnauthorized(reason) }
  }

  private rejectOnTimeout(): NextAction {
    if (this.fallbackAnswer) return this.reject("out of time")
    return { kind: "error", answer: buildTimeout(this.runCount > 0) }
  }

  /** Sends an error answer. Where the answer has started, its connection is closed instead. */
  private sendError(answer: ErrorAnswer): void {
    const { context, call, reply } = this
    const isCut = reply.hasHead && !reply.isEnded
    const counter = answer.outcome === "not-run" ? "refusals" : "failures"
    context.metrics.countRank(counter, getRank(call))
    if (call.account && answer.outcome === "not-run")
      context.accountUsage.onRefused(call.account.name, answer.code)
    if (isCut) context.metrics.count("cut-answers")
    context.log.write(
      { ...describeCall(call), status: answer.status, reason: answer.message },
      isCut ? "answer cut" : "answered by the instance",
    )
    reply.sendError(answer)
  }

  private getRemainingMs(): Millis {
    return this.call.deadline - this.context.clock.now()
  }

  private logAttempt(
    { endpoint, version, isLate, expectedMs }: Destination,
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
        expectedMs: expectedMs === undefined ? undefined : Math.round(expectedMs),
        ms,
        ...(result.kind === "failed" && {
          parts: this.call.parts.join(),
          progress: this.attempt?.progressCount,
          endpointSilentMs: this.context.health.getSilence(endpointId, this.context.clock.now()),
        }),
      },
      "attempt ended",
    )
  }
}

function doNothing(): void {
  // There is nothing to pause before the attempt exists.
}
