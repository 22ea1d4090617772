import { type Millis, waitFor } from "@galenaway/core"
import { estimatePromptMs } from "@galenaway/routing"
import {
  Attempt,
  type AttemptResult,
  type Destination,
  type Patience,
  type WholeAnswer,
} from "./attempt.js"
import { type Call, describeCall, getRank, isRepeatable, isStream } from "./call.js"
import { DestinationSearch } from "./destinations.js"
import { buildRefusal, buildTimeout, buildUnknown, type OwnAnswer } from "./errors.js"
import type { ForwardParts } from "./parts.js"
import type { Reply } from "./reply.js"
import { type Flow, StreamSink, WholeSink } from "./sinks.js"

/** A call that can't be sent is refused after this share of its objective. */
const REFUSAL_SHARE = 0.12
const SEARCH_PAUSE_MS = 15
/** The least time in which an endpoint may still answer. */
const MIN_SEND_MS = 10
/** Sends of one call, whatever became of them. */
const MAX_SENDS = 5
const FIRST_BYTE_SHARE = 0.5
const MIN_FIRST_BYTE_MS = 100
/** A first event may wait behind long prompts; another engine would often have to load the adapter first. */
const FIRST_EVENT_MS = 1000
const PROMPT_FACTOR = 3
/** A request that can't be on time waits behind those that can. */
const LATE_PATIENCE_MS = 2000
const SILENT_STREAM_MS = 900
const SERVER_ERROR_STATUS = 500
const NEVER: Patience = { firstByteMs: Infinity, betweenBytesMs: Infinity }

type Verdict =
  | { readonly kind: "again" }
  | { readonly kind: "over" }
  | { readonly kind: "own"; readonly answer: OwnAnswer }

const AGAIN: Verdict = { kind: "again" }
const OVER: Verdict = { kind: "over" }

/** Serves one call: finds endpoints, sends it, and sends it again where that is allowed. */
export class ForwardJob {
  private readonly search: DestinationSearch
  private readonly stream: StreamSink
  private attempt: Attempt | undefined
  private sends = 0
  /** Sends that may have run. */
  private runs = 0
  private spareAnswer: WholeAnswer | undefined

  constructor(
    private readonly parts: ForwardParts,
    private readonly call: Call,
    private readonly reply: Reply,
  ) {
    this.search = new DestinationSearch(parts, call)
    this.stream = new StreamSink(reply, isRepeatable(call), call.facts.lastEventId)
  }

  /** Serves the call to its end. */
  async run(): Promise<void> {
    const { parts, call } = this
    const { adapter } = call.facts
    parts.metrics.countRank("requests", getRank(call))
    parts.getAllowance(call.service).recordRequest(parts.clock.now())
    if (adapter !== undefined) parts.popularity.add(adapter, parts.clock.now())
    for (;;) {
      const verdict = await this.takeTurn()
      if (verdict.kind === "again") continue
      if (verdict.kind === "own") this.answerOwn(verdict.answer)
      if (call.callerGone.aborted) parts.metrics.countRank("cancellations", getRank(call))
      return
    }
  }

  private async takeTurn(): Promise<Verdict> {
    if (this.call.callerGone.aborted) return OVER
    if (this.getRemaining() < MIN_SEND_MS) return this.giveUpOnTime()
    const search = await this.search.find(this.stream.hasBegun)
    if (search.kind === "none") return this.waitForEndpoint(search.reason)
    if (this.getRemaining() < MIN_SEND_MS) return this.giveUpOnTime()
    if (this.sends > 0 && !this.takeAllowance()) return this.giveUp("the retry limit is reached")
    return this.send(search.destination)
  }

  private async send(destination: Destination): Promise<Verdict> {
    const { parts, call } = this
    const patience = this.choosePatience(destination)
    const getFlow = (): Flow => this.attempt ?? { pause: ignore, resume: ignore }
    const sink = isStream(call) ? this.stream.build(getFlow) : new WholeSink(this.reply, getFlow)
    this.sends++
    this.attempt = new Attempt(parts, call, destination, sink, patience)
    const sentAt = parts.clock.now()
    const result = await this.attempt.run()
    const ms = Math.round(parts.clock.now() - sentAt)
    this.measure(sentAt)
    this.logAttempt(destination, result, Math.round(sentAt - call.arrivedAt), ms)
    return this.judge(destination, result)
  }

  private measure(sentAt: Millis): void {
    const { parts, call, attempt } = this
    const waitedMs = sentAt - call.arrivedAt
    const rank = getRank(call)
    if (this.sends === 1) parts.metrics.timeRank("wait", rank, waitedMs)
    if (attempt?.headMs !== undefined)
      parts.metrics.timeRank("first-token", rank, waitedMs + attempt.headMs)
  }

