import {
  type CompletionCall,
  describeError,
  type EndpointId,
  type EnginePort,
  GalenawayError,
  type Millis,
  RefusedError,
  type StreamPart,
  UnknownOutcomeError,
} from "@galenaway/core"
import { readWithIdleTimeout, IdleTimeoutError, type TimeSource } from "./idle-timeout.js"

/** The bounds of an answer's connections, in milliseconds. */
export const ANSWER_LIMITS = {
  /** Silence before the first part that counts as a lost connection, as a share of the time left for it. */
  firstSilenceShare: 0.25,
  /** The bounds of that silence; it doubles with each probe. */
  minFirstSilenceMs: 250,
  maxFirstSilenceMs: 2000,
  /** The least silence between parts that counts as a lost connection; it doubles with each probe. */
  silenceMs: 500,
  /** Silence between parts that counts as a lost connection, in token intervals. */
  silenceIntervals: 20,
  /** Silence over all probes after which the answer fails. */
  maxSilenceMs: 30_000,
  /** Connections that may fail one after another without a part between. */
  maxFailures: 4,
  /** Wait before a failed connection is followed by a fresh one; it doubles with each failure. */
  retryDelayMs: 100,
} as const

/** The engine that runs a completion. */
export interface AnswerTarget {
  readonly endpoint: EndpointId
  readonly engine: EnginePort
}

/** What an answer needs besides its call. */
export interface AnswerOptions extends TimeSource {
  /** When the first token is due. Silence before it doesn't fail the answer. */
  readonly firstTokenBy: Millis
  /** Called when the answer goes on over a fresh connection, with the reason. */
  readonly onResume?: (afterSequence: number, reason: string) => void
}

/**
 * Runs a completion and yields its parts. A connection that fails or goes
 * silent is followed by a fresh one, which goes on after the last part. It
 * guarantees that each part comes from one run of the caller's own request on
 * the adapter that it named, each once and without a gap; otherwise it throws.
 */
export async function* streamAnswer(
  target: AnswerTarget,
  call: CompletionCall,
  signal: AbortSignal,
  options: AnswerOptions,
): AsyncGenerator<StreamPart> {
  const cursor = new AnswerCursor(target.endpoint, call, options)
  let open = (own: AbortSignal) => target.engine.complete(call, own)
  for (;;) {
    let failure: GalenawayError | IdleTimeoutError
    try {
      for await (const part of readWithIdleTimeout(
        open,
        signal,
        cursor.getIdleTimeoutMs(),
        options,
      )) {
        if (!cursor.accept(part)) continue
        yield part
        if (part.kind === "done") return
      }
      failure = cursor.createError("the stream ended early")
    } catch (error) {
      if (signal.aborted) throw error
      failure = checkResumable(error)
    }
    await cursor.recordFailure(failure, signal)
    options.onResume?.(cursor.last, describeError(failure))
    open = (own) => target.engine.resume(call.request, cursor.last, own)
  }
}

/** How far an answer has come, and how its connections fared since. */
class AnswerCursor {
  last = 0
  private run: string | undefined
  private firstAt = 0
  private lastAt: Millis
  private failures = 0
  private silences = 0

  constructor(
    private readonly endpoint: EndpointId,
    private readonly call: CompletionCall,
    private readonly options: AnswerOptions,
  ) {
    this.lastAt = options.clock.now()
  }

  /** Takes the next part. Returns false for one that was seen; throws when it isn't this answer's. */
  accept(part: StreamPart): boolean {
    const { request, adapter, run } = part.source
    this.run ??= run
    const isOwn = request === this.call.request && adapter === this.call.adapter && run === this.run
    if (!isOwn || part.sequence > this.last + 1) throw this.createPartError(part)
    if (part.sequence <= this.last) return false
    this.last = part.sequence
    this.lastAt = this.options.clock.now()
    if (this.last === 1) this.firstAt = this.lastAt
    this.failures = 0
    this.silences = 0
    return true
  }

  getIdleTimeoutMs(): number {
    const bound = this.last === 0 ? this.getFirstTimeoutMs() : this.getNextTimeoutMs()
    return bound * 2 ** this.silences
  }

  private getFirstTimeoutMs(): number {
    const { firstSilenceShare, minFirstSilenceMs, maxFirstSilenceMs } = ANSWER_LIMITS
    const share = firstSilenceShare * (this.options.firstTokenBy - this.lastAt)
    return Math.min(maxFirstSilenceMs, Math.max(minFirstSilenceMs, share))
  }

  private getNextTimeoutMs(): number {
    const { silenceMs, silenceIntervals } = ANSWER_LIMITS
    const interval = this.last > 1 ? (this.lastAt - this.firstAt) / (this.last - 1) : 0
    return Math.max(silenceMs, silenceIntervals * interval)
  }

  /** Counts a failure, and waits when the next connection has to. Throws when there are too many. */
  async recordFailure(
    failure: GalenawayError | IdleTimeoutError,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, wait, firstTokenBy } = this.options
    const since = this.last === 0 ? Math.max(this.lastAt, firstTokenBy) : this.lastAt
    if (clock.now() - since >= ANSWER_LIMITS.maxSilenceMs)
      throw this.createError("silent for too long")
    if (failure instanceof IdleTimeoutError) {
      this.silences++
      return
    }
    this.failures++
    if (this.failures > ANSWER_LIMITS.maxFailures) throw failure
    if (this.failures > 1) await wait(ANSWER_LIMITS.retryDelayMs * 2 ** (this.failures - 2), signal)
  }

  createError(message: string): UnknownOutcomeError {
    return new UnknownOutcomeError("endpoint-failed", "stream", this.endpoint, message)
  }

  private createPartError({ source, sequence }: StreamPart): UnknownOutcomeError {
    const got = `${source.request} on ${source.adapter} run ${source.run} part ${sequence}`
    const message = `not this answer: ${got} after part ${this.last}`
    return new UnknownOutcomeError("wrong-answer", "stream", this.endpoint, message)
  }
}

/** Returns a failure after which the run may still be found on a fresh connection; throws any other. */
function checkResumable(error: unknown): GalenawayError | IdleTimeoutError {
  if (error instanceof IdleTimeoutError) return error
  if (!(error instanceof GalenawayError) || error.code !== "endpoint-failed") throw error
  if (error instanceof RefusedError && error.step !== "resume") throw error
  return error
}
