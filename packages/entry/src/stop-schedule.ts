import type { Clock, Millis } from "@galenaway/core"

/** How long a load balancer may open new connections after the instance stops being ready. */
const BALANCER_LAG_MS = 2700
/** Part of the stop limit that is reserved for the steps after the last answer. */
const STOP_MARGIN_MS = 600

/**
 * Decides, for the time of its clock, which requests are taken and sent while an
 * instance stops. Before the stop begins, all are.
 */
export class StopSchedule {
  private startedAt: Millis | undefined

  /** `limitMs` is the time between the stop signal and the kill of the process. */
  constructor(
    private readonly clock: Clock,
    private readonly limitMs: Millis,
  ) {}

  /** Records that the stop signal was received. Later calls have no effect. */
  begin(): void {
    this.startedAt ??= this.clock.now()
  }

  /** Whether the stop has begun, so that connections must close after their answers. */
  get isStopping(): boolean {
    return this.startedAt !== undefined
  }

  /** Returns whether a request that arrives now is served. The load balancer sends no new connections when it isn't. */
  canTake(): boolean {
    return this.getMsUntilRefusal() > 0
  }

  /** Returns whether a request that an endpoint starts now and runs for `runMs` is answered before the running requests are ended. */
  canSend(runMs: Millis): boolean {
    return runMs < this.getMsUntilEnd()
  }

  /** Returns the time until requests that arrive are refused, at least 0. Infinity before the stop. */
  getMsUntilRefusal(): Millis {
    return this.getMsUntil(Math.min(BALANCER_LAG_MS, this.endMs))
  }

  /** Returns the time until the running requests are ended, at least 0. Infinity before the stop. */
  getMsUntilEnd(): Millis {
    return this.getMsUntil(this.endMs)
  }

  /** Returns the time until the process may be killed, at least 0. Infinity before the stop. */
  getMsUntilKill(): Millis {
    return this.getMsUntil(this.limitMs)
  }

  private get endMs(): Millis {
    return this.limitMs - STOP_MARGIN_MS
  }

  private getMsUntil(ms: Millis): Millis {
    if (this.startedAt === undefined) return Infinity
    return Math.max(0, this.startedAt + ms - this.clock.now())
  }
}
