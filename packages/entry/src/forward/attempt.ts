import {
  type AnswerMetadata,
  describeError,
  type Millis,
  type RawHeaders,
  ReadTimeout,
  type ReportedLoad,
} from "@galenaway/core"
import type { PaceEstimator } from "@galenaway/policy"
import type { EndpointOutcome } from "@galenaway/routing"
import type {
  AnswerSink,
  AttemptResult,
  AttemptTimeouts,
  Destination,
  NotRunCause,
} from "./answer.js"
import { findNotRunCause, isFromEndpoint, isMatchingAnswer } from "./answer-check.js"
import { type Call, isRevoked, isStream } from "./call.js"
import type { ForwardContext } from "./context.js"
import { HttpExchange } from "./exchange.js"
import type { ConnectionUse } from "./pools.js"
import type { AttemptGuard } from "../quarantine/index.js"

/** Expected time to the first byte, to which the time for the prompt is added. */
const BASE_FIRST_BYTE_MS = 30
/** Limits on the body of a refusal, which isn't used. Beyond them the connection is closed. */
const NOT_RUN_BODY_MS = 100
const NOT_RUN_BODY_BYTES = 64 * 1024
const VERSION_CHECK_INTERVAL_MS = 500
const SERVER_ERROR_STATUS = 500
const PERCENT = 100

/** How one attempt is sent and watched. */
export interface AttemptOptions {
  readonly timeouts: AttemptTimeouts
  /** The connections on which it is sent. */
  readonly connectionUse: ConnectionUse
  /** Called each time that the endpoint has been silent for longer than its timeout. The attempt continues. */
  onSilent(attempt: Attempt): void
}

/** Runs one attempt of a call at an endpoint. */
export class Attempt {
  private readonly exchange: HttpExchange
  private readonly startedAt: Millis
  private isHeadAccepted = false
  private isPending = false
  private notRunCause: NotRunCause | undefined
  private skippedBytes = 0
  private status = 0
  private readonly silenceTimeout = new ReadTimeout()
  private deadlineTimer: NodeJS.Timeout | undefined
  private versionTimer: NodeJS.Timeout | undefined
  private readonly pace: PaceEstimator
  private readonly guard: AttemptGuard
  /** Time of the last event of a stream. Undefined before the head. */
  private lastEventAt: Millis | undefined
  private resolveOnce: (result: AttemptResult) => void = () => undefined
  private isResolved = false
  private outcome: EndpointOutcome | undefined
  /** Time from the start to the head of the answer, in ms. Undefined before the head. */
  headMs: Millis | undefined
  /** Longest time between two events of a stream, in ms. */
  maxPauseMs: Millis = 0
  /** Number of times that the answer's body continued; for a stream at most its number of events. */
  progressCount = 0
  private isTimedOut = false

  constructor(
    private readonly context: ForwardContext,
    private readonly call: Call,
    private readonly destination: Destination,
    private readonly sink: AnswerSink,
    private readonly options: AttemptOptions,
  ) {
    this.startedAt = context.clock.now()
    this.pace = context.paces.get(call.service)
    this.guard = context.guard.start(destination.endpoint, call.parts, () => {
      this.abort({ kind: "failed", cause: "quarantined" }, undefined)
    })
    this.exchange = new HttpExchange({
      canSend: () => this.canSend(),
      onHead: (status, headers) => {
        this.onHead(status, headers)
      },
      onData: (chunk) => {
        this.onData(chunk)
      },
      onEnd: () => {
        this.onEnd()
      },
      onError: (_error, mayHaveBeenSent) => {
        this.onError(mayHaveBeenSent)
      },
    })
  }

  /** Sends the call and resolves when the attempt has ended. Failures are results; the promise never rejects. */
  async run(): Promise<AttemptResult> {
    const { context, call, destination } = this
    const { endpoint } = destination
    const { adapter } = call.facts
    const promptMs = this.pace.estimatePromptMs(call.facts.promptTokens)
    context.health.onSend(endpoint.id, promptMs, this.startedAt)
    if (adapter !== undefined) context.uses.add(endpoint.id, adapter)
    if (call.facts.model !== undefined) {
      this.isPending = true
      context.health.onPending(endpoint.id, destination.isLate)
    }
    try {
      return await this.runExchange()
    } finally {
      this.guard.onEnd()
      this.clearPending()
      context.health.onEnd(endpoint.id, this.outcome, context.clock.now())
      if (adapter !== undefined) context.uses.remove(endpoint.id, adapter)
    }
  }

  private clearPending(): void {
    if (!this.isPending) return
    this.isPending = false
    this.context.health.onPendingEnd(this.destination.endpoint.id, this.destination.isLate)
  }

  /** Whether the endpoint has sent nothing usable for longer than its timeout. False once the attempt has ended. */
  get isSilent(): boolean {
    return this.isTimedOut && !this.isResolved
  }

  /** Ends the attempt because its endpoint is silent. Does nothing after its end. */
  endSilent(): void {
    this.abort({ kind: "failed", cause: "silent" }, undefined)
  }

