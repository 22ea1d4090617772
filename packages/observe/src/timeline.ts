import type { AdapterKey, EndpointId, RequestId } from "@galenaway/core"
import type { EventKind, TimelineEvent } from "./event.js"
import { compareTimes } from "./hybrid-clock.js"
import { listRelatedEvents } from "./dependency.js"

/** Which events of a time line are wanted. Fields that are left out admit every event. */
export interface TimelineFilter {
  /** Brings the request's own events and the loads, evictions and ownerships that its way depended on. */
  readonly request?: RequestId
  readonly adapter?: AdapterKey
  readonly endpoint?: EndpointId
  /** Milliseconds since the Unix epoch. */
  readonly since?: number
  readonly kinds?: readonly EventKind[]
}

/** Merges the events of all processes so that each stands after its causes, although clocks differ. */
export function mergeEvents(
  lists: readonly (readonly TimelineEvent[])[],
): readonly TimelineEvent[] {
  return lists.flat().sort(compareEvents)
}

/** Filters merged events, keeping their order. */
export function filterEvents(
  events: readonly TimelineEvent[],
  filter: TimelineFilter,
): readonly TimelineEvent[] {
  const { request } = filter
  const related = request === undefined ? events : listRelatedEvents(events, request)
  return related.filter((event) => isWanted(event, filter))
}

function compareEvents(a: TimelineEvent, b: TimelineEvent): number {
  return compareTimes(a.at, b.at) || compareText(a.instance, b.instance)
}

function compareText(a: string, b: string): number {
  if (a === b) return 0
  return a < b ? -1 : 1
}

function isWanted(event: TimelineEvent, filter: TimelineFilter): boolean {
  if (filter.adapter !== undefined && event.adapter !== filter.adapter) return false
  if (filter.endpoint !== undefined && event.endpoint !== filter.endpoint) return false
  if (filter.since !== undefined && event.at.wall < filter.since) return false
  return filter.kinds?.includes(event.kind) ?? true
}
