import { build, type Histogram } from "hdr-histogram-js"

const WINDOW_MS = 60_000
const MICROS_PER_MS = 1000
const MICROS_PER_SECOND = 1_000_000
/** Longer durations are recorded as this value, so that the memory of a histogram is fixed. */
const MAX_DURATION_MICROS = 3_600_000_000
const SIGNIFICANT_DIGIT_COUNT = 2

/**
 * Durations of one metric. Quantiles cover the last one to two minutes, so that
 * they reflect the current state even after months of running. Count and sum
 * cover the whole run of the process.
 */
export class DurationWindow {
  private current = createHistogram()
  private previous = createHistogram()
  private windowEndMs = WINDOW_MS
  private count = 0
  private sumMicros = 0

  /**
   * Adds a duration in milliseconds at the monotonic time `now`. NaN is ignored,
   * negative values are recorded as 0.
   */
  add(ms: number, now: number): void {
    const micros = Math.round(ms * MICROS_PER_MS)
    if (Number.isNaN(micros)) return
    this.rotate(now)
    const bounded = Math.min(Math.max(micros, 0), MAX_DURATION_MICROS)
    this.current.recordValue(bounded)
    this.count++
    this.sumMicros += bounded
  }

  /**
   * Returns the durations in seconds at quantiles from 0 to 1. They are NaN if there
   * is no recent duration.
   */
  getQuantiles(quantiles: readonly number[], now: number): readonly number[] {
    this.rotate(now)
    const recent = createHistogram()
    recent.add(this.previous)
    recent.add(this.current)
    if (recent.totalCount === 0) return quantiles.map(() => NaN)
    return quantiles.map(
      (quantile) => recent.getValueAtPercentile(quantile * 100) / MICROS_PER_SECOND,
    )
  }

  /** Returns the number of durations in the whole run and their sum in seconds. */
  getTotals(): { readonly count: number; readonly sum: number } {
    return { count: this.count, sum: this.sumMicros / MICROS_PER_SECOND }
  }

  /** Estimates the memory of the histograms in bytes. It is constant. */
  estimateBytes(): number {
    return this.current.estimatedFootprintInBytes + this.previous.estimatedFootprintInBytes
  }

  private rotate(now: number): void {
    if (now < this.windowEndMs) return
    const isIdle = now >= this.windowEndMs + WINDOW_MS
    const oldest = this.previous
    this.previous = this.current
    this.current = oldest
    this.current.reset()
    if (isIdle) this.previous.reset()
    this.windowEndMs = (Math.floor(now / WINDOW_MS) + 1) * WINDOW_MS
  }
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    highestTrackableValue: MAX_DURATION_MICROS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGIT_COUNT,
  })
}
