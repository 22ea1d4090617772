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
import { IdleTimeoutError, readWithIdleTimeout, type TimeSource } from "./idle-timeout.js"

/** Limits for the connections over which one answer is read. */
export const ANSWER_LIMITS = {
  /** Idle timeout before the first part, as a share of the time until the first token is due. */
  firstTimeoutShare: 0.25,
  /** Bounds of that timeout. It doubles with each connection in a row that was idle for too long. */
  minFirstTimeoutMs: 250,
  maxFirstTimeoutMs: 2000,
  /** Lower bound of the idle timeout between parts. It doubles with each connection in a row that was idle for too long. */
  minTimeoutMs: 500,
  /** Idle timeout between parts, as a multiple of the mean token interval. */
  timeoutTokenIntervals: 20,
  /** Time without a new part, over all connections, after which the answer fails. */
  maxSilenceMs: 30_000,
  /** Number of connections that may fail in a row without a new part. */
  maxFailures: 4,
  /** Backoff before the second reconnection in a row. It doubles with each further failure. */
  retryDelayMs: 100,
} as const

/** The engine that runs a completion. */
export interface AnswerTarget {
  readonly endpoint: EndpointId
  readonly engine: EnginePort
}

/** Options of `streamAnswer`. */
export interface AnswerOptions extends TimeSource {
  /** Time at which the first token is due. `maxSilenceMs` counts from this time at the earliest. */
  readonly firstTokenBy: Millis
  /** Called before the answer is resumed over a new connection, with the reason. */
  readonly onResume?: (afterSequence: number, reason: string) => void
}

/**
 * Runs a completion and yields its parts. When a connection fails or is idle
 * for too long, the answer is resumed after the last part over a new
 * connection. All parts belong to one run of this request on the adapter that
 * it names, and each is yielded once and in order. Throws when an endpoint
 * sends a part that breaks this, when the run can't be found again, and when
 * the limits in `ANSWER_LIMITS` are reached.
 */
export async function* streamAnswer(
  target: AnswerTarget,
  call: CompletionCall,
  signal: AbortSignal,
  options: AnswerOptions,
): AsyncGenerator<StreamPart> {
  const cursor = new AnswerCursor(target.endpoint, call, options)
  let open = (connectionSignal: AbortSignal) => target.engine.complete(call, connectionSignal)
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
    open = (connectionSignal) => target.engine.resume(call.request, cursor.last, connectionSignal)
  }
}

/** Position in an answer, and the connection failures since the last part. */
class AnswerCursor {
  last = 0
  private run: string | undefined
  private firstAt = 0
  private lastAt: Millis
  private connectionFailures = 0
  private idleTimeouts = 0

  constructor(
    private readonly endpoint: EndpointId,
    private readonly call: CompletionCall,
    private readonly options: AnswerOptions,
  ) {
    this.lastAt = options.clock.now()
  }

  /** Checks and counts a part. Returns false for a repeated part. Throws when the part isn't the next of this answer. */
  accept(part: StreamPart): boolean {
    const { request, adapter, run } = part.source
    this.run ??= run
    const isExpected =
      request === this.call.request && adapter === this.call.adapter && run === this.run
    if (!isExpected || part.sequence > this.last + 1) throw this.createPartError(part)
    if (part.sequence <= this.last) return false
    this.last = part.sequence
    this.lastAt = this.options.clock.now()
    if (this.last === 1) this.firstAt = this.lastAt
    this.connectionFailures = 0
    this.idleTimeouts = 0
    return true
  }

  getIdleTimeoutMs(): number {
    const timeoutMs = this.last === 0 ? this.getFirstTimeoutMs() : this.getNextTimeoutMs()
    return timeoutMs * 2 ** this.idleTimeouts
  }

  private getFirstTimeoutMs(): number {
    const { firstTimeoutShare, minFirstTimeoutMs, maxFirstTimeoutMs } = ANSWER_LIMITS
    const share = firstTimeoutShare * (this.options.firstTokenBy - this.lastAt)
    return Math.min(maxFirstTimeoutMs, Math.max(minFirstTimeoutMs, share))
  }

  private getNextTimeoutMs(): number {
    const { minTimeoutMs, timeoutTokenIntervals } = ANSWER_LIMITS
    const interval = this.last > 1 ? (this.lastAt - this.firstAt) / (this.last - 1) : 0
    return Math.max(minTimeoutMs, timeoutTokenIntervals * interval)
  }

  /** Counts a failure and waits for the backoff. Throws when a limit is reached. */
  async recordFailure(
    failure: GalenawayError | IdleTimeoutError,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, wait, firstTokenBy } = this.options
    const since = this.last === 0 ? Math.max(this.lastAt, firstTokenBy) : this.lastAt
    if (clock.now() - since >= ANSWER_LIMITS.maxSilenceMs)
      throw this.createError("silent for too long")
    if (failure instanceof IdleTimeoutError) {
      this.idleTimeouts++
      return
    }
    this.connectionFailures++
    if (this.connectionFailures > ANSWER_LIMITS.maxFailures) throw failure
    if (this.connectionFailures > 1)
      await wait(ANSWER_LIMITS.retryDelayMs * 2 ** (this.connectionFailures - 2), signal)
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

/** Returns the error when the run may be found again over a new connection; throws it otherwise. */
function checkResumable(error: unknown): GalenawayError | IdleTimeoutError {
  if (error instanceof IdleTimeoutError) return error
  if (!(error instanceof GalenawayError) || error.code !== "endpoint-failed") throw error
  if (error instanceof RefusedError && error.step !== "resume") throw error
  return error
}
