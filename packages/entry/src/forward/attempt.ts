import type { AdapterVersion, AnswerFacts, Millis, RawHeaders, Registration } from "@galenaway/core"
import { type EndpointOutcome, estimatePromptMs } from "@galenaway/routing"
import { type Call, isRepeatable, isStream } from "./call.js"
import { Exchange } from "./exchange.js"
import type { ForwardParts } from "./parts.js"

/** Why an endpoint hasn't run a request and won't. */
export type NotRunCause =
  | "full"
  /** It doesn't hold the model, the adapter or the version. */
  | "missing"
  /** Another endpoint has its address. */
  | "moved"
  /** No connection came about. */
  | "unreachable"

/** A whole answer of an endpoint's. */
export interface WholeAnswer {
  readonly status: number
  readonly headers: RawHeaders
  readonly body: Buffer
}

/** How an attempt ended. */
export type AttemptResult =
  | { readonly kind: "answered"; readonly answer: WholeAnswer }
  /** The stream was delivered to its end. */
  | { readonly kind: "streamed" }
  | { readonly kind: "not-run"; readonly cause: NotRunCause }
  /** It may have run, and there is no whole answer. */
  | { readonly kind: "failed"; readonly cause: "broken" | "silent" | "wrong-answer" | "outdated" }
  | { readonly kind: "out-of-time" }
  | { readonly kind: "caller-gone" }

/** Where a call is sent. */
export interface Destination {
  readonly endpoint: Registration
  /** The adapter's version that must run it. */
  readonly version?: AdapterVersion
  /** The request is past its latency objective, or will be when the endpoint begins with it. */
  readonly isLate: boolean
  /** Expected wait at the endpoint until it begins. */
  readonly waitMs: Millis
}

/** Takes an answer's parts as they come; the attempt decides what they mean for the call. */
export interface AnswerSink {
  /** Takes the head of an answer to this call. */
  onHead(status: number, headers: RawHeaders): void
  /** Takes bytes. Returns false for bytes that can't be right. */
  onData(chunk: Buffer): boolean
  /** Takes the end. Returns the result. */
  onEnd(): AttemptResult
  /** The last event that was delivered, from which another endpoint goes on. */
  getLastEventId(): string | undefined
}

/** How long an attempt waits before it takes an endpoint for silent, in ms; Infinity where nothing better can be done. */
export interface Patience {
  readonly firstByteMs: Millis
  readonly betweenBytesMs: Millis
}

const BASE_FIRST_BYTE_MS = 30
const VERSION_CHECK_MS = 500
const OK_STATUS = 200
const FIRST_ERROR_STATUS = 300
const SERVER_ERROR_STATUS = 500

/** Runs one attempt of a call at an endpoint. */
export class Attempt {
  private readonly exchange: Exchange
  private readonly startedAt: Millis
  private isHeadTaken = false
  private isPending = false
  private notRunCause: NotRunCause | undefined
  private status = 0
  private timer: NodeJS.Timeout | undefined
  private deadlineTimer: NodeJS.Timeout | undefined
  private versionTimer: NodeJS.Timeout | undefined
  private settle: (result: AttemptResult) => void = () => undefined
  private isSettled = false
  private outcome: EndpointOutcome | undefined
  /** Time until the head of the answer, in ms. */
  headMs: Millis | undefined

  constructor(
    private readonly parts: ForwardParts,
    private readonly call: Call,
    private readonly destination: Destination,
    private readonly sink: AnswerSink,
    private readonly patience: Patience,
  ) {
    this.startedAt = parts.clock.now()
    this.exchange = new Exchange({
      onHead: (status, headers) => {
        this.onHead(status, headers)
      },
      onData: (chunk) => {
        this.onData(chunk)
      },
      onEnd: () => {
        this.onEnd()
      },
      onError: (_error, mayHaveLeft) => {
        this.onError(mayHaveLeft)
      },
    })
  }

  /** Sends the call; resolves when the attempt has ended. It never fails. */
  async run(): Promise<AttemptResult> {
    const { parts, call, destination } = this
    const { endpoint } = destination
    const { adapter } = call.facts
    parts.health.onSend(endpoint.id, estimatePromptMs(call.facts), this.startedAt)
    if (adapter !== undefined) parts.uses.add(endpoint.id, adapter)
    if (call.facts.model !== undefined) {
      this.isPending = true
      parts.health.onPending(endpoint.id, destination.isLate)
    }
    try {
      return await this.exchangeOnce()
    } finally {
      this.settlePending()
      parts.health.onEnd(endpoint.id, this.outcome, parts.clock.now())
      if (adapter !== undefined) parts.uses.remove(endpoint.id, adapter)
    }
  }

  private settlePending(): void {
    if (!this.isPending) return
    this.isPending = false
    this.parts.health.onPendingEnd(this.destination.endpoint.id, this.destination.isLate)
  }

  /** Stops reading until it is resumed, for a caller that reads slowly. */
  pause(): void {
    this.exchange.pause()
  }

  /** Goes on reading. */
  resume(): void {
    this.exchange.resume()
  }

  private exchangeOnce(): Promise<AttemptResult> {
    return new Promise((resolve) => {
      const onGone = () => {
        this.giveUp({ kind: "caller-gone" }, undefined)
      }
      this.settle = (result) => {
        if (this.isSettled) return
        this.isSettled = true
        clearTimeout(this.timer)
        clearTimeout(this.deadlineTimer)
        clearInterval(this.versionTimer)
        this.call.callerGone.removeEventListener("abort", onGone)
        resolve(result)
      }
      this.call.callerGone.addEventListener("abort", onGone, { once: true })
      if (this.call.callerGone.aborted) onGone()
      else this.send()
    })
  }

