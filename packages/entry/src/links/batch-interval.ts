import type { Millis } from "@galenaway/core"

/** Shortest interval over which changes are batched. */
const MIN_INTERVAL_MS = 60
/** Longest interval. After it, the engines' registrations show their adapters anyway. */
const MAX_INTERVAL_MS = 1000
/** Mean time between the messages that an instance sends, unless the longest interval applies. */
const MESSAGE_SPACING_MS = 30

/**
 * Computes the time in ms over which changes are batched before they are sent
 * to each of `links` peers. It grows with the number of links, so that an
 * instance sends about 33 messages a second. With more than 33 links it sends
 * one message a second on each link.
 */
export function computeBatchIntervalMs(links: number): Millis {
  return Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, links * MESSAGE_SPACING_MS))
}
