import type { Millis } from "@galenaway/core"

/** Clients wait at most this share of their remaining time before they return. */
const MAX_RETRY_AFTER_SHARE = 1 / 3
/** Shortest time after which a client of an overloaded service returns, as a share of the latency objective. */
const MIN_RETRY_AFTER_SHARE = 0.5

/**
 * Chooses when the client of an overloaded service returns: not before the
 * expected end of the queue, and spread over as much time again, so that the
 * clients of one peak don't return as the next one. `random` is from 0 to 1.
 */
export function chooseRetryAfterMs(
  waitMs: Millis,
  objectiveMs: Millis,
  remainingMs: Millis,
  random: number,
): Millis {
  const earliest = Math.max(waitMs, MIN_RETRY_AFTER_SHARE * objectiveMs)
  return Math.min(earliest * (1 + random), MAX_RETRY_AFTER_SHARE * remainingMs)
}