  /** Stops reading the answer until `resume` is called. */
  pause(): void {
    this.exchange.pause()
  }

  /** Continues reading the answer. */
  resume(): void {
    this.exchange.resume()
  }

  private runExchange(): Promise<AttemptResult> {
    return new Promise((resolve) => {
      const onCallerGone = () => {
        this.abort({ kind: "caller-gone" }, undefined)
      }
      this.resolveOnce = (result) => {
        if (this.isResolved) return
        this.isResolved = true
        this.silenceTimeout.cancel()
        clearTimeout(this.deadlineTimer)
        clearInterval(this.versionTimer)
        this.call.disconnectSignal.removeEventListener("abort", onCallerGone)
        resolve(result)
      }
      this.call.disconnectSignal.addEventListener("abort", onCallerGone, { once: true })
      if (this.call.disconnectSignal.aborted) onCallerGone()
      else this.send()
    })
  }

  /** Sends the call. An error while the request is built ends the attempt: nothing was sent. */
  private send(): void {
    try {
      this.startExchange()
    } catch (error) {
      const { id } = this.destination.endpoint
      const fields = { request: this.call.facts.attempt, endpoint: id, err: describeError(error) }
      this.context.log.write(fields, "request not sent")
      this.resolveOnce({ kind: "not-run", cause: "unreachable" })
    }
  }

  private startExchange(): void {
    const { context, call, destination, sink } = this
    const { endpoint, version } = destination
    const remainingMs = call.deadline - context.clock.now()
    const lastEventId = sink.getLastEventId()
    const headers = context.headerCodec.buildRequest(call.headers, {
      endpoint: endpoint.id,
      remainingMs,
      priority: call.priority,
      isLate: destination.isLate,
      hasAccounts: context.authorizer.hasAccounts,
      ...(call.account && { account: call.account.name }),
      ...(version !== undefined && { version }),
      ...(lastEventId !== undefined && { lastEventId }),
    })
    this.deadlineTimer = setTimeout(() => {
      this.abort({ kind: "out-of-time" }, undefined)
    }, remainingMs)
    this.startTimeout(this.options.timeouts.firstByteMs)
    this.startVersionCheck()
    const connections = context.pools.get(
      endpoint,
      this.options.connectionUse,
      context.computeConnectionLimit(endpoint),
    )
    this.exchange.start(connections, {
      method: call.method,
      path: call.path,
      headers,
      body: call.body,
    })
  }

  /** Aborts the attempt if its adapter version becomes older than requests may start on before it starts, which the first event of a stream shows. */
  private startVersionCheck(): void {
    const { adapter } = this.call.facts
    if (adapter === undefined) return
    this.versionTimer = setInterval(() => {
      const required = this.context.versions.getMinimum(adapter, this.context.clock.now())
      if (required === undefined || (this.destination.version ?? 0) >= required) return
      this.abort({ kind: "failed", cause: "outdated" }, undefined)
    }, VERSION_CHECK_INTERVAL_MS)
  }

  private onHead(status: number, headers: RawHeaders): void {
    const { context, call, destination } = this
    const facts = context.headerCodec.readAnswer(status, headers)
    const now = context.clock.now()
    const { id } = destination.endpoint
    context.health.onBytes(id, now)
    if (facts.load) context.health.onLoad(id, facts.load, now)
    this.status = status
    this.headMs = Math.round(now - this.startedAt)
    this.clearPending()
    this.reportNotices(facts)
    const cause = findNotRunCause(facts, call.facts.attempt, id)
    if (cause) {
      this.notRunCause = cause
      this.startNotRunTimeout(cause)
      return
    }
    if (!isMatchingAnswer(facts, call.facts.attempt, status)) {
      this.abort({ kind: "failed", cause: "wrong-answer" }, "broken")
      return
    }
    if (isStream(call)) this.recordFirstByte(now, facts.load)
    else clearInterval(this.versionTimer)
    this.isHeadAccepted = true
    this.startTimeout(this.options.timeouts.betweenBytesMs)
    this.sink.onHead(status, headers)
  }

  /** Reports what the endpoint states about itself, in whatever answer. */
  private reportNotices(facts: AnswerMetadata): void {
    const { context, destination } = this
    if (!isFromEndpoint(facts, destination.endpoint.id)) return
    if (facts.isLeaving) context.onLeaving(destination.endpoint)
    if (facts.retryAfterMs !== undefined)
      context.onPause(destination.endpoint.id, facts.retryAfterMs)
  }

  /** Aborts a request that waited for a connection until its endpoint had left or asked for a pause, or its key was revoked. */
  private canSend(): boolean {
    const cause = this.findHindrance()
    if (cause === undefined) return true
    this.abort({ kind: "not-run", cause }, undefined)
    return false
  }

  private findHindrance(): NotRunCause | undefined {
    const { health, clock, directory } = this.context
    if (isRevoked(this.call, this.context.authorizer)) return "revoked"
    const { id } = this.destination.endpoint
    if (directory.find(id)?.phase !== "live") return "left"
    return health.getPause(id, clock.now()) > 0 ? "paused" : undefined
  }

