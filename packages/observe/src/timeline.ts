import type { AdapterKey, EndpointId, RequestId } from "@galenaway/core"
import type { EventKind, TimelineEvent } from "./event.js"
import { compareTimes } from "./hybrid-clock.js"
import { listRelatedEvents } from "./dependency.js"

/**
 * Selects events of a timeline. An event has to match all given fields; a missing
 * field matches every event.
 */
export interface TimelineFilter {
  /** Selects the request's own events and the loads, evictions and ownership changes that affected it. */
  readonly request?: RequestId
  readonly adapter?: AdapterKey
  readonly endpoint?: EndpointId
  /** The earliest wall time, in milliseconds since the Unix epoch. */
  readonly since?: number
  readonly kinds?: readonly EventKind[]
}

/**
 * Merges the events of several processes in the order of their hybrid times. Each
 * event follows its causes, even if clocks differ.
 */
export function mergeEvents(
  lists: readonly (readonly TimelineEvent[])[],
): readonly TimelineEvent[] {
  return lists.flat().sort(compareEvents)
}

/** Selects events from a merged list and keeps their order. */
export function filterEvents(
  events: readonly TimelineEvent[],
  filter: TimelineFilter,
): readonly TimelineEvent[] {
  const { request } = filter
  const related = request === undefined ? events : listRelatedEvents(events, request)
  return related.filter((event) => isSelected(event, filter))
}

function compareEvents(a: TimelineEvent, b: TimelineEvent): number {
  return compareTimes(a.at, b.at) || compareText(a.instance, b.instance)
}

function compareText(a: string, b: string): number {
  if (a === b) return 0
  return a < b ? -1 : 1
}

function isSelected(event: TimelineEvent, filter: TimelineFilter): boolean {
  if (filter.adapter !== undefined && event.adapter !== filter.adapter) return false
  if (filter.endpoint !== undefined && event.endpoint !== filter.endpoint) return false
  if (filter.since !== undefined && event.at.wall < filter.since) return false
  return filter.kinds?.includes(event.kind) ?? true
}
