import type { Millis } from "@galenaway/core"
import { AdmissionQueue, type EngineSlots, type GetWeight, PaceEstimator } from "@galenaway/policy"

/** A request of a replayed load. */
export interface ReplayRequest {
  readonly at: Millis
  readonly promptTokens: number
  readonly eventCount: number
  readonly priority: number
  readonly account?: string
}

/** An engine that reads prompts in pieces between the tokens of its streams. */
export interface ReplayEngine {
  readonly tokensPerMs: number
  /** Time of a step in which each stream gets one token and no prompt is read. */
  readonly stepMs: Millis
  readonly tokensPerEvent: number
  /** Prompt tokens that one step reads at most. */
  readonly chunkTokens: number
  /** How long work takes at a time, as a multiple of the usual time; always 1 if undefined. */
  readonly getPace?: (at: Millis) => number
  /** The pace that the admission uses at a time, from reports; undefined if it has none. */
  readonly estimatePace?: (at: Millis) => number
  /** Number of requests that it runs at the same time; unlimited if undefined. */
  readonly slots?: number
}

/** The limits within which a request is on time. */
export interface ReplayObjective {
  readonly firstTokenMs: Millis
  readonly pauseMs: Millis
}

/** What became of the requests of a replay. */
export interface ReplayResult {
  readonly onTime: number
  /** Indexes of the requests that were on time. */
  readonly onTimeIndexes: readonly number[]
  readonly late: number
  readonly refused: number
  /** Time between arrival and refusal of each refused request. */
  readonly refusedAfterMs: readonly Millis[]
}

interface Stream {
  readonly request: ReplayRequest
  readonly sentAt: Millis
  /** Prompt tokens that the engine had to read when the request was sent. */
  readonly unreadAtSend: number | undefined
  unreadTokens: number
  tokenCount: number
  lastEventAt: Millis
  isOnTime: boolean
}

/** Replays a load on one engine. Without `isAdmitted`, requests are sent as they arrive. */
export function replayLoad(
  requests: readonly ReplayRequest[],
  engine: ReplayEngine,
  objective: ReplayObjective,
  isAdmitted: boolean,
  getWeight?: GetWeight,
): ReplayResult {
  return new Replay(requests, engine, objective, isAdmitted, getWeight).run()
}

class Replay {
  private readonly queue: AdmissionQueue
  private readonly pace = new PaceEstimator()
  private readonly unread: Stream[] = []
  private readonly running = new Set<Stream>()
  private readonly refusedAfterMs: Millis[] = []
  private readonly onTimeIndexes: number[] = []
  private late = 0
  private nextIndex = 0
  private now: Millis = 0

  constructor(
    private readonly requests: readonly ReplayRequest[],
    private readonly engine: ReplayEngine,
    private readonly objective: ReplayObjective,
    private readonly isAdmitted: boolean,
    getWeight?: GetWeight,
  ) {
    const getPace = () => {
      const slowdown = this.pace.computeSlowdown(engine.estimatePace?.(this.now))
      return {
        tokensPerMs: this.pace.tokensPerMs / slowdown,
        eventMs: this.pace.eventMs * slowdown,
        firstTokenMs: this.pace.firstTokenMs * slowdown,
        batchMs: this.pace.computeBatchMs(objective.pauseMs),
      }
    }
    this.queue = new AdmissionQueue(getPace, () => this.getSlots(), getWeight)
  }

  run(): ReplayResult {
    for (;;) {
      this.addArrivals()
      this.decide()
      if (this.unread.length > 0 || this.running.size > 0) this.runStep()
      else if (!this.skipIdleTime()) break
    }
    const { onTimeIndexes, late, refusedAfterMs } = this
    const onTime = onTimeIndexes.length
    return { onTime, onTimeIndexes, late, refused: refusedAfterMs.length, refusedAfterMs }
  }

  private getSlots(): EngineSlots {
    const { slots = Infinity } = this.engine
    const free = slots - this.unread.length - this.running.size
    return { free, turnoverMs: this.pace.runMs / slots }
  }

  private addArrivals(): void {
    for (;;) {
      const request = this.requests[this.nextIndex]
      if (!request || request.at > this.now) return
      if (this.isAdmitted) this.enqueue(request, this.nextIndex)
      else this.send(request)
      this.nextIndex++
    }
  }

  private enqueue(request: ReplayRequest, id: number): void {
    const { at, promptTokens, priority, account } = request
    const outputTokens = request.eventCount * this.engine.tokensPerEvent
    const objectiveAt = at + this.objective.firstTokenMs
    const expiresAt = objectiveAt - this.pace.estimatePromptMs(promptTokens)
    const shared = { id, promptTokens, outputTokens, priority, objectiveAt, expiresAt }
    this.queue.add({ ...shared, isLate: false, ...(account !== undefined && { account }) }, at)
  }

  private decide(): void {
    for (const decision of this.queue.takeDecisions(this.now)) {
      const request = this.requests[decision.id]
      if (!request) continue
      if (decision.kind === "granted") this.send(request, decision.unreadTokens)
      else this.refusedAfterMs.push(this.now - request.at)
    }
  }

  private send(request: ReplayRequest, unreadAtSend?: number): void {
    this.unread.push({
      request,
      sentAt: this.now,
      unreadAtSend,
      unreadTokens: request.promptTokens,
      tokenCount: 0,
      lastEventAt: 0,
      isOnTime: true,
    })
  }

  private runStep(): void {
    const { engine, unread } = this
    const started: Stream[] = []
    let chunk = engine.chunkTokens
    while (chunk > 0 && unread[0]) {
      const read = Math.min(chunk, unread[0].unreadTokens)
      chunk -= read
      unread[0].unreadTokens -= read
      if (unread[0].unreadTokens <= 0) started.push(...unread.splice(0, 1))
    }
    const stepMs = engine.stepMs + (engine.chunkTokens - chunk) / engine.tokensPerMs
    this.now += stepMs * (engine.getPace?.(this.now) ?? 1)
    for (const stream of this.running) this.addToken(stream)
    for (const stream of started) this.start(stream)
  }

  private start(stream: Stream): void {
    const pace = this.engine.estimatePace && this.engine.getPace?.(this.now)
    if (stream.unreadAtSend !== undefined)
      this.pace.recordPrompt(stream.unreadAtSend, this.now - stream.sentAt, pace)
    stream.lastEventAt = this.now
    stream.isOnTime = this.now - stream.request.at <= this.objective.firstTokenMs
    this.running.add(stream)
  }

  private addToken(stream: Stream): void {
    stream.tokenCount++
    if (stream.tokenCount % this.engine.tokensPerEvent !== 0) return
    this.pace.recordEvent(this.now - stream.lastEventAt, this.objective.pauseMs)
    if (this.now - stream.lastEventAt > this.objective.pauseMs) stream.isOnTime = false
    stream.lastEventAt = this.now
    if (stream.tokenCount < stream.request.eventCount * this.engine.tokensPerEvent) return
    this.running.delete(stream)
    this.pace.recordRun(this.now - stream.sentAt)
    if (stream.isOnTime) this.onTimeIndexes.push(this.requests.indexOf(stream.request))
    else this.late++
  }

  /** Moves to the next arrival or decision. Returns false when there is none. */
  private skipIdleTime(): boolean {
    const nextArrival = this.requests[this.nextIndex]?.at ?? Infinity
    const next = Math.min(nextArrival, this.queue.getNextTime() ?? Infinity)
    if (next === Infinity) return false
    this.now = Math.max(next, this.now)
    return true
  }
}
