import type { Clock, Millis } from "@galenaway/core"

/** A clock difference that ordinary drift between two checks doesn't reach. */
const MIN_CLOCK_JUMP_MS = 120

/**
 * Detects whether the process may have been paused since the last check: either
 * the event loop was blocked for too long, or the wall clock advanced while the
 * monotonic clock didn't. A step of the wall clock can't be distinguished from a
 * pause; the false alarm costs one extra confirmation of the records.
 */
export class SuspensionDetector {
  private lastNow: Millis
  private lastOffset: Millis

  /** `maxGapMs` is the longest time between two checks that doesn't count as a pause. */
  constructor(
    private readonly clock: Clock,
    private readonly maxGapMs: Millis,
  ) {
    this.lastNow = clock.now()
    this.lastOffset = clock.wallNow() - this.lastNow
  }

  /** Returns true if the process may have been paused since the previous check. */
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
