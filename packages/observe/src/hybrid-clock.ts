import type { Clock } from "@galenaway/core"
import type { HybridTime } from "./event.js"

/**
 * The default for how far a peer's time may be ahead of this process's wall
 * clock, in milliseconds. A time further ahead is refused, so that one wrong
 * clock can't move the timelines of all processes into the future. The order of
 * that peer's events relative to this process's events is then undefined.
 */
export const MAX_DRIFT_MS = 60_000

/** Half the range of the counter in messages, so that a peer can't make this process's counter overflow. */
const MAX_COUNTER = 2 ** 31

/**
 * A hybrid logical clock. Its times are close to wall time, and an event's time is
 * later than the times of its causes.
 */
export interface HybridClock {
  /**
   * Returns the time of a local event or of a sent message. Each call returns a
   * later time than all calls before.
   */
  tick(): HybridTime
  /**
   * Advances the clock past the time of a received message. Returns false and
   * changes nothing if the time is malformed or too far ahead.
   */
  merge(time: HybridTime): boolean
}

/** Creates a hybrid logical clock that starts at the wall time of `clock`. */
export function createHybridClock(clock: Clock, maxDriftMs = MAX_DRIFT_MS): HybridClock {
  let last: HybridTime = { wall: 0, counter: 0 }
  return {
    tick: () => (last = computeNextTime(last, last, clock.wallNow())),
    merge: (time) => {
      const wall = clock.wallNow()
      if (!isWithinBounds(time, wall + maxDriftMs)) return false
      last = computeNextTime(last, time, wall)
      return true
    },
  }
}

/**
 * Compares two times. Returns a negative number if the first is earlier, and 0 if they
 * are equal; neither event then caused the other.
 */
export function compareTimes(a: HybridTime, b: HybridTime): number {
  return a.wall - b.wall || a.counter - b.counter
}

function computeNextTime(own: HybridTime, other: HybridTime, wall: number): HybridTime {
  const latest = compareTimes(own, other) >= 0 ? own : other
  if (wall > latest.wall) return { wall, counter: 0 }
  return { wall: latest.wall, counter: latest.counter + 1 }
}

function isWithinBounds(time: HybridTime, latestWall: number): boolean {
  const isValid = time.wall >= 0 && Number.isInteger(time.counter) && time.counter <= MAX_COUNTER
  return isValid && time.wall <= latestWall
}