  private judge({ endpoint }: Destination, result: AttemptResult): Verdict {
    switch (result.kind) {
      case "streamed":
        return OVER
      case "answered":
        return this.judgeAnswer(endpoint.id, result.answer)
      case "not-run":
        if (result.cause === "missing") this.search.onMissing(endpoint.id)
        else this.search.exclude(endpoint.id)
        return this.sends < MAX_SENDS ? AGAIN : this.giveUp(`not run: ${result.cause}`)
      case "failed":
        this.runs++
        this.search.exclude(endpoint.id)
        return this.mayRunAgain() ? AGAIN : this.giveUp(`the endpoint failed: ${result.cause}`)
      case "out-of-time":
        this.runs++
        return this.giveUpOnTime()
      case "caller-gone":
        return OVER
    }
  }

  private judgeAnswer(endpoint: string, answer: WholeAnswer): Verdict {
    if (answer.status >= SERVER_ERROR_STATUS) {
      this.runs++
      this.spareAnswer = answer
      this.search.exclude(endpoint)
      if (this.mayRunAgain()) return AGAIN
    }
    this.deliver(answer)
    return OVER
  }

  /** Delivers a whole answer; a stream that has begun is broken off instead. */
  private deliver({ status, headers, body }: WholeAnswer): void {
    if (this.reply.hasHead) this.reply.breakOff()
    else this.reply.sendWhole(status, headers, body)
  }

  /** A call may run at a further endpoint if its kind allows it and its route's number of endpoints isn't reached. */
  private mayRunAgain(): boolean {
    const { route } = this.call
    return isRepeatable(this.call) && this.runs < route.maxAttempts && this.sends < MAX_SENDS
  }

  private async waitForEndpoint(reason: string): Promise<Verdict> {
    const held = this.parts.clock.now() - this.call.arrivedAt
    const isHeldLong = held > REFUSAL_SHARE * this.call.route.objectiveMs
    if (isHeldLong && !this.stream.hasBegun) return this.giveUp(reason)
    await waitFor(SEARCH_PAUSE_MS, this.call.callerGone)
    return AGAIN
  }

  private choosePatience({ isLate, waitMs }: Destination): Patience {
    const { route, facts } = this.call
    if (!isRepeatable(this.call) || this.runs + 1 >= route.maxAttempts) return NEVER
    if (isStream(this.call)) {
      const queueMs = waitMs + (isLate ? LATE_PATIENCE_MS : 0)
      const firstByteMs = FIRST_EVENT_MS + queueMs + PROMPT_FACTOR * estimatePromptMs(facts)
      return { firstByteMs, betweenBytesMs: SILENT_STREAM_MS }
    }
    const share = FIRST_BYTE_SHARE * route.objectiveMs
    return { firstByteMs: Math.max(MIN_FIRST_BYTE_MS, share), betweenBytesMs: SILENT_STREAM_MS }
  }

  private takeAllowance(): boolean {
    const { parts, call } = this
    return parts.getAllowance(call.service).acquire(parts.clock.now(), parts.countInstances())
  }

  private giveUp(reason: string): Verdict {
    if (this.spareAnswer) {
      this.deliver(this.spareAnswer)
      return OVER
    }
    return { kind: "own", answer: this.runs > 0 ? buildUnknown(reason) : buildRefusal(reason) }
  }

  private giveUpOnTime(): Verdict {
    if (this.spareAnswer) return this.giveUp("out of time")
    return { kind: "own", answer: buildTimeout(this.runs > 0) }
  }

  private answerOwn(answer: OwnAnswer): void {
    const count = answer.outcome === "not-run" ? "refusals" : "failures"
    this.parts.metrics.countRank(count, getRank(this.call))
    this.parts.log.write(
      { ...describeCall(this.call), status: answer.status, reason: answer.message },
      "answered by the instance",
    )
    this.reply.sendOwn(answer)
  }

  private getRemaining(): Millis {
    return this.call.deadline - this.parts.clock.now()
  }

  private logAttempt(
    { endpoint, version }: Destination,
    result: AttemptResult,
    waitedMs: Millis,
    ms: Millis,
  ): void {
    const { adapter } = this.call.facts
    const { id: endpointId, dataCentre } = endpoint
    const cause = "cause" in result ? result.cause : undefined
    const status = result.kind === "answered" ? result.answer.status : this.reply.sentStatus
    this.parts.log.write(
      {
        ...describeCall(this.call),
        send: this.sends,
        endpoint: endpointId,
        at: dataCentre,
        adapter,
        version,
        result: result.kind,
        cause,
        status,
        waitedMs,
        headMs: this.attempt?.headMs,
        ms,
      },
      "attempt ended",
    )
  }
}

function ignore(): void {
  // Nothing to hold before the attempt exists.
}
