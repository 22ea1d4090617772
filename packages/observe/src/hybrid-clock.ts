import type { Clock } from "@galenaway/core"
import type { HybridTime } from "./event.js"

/**
 * How far ahead of this process's wall clock a peer's time may be, in
 * milliseconds. A time further ahead is refused, so that one wrong clock can't
 * drag the time lines of all processes into the future. The order between that
 * peer's events and this process's is then no longer assured.
 */
export const MAX_DRIFT_MS = 60_000

/** Half of what a message can carry, so that no peer can make this process's counter wrap. */
const MAX_COUNTER = 2 ** 31

/** A hybrid logical clock: near to wall time, and later after each cause than before it. */
export interface HybridClock {
  /** Returns the time of a local event or of a message that is sent; each call gives a later one. */
  tick(): HybridTime
  /** Takes the time of a received message. Returns false if it was refused for being too far ahead. */
  merge(time: HybridTime): boolean
}

/** Creates a hybrid logical clock that starts at the process's wall clock. */
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

/** Orders two times; negative if the first is earlier. Equal times have no cause between them. */
export function compareTimes(a: HybridTime, b: HybridTime): number {
  return a.wall - b.wall || a.counter - b.counter
}

function computeNextTime(own: HybridTime, other: HybridTime, wall: number): HybridTime {
  const latest = compareTimes(own, other) >= 0 ? own : other
  if (wall > latest.wall) return { wall, counter: 0 }
  return { wall: latest.wall, counter: latest.counter + 1 }
}

function isWithinBounds(time: HybridTime, latestWall: number): boolean {
  const isSane = time.wall >= 0 && Number.isInteger(time.counter) && time.counter <= MAX_COUNTER
  return isSane && time.wall <= latestWall
}
