import type { Clock, Millis } from "@galenaway/core"

/** A difference between the clocks that ordinary drift doesn't reach. */
const MIN_CLOCK_JUMP_MS = 120

/**
 * Tells whether the process may have stood still since the last check: its
 * loop was not served for too long, or the time of day went on while the
 * monotonic clock didn't. A stepped time of day looks the same and costs one
 * confirmation.
 */
export class SuspensionDetector {
  private lastNow: Millis
  private lastOffset: Millis

  /** `maxGapMs` is the longest time between two checks that isn't a pause. */
  constructor(
    private readonly clock: Clock,
    private readonly maxGapMs: Millis,
  ) {
    this.lastNow = clock.now()
    this.lastOffset = clock.wallNow() - this.lastNow
  }

  /** Returns true when the process may have stood still since the check before. */
  check(): boolean {
    const now = this.clock.now()
    const offset = this.clock.wallNow() - now
    const hasGap = now - this.lastNow > this.maxGapMs
    const hasJump = Math.abs(offset - this.lastOffset) > MIN_CLOCK_JUMP_MS
    this.lastNow = now
    this.lastOffset = offset
    return hasGap || hasJump
  }
}
