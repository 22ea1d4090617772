import type { Millis } from "@galenaway/core"

/** Shortest time over which changes are gathered. */
const MIN_INTERVAL_MS = 60
/** Longest time; by then the engines' registrations tell what they hold. */
const MAX_INTERVAL_MS = 1000
/** Mean time between the messages that an instance sends, while its links are few enough. */
const MESSAGE_SPACING_MS = 30

/**
 * Computes for how long changes are gathered before they are told to each of
 * `links` peers. It grows with their number, so that an instance sends about 33
 * messages a second; beyond 33 links it is one a second for each.
 */
export function computeBatchIntervalMs(links: number): Millis {
  return Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, links * MESSAGE_SPACING_MS))
}
