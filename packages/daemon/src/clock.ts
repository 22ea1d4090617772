import type { Clock } from "@galenaway/core"

/** The process's monotonic clock. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wallNow: () => Date.now(),
}
