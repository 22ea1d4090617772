import type { Millis } from "@galenaway/core"

/** What an instance measured of itself since its last sample. */
export interface InstanceSample {
  /** How much later than due the event loop took the sample. Each step of a request waits as long. */
  readonly latenessMs: Millis
  /** Processor time that was used, as a share of what the instance may use. */
  readonly utilization: number
}

/** A longer lateness counts as this: one long pause of the process doesn't show that the next requests are delayed. */
const MAX_LATENESS_MS = 200
/** A shorter lateness is usual, for example during a garbage collection. */
const MIN_LATENESS_MS = 10
/** Weight of the latest sample in the moving averages. */
const SAMPLE_WEIGHT = 0.3
/** Number of times that a request waits for the event loop until its answer begins: head, body, admission, connection, first bytes. */
const WAIT_COUNT = 5
/** An instance is slow when its own delay takes more than this share of the latency objective. */
const SLOW_SHARE = 0.25
/** A slow instance is slow until its delay takes less than this share. */
const RECOVERED_SHARE = 0.1
/** From this utilization the waits grow fast, so an instance counts as slow at half of the delay. */
const HIGH_UTILIZATION = 0.9
const EARLY_FACTOR = 0.5
/** Number of samples in a row that must show a delay. A burst of requests passes sooner. */
const SLOW_SAMPLE_COUNT = 4

/**
 * The delay that an instance itself adds to its answers, from measurements of its
 * event loop and its processor time. For the load pattern of instances with
 * unequal processors that get equal shares of the callers.
 */
export class InstanceLoad {
  private latenessMs: Millis = 0
  private utilization = 0
  private slow = false
  private delayedCount = 0

  /** The time that this instance adds until an answer begins. */
  get addedMs(): Millis {
    return WAIT_COUNT * this.latenessMs
  }

  /** Used processor time as a share of what the instance may use, smoothed. */
  get usedShare(): number {
    return this.utilization
  }

  /** Whether the added time makes answers late. */
  get isSlow(): boolean {
    return this.slow
  }

  /** Records a sample. `objectiveMs` is the shortest latency objective of the requests that are served. */
  record({ latenessMs, utilization }: InstanceSample, objectiveMs: Millis): void {
    const countedMs = Math.min(latenessMs, MAX_LATENESS_MS)
    this.latenessMs += SAMPLE_WEIGHT * (countedMs - this.latenessMs)
    this.utilization += SAMPLE_WEIGHT * (utilization - this.utilization)
    const isDelayed = this.addedMs > this.computeLimit(objectiveMs)
    this.delayedCount = isDelayed ? this.delayedCount + 1 : 0
    this.slow = isDelayed && (this.slow || this.delayedCount >= SLOW_SAMPLE_COUNT)
  }

  private computeLimit(objectiveMs: Millis): Millis {
    if (this.slow) return RECOVERED_SHARE * objectiveMs
    const factor = this.utilization >= HIGH_UTILIZATION ? EARLY_FACTOR : 1
    return Math.max(factor * SLOW_SHARE * objectiveMs, WAIT_COUNT * MIN_LATENESS_MS)
  }

  /** Returns whether an answer that is due in `objectiveMs` is late whatever endpoint gives it. */
  isTooSlowFor(objectiveMs: Millis): boolean {
    return this.slow && this.addedMs >= objectiveMs
  }
}