  private recordFirstByte(now: Millis, load: ReportedLoad | undefined): void {
    const { context, call, destination, pace } = this
    const { promptTokens } = call.facts
    const ms = now - this.startedAt
    const expectedMs = BASE_FIRST_BYTE_MS + pace.estimatePromptMs(promptTokens)
    context.health.onFirstByte(destination.endpoint.id, ms, expectedMs)
    // Where requests wait for a place of the batch, the time doesn't show how fast prompts are read.
    const hasWaiting = load !== undefined && (load.waiting > 0 || load.running >= load.slots)
    if (destination.unreadTokens !== undefined && !hasWaiting)
      pace.recordPrompt(destination.unreadTokens, ms, getPace(load))
    this.lastEventAt = now
  }

  private recordEvent(now: Millis): void {
    if (this.lastEventAt === undefined || now === this.lastEventAt) return
    const ms = now - this.lastEventAt
    this.pace.recordEvent(ms, this.call.route.pauseMs)
    this.recordSpeed(ms)
    this.maxPauseMs = Math.max(this.maxPauseMs, Math.round(ms))
    this.lastEventAt = now
  }

  /** Records the speed of an engine that reports its pace; others are taken as equal. */
  private recordSpeed(ms: Millis): void {
    const { health } = this.context
    const { id } = this.destination.endpoint
    if (health.times.getLastPace(id)) health.speeds.onEvent(id, this.call.service, ms)
  }

  private onData(chunk: Buffer): void {
    const { context, destination } = this
    context.health.onBytes(destination.endpoint.id, context.clock.now())
    if (this.notRunCause) this.skipNotRunBody(chunk, this.notRunCause)
    if (this.notRunCause || !this.isHeadAccepted) return
    switch (this.sink.onData(chunk)) {
      case "used":
        this.progressCount++
        clearInterval(this.versionTimer)
        this.guard.onProgress()
        this.startTimeout(this.options.timeouts.betweenBytesMs)
        this.recordEvent(this.context.clock.now())
        return
      case "kept":
        return
      case "rejected":
        this.abort({ kind: "failed", cause: "wrong-answer" }, "broken")
    }
  }

  private skipNotRunBody(chunk: Buffer, cause: NotRunCause): void {
    this.skippedBytes += chunk.length
    if (this.skippedBytes <= NOT_RUN_BODY_BYTES) return
    this.exchange.abort()
    this.resolveNotRun(cause)
  }

  private onEnd(): void {
    if (this.notRunCause) {
      this.resolveNotRun(this.notRunCause)
      return
    }
    this.outcome = this.status >= SERVER_ERROR_STATUS ? "error" : "answered"
    const result = this.sink.onEnd()
    if (result.kind === "streamed") {
      this.pace.recordRun(this.context.clock.now() - this.startedAt)
      this.guard.onComplete()
    }
    if (result.kind === "failed") {
      this.outcome = "broken"
      this.guard.onBroken()
    }
    this.resolveOnce(result)
  }

  private onError(mayHaveBeenSent: boolean): void {
    if (this.notRunCause) {
      this.resolveNotRun(this.notRunCause)
      return
    }
    this.outcome = "broken"
    if (mayHaveBeenSent) this.guard.onBroken()
    this.resolveOnce(
      mayHaveBeenSent
        ? { kind: "failed", cause: "broken" }
        : { kind: "not-run", cause: "unreachable" },
    )
  }

  private resolveNotRun(cause: NotRunCause): void {
    this.outcome = cause === "full" ? "full" : undefined
    this.resolveOnce({ kind: "not-run", cause })
  }

  private startNotRunTimeout(cause: NotRunCause): void {
    this.silenceTimeout.cancel()
    this.isTimedOut = false
    this.silenceTimeout.start(NOT_RUN_BODY_MS, () => {
      this.exchange.abort()
      this.resolveNotRun(cause)
    })
  }

  /** Starts the timeout anew, since the endpoint has sent something. */
  private startTimeout(ms: Millis): void {
    this.silenceTimeout.cancel()
    this.isTimedOut = false
    if (ms === Infinity) return
    this.silenceTimeout.start(ms, () => {
      this.handleSilence()
    })
  }

  private handleSilence(): void {
    const { context, destination } = this
    this.isTimedOut = true
    // Late requests have the lowest priority, so their wait for the first byte doesn't show that the endpoint failed.
    const isQueued = destination.isLate && !this.isHeadAccepted
    if (!isQueued) context.health.onSilent(destination.endpoint.id, context.clock.now())
    this.options.onSilent(this)
  }

  private abort(result: AttemptResult, outcome: EndpointOutcome | undefined): void {
    if (this.isResolved) return
    this.exchange.abort()
    if (this.notRunCause) {
      this.resolveNotRun(this.notRunCause)
      return
    }
    this.outcome = outcome
    this.resolveOnce(result)
  }
}

/** Returns the pace that an endpoint reported, as a multiple of the usual time. */
function getPace(load: ReportedLoad | undefined): number | undefined {
  return load?.pacePercent === undefined ? undefined : load.pacePercent / PERCENT
}