  private send(): void {
    const { parts, call, destination, sink } = this
    const { endpoint, version } = destination
    const remainingMs = call.deadline - parts.clock.now()
    const lastEventId = sink.getLastEventId()
    const headers = parts.dialect.buildRequest(call.headers, {
      endpoint: endpoint.id,
      remainingMs,
      priority: call.route.priority,
      isLate: destination.isLate,
      ...(version !== undefined && { version }),
      ...(lastEventId !== undefined && { lastEventId }),
    })
    this.deadlineTimer = setTimeout(() => {
      this.giveUp({ kind: "out-of-time" }, undefined)
    }, remainingMs)
    this.setPatience(this.patience.firstByteMs)
    this.watchVersion()
    const use = isRepeatable(call) || isStream(call) ? "shared" : "single"
    const connections = parts.pools.get(endpoint, use, parts.countConnections(endpoint))
    this.exchange.start(connections, {
      method: call.method,
      path: call.path,
      headers,
      body: call.body,
    })
  }

  /** A request that waits at its engine must not begin on a version that was replaced too long ago. */
  private watchVersion(): void {
    const { adapter } = this.call.facts
    if (adapter === undefined) return
    this.versionTimer = setInterval(() => {
      const required = this.parts.versions.getMinimum(adapter, this.parts.clock.now())
      if (required === undefined || (this.destination.version ?? 0) >= required) return
      this.giveUp({ kind: "failed", cause: "outdated" }, undefined)
    }, VERSION_CHECK_MS)
  }

  private onHead(status: number, headers: RawHeaders): void {
    const { parts, call, destination } = this
    const facts = parts.dialect.readAnswer(status, headers)
    const now = parts.clock.now()
    const { id } = destination.endpoint
    if (facts.load) parts.health.onLoad(id, facts.load, now)
    this.status = status
    this.headMs = Math.round(now - this.startedAt)
    this.settlePending()
    const cause = this.findNotRunCause(facts)
    if (cause) {
      this.notRunCause = cause
      return
    }
    if (!this.isOwnAnswer(facts, status)) {
      this.giveUp({ kind: "failed", cause: "wrong-answer" }, "broken")
      return
    }
    if (isStream(call)) {
      const expected = BASE_FIRST_BYTE_MS + estimatePromptMs(call.facts)
      parts.health.onFirstByte(id, now - this.startedAt, expected)
    }
    this.isHeadTaken = true
    clearInterval(this.versionTimer)
    this.setPatience(this.patience.betweenBytesMs)
    this.sink.onHead(status, headers)
  }

  private findNotRunCause(facts: AnswerFacts): NotRunCause | undefined {
    if (facts.isMisdirected)
      return facts.answeredBy === undefined || facts.answeredBy === this.destination.endpoint.id
        ? "missing"
        : "moved"
    return facts.isNotRun ? "full" : undefined
  }

  /** A success without the endpoint's signature, or an answer that names another request, is not this call's. */
  private isOwnAnswer(facts: AnswerFacts, status: number): boolean {
    if (facts.hasEncodedBody) return false
    const isSuccess = status >= OK_STATUS && status < FIRST_ERROR_STATUS
    if (!facts.isSigned && (isSuccess || status >= SERVER_ERROR_STATUS)) return false
    return facts.attempt === undefined ? !isSuccess : facts.attempt === this.call.facts.attempt
  }

  private onData(chunk: Buffer): void {
    if (this.notRunCause || !this.isHeadTaken) return
    this.setPatience(this.patience.betweenBytesMs)
    if (!this.sink.onData(chunk)) this.giveUp({ kind: "failed", cause: "wrong-answer" }, "broken")
  }

  private onEnd(): void {
    if (this.notRunCause) {
      this.settleNotRun(this.notRunCause)
      return
    }
    this.outcome = this.status >= SERVER_ERROR_STATUS ? "error" : "answered"
    const result = this.sink.onEnd()
    if (result.kind === "failed") this.outcome = "broken"
    this.settle(result)
  }

  private onError(mayHaveLeft: boolean): void {
    if (this.notRunCause) {
      this.settleNotRun(this.notRunCause)
      return
    }
    this.outcome = "broken"
    this.settle(
      mayHaveLeft ? { kind: "failed", cause: "broken" } : { kind: "not-run", cause: "unreachable" },
    )
  }

  private settleNotRun(cause: NotRunCause): void {
    this.outcome = cause === "full" ? "full" : undefined
    this.settle({ kind: "not-run", cause })
  }

  private setPatience(ms: Millis): void {
    clearTimeout(this.timer)
    if (ms === Infinity) return
    this.timer = setTimeout(() => {
      // One that waits behind all others before its first byte says nothing of the endpoint.
      const isQueued = this.destination.isLate && !this.isHeadTaken
      this.giveUp({ kind: "failed", cause: "silent" }, isQueued ? undefined : "silent")
    }, ms)
  }

  private giveUp(result: AttemptResult, outcome: EndpointOutcome | undefined): void {
    if (this.isSettled) return
    this.exchange.abort()
    if (this.notRunCause) {
      this.settleNotRun(this.notRunCause)
      return
    }
    this.outcome = outcome
    this.settle(result)
  }
}
