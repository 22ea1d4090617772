import type { AdapterKey, EndpointId, RequestId } from "@galenaway/core"
import type { EventKind, TimelineEvent } from "./event.js"

/**
 * The adapters and endpoints of a request, and the indexes of its first and last
 * event in the merged events.
 */
interface RequestPath {
  readonly first: number
  readonly last: number
  readonly adapters: ReadonlySet<AdapterKey>
  readonly endpoints: ReadonlySet<EndpointId>
}

/** What an event must have in common with a request to affect it: the adapter and endpoint, or for `ownership` and `slot` only the endpoint. */
type EventRelation = "adapter" | "ownership" | "slot" | "none"

/**
 * Lists the events of a request and the events that affected it, in order: the
 * events of its adapter and its endpoints while it was in flight, and the latest
 * load and ownership before it arrived.
 */
export function listRelatedEvents(
  events: readonly TimelineEvent[],
  request: RequestId,
): readonly TimelineEvent[] {
  const path = findRequestPath(events, request)
  if (!path) return []
  const earlier = findEarlierCauses(events, path)
  return events.filter((event, index) => {
    if (event.request === request) return true
    if (index < path.first) return earlier.has(event)
    return index <= path.last && isRelated(event, path)
  })
}

function findRequestPath(
  events: readonly TimelineEvent[],
  request: RequestId,
): RequestPath | undefined {
  const first = events.findIndex((event) => event.request === request)
  if (first < 0) return undefined
  const last = events.findLastIndex((event) => event.request === request)
  const own = events.filter((event) => event.request === request)
  const adapters = new Set(own.flatMap(({ adapter }) => adapter ?? []))
  const endpoints = new Set(own.flatMap(({ endpoint }) => endpoint ?? []))
  return { first, last, adapters, endpoints }
}

function isRelated(event: TimelineEvent, path: RequestPath): boolean {
  if (event.request !== undefined) return false
  switch (getRelation(event.kind)) {
    case "adapter":
      return hasAdapter(event, path) && (path.endpoints.size === 0 || hasEndpoint(event, path))
    case "ownership":
    case "slot":
      return hasEndpoint(event, path)
    case "none":
      return false
  }
}

/**
 * For each endpoint, finds the latest load of the adapter and the latest ownership
 * before the request arrived.
 */
function findEarlierCauses(
  events: readonly TimelineEvent[],
  path: RequestPath,
): ReadonlySet<TimelineEvent> {
  const latest = new Map<string, TimelineEvent>()
  for (const event of events.slice(0, path.first)) {
    if (!isRelated(event, path) || !hasLastingEffect(event.kind)) continue
    latest.set(`${event.kind} ${event.endpoint ?? ""} ${event.adapter ?? ""}`, event)
  }
  return new Set(latest.values())
}

/** Returns whether an event before a request's arrival can still affect the request. */
function hasLastingEffect(kind: EventKind): boolean {
  return kind === "load-ordered" || kind === "load-done" || kind === "ownership-gained"
}

function getRelation(kind: EventKind): EventRelation {
  switch (kind) {
    case "load-ordered":
    case "load-done":
    case "load-failed":
      return "adapter"
    case "ownership-gained":
    case "ownership-lost":
      return "ownership"
    case "eviction-announced":
    case "eviction-ordered":
    case "eviction-done":
    case "endpoint-lost":
    case "endpoint-back":
      return "slot"
    default:
      return "none"
  }
}

function hasAdapter(event: TimelineEvent, path: RequestPath): boolean {
  return event.adapter !== undefined && path.adapters.has(event.adapter)
}

function hasEndpoint(event: TimelineEvent, path: RequestPath): boolean {
  return event.endpoint !== undefined && path.endpoints.has(event.endpoint)
}
