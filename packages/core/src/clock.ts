import type { Clock } from "./ports.js"

/** The process's monotonic clock. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wallNow: () => Date.now(),
}
