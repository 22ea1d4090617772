import type { Clock } from "./ports.js"

/** The clock of this process: monotonic time from `performance.now`, wall-clock time from `Date.now`. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wallNow: () => Date.now(),
}
