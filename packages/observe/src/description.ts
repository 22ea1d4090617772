import type { EventKind, TimelineEvent } from "./event.js"

const EVENT_PHRASES: Readonly<Record<EventKind, string>> = {
  "request-received": "receives the request",
  "request-routed": "routes it",
  "request-queued": "queues it",
  "request-granted": "grants it",
  "request-refused": "refuses it",
  "request-sent": "sends it",
  "first-token": "sees the first token",
  "stream-resumed": "resumes the stream",
  "request-done": "finishes it",
  "request-failed": "fails it",
  "request-canceled": "cancels it",
  "load-ordered": "orders a load",
  "load-done": "sees the load done",
  "load-failed": "sees the load fail",
  "eviction-announced": "announces an eviction",
  "eviction-ordered": "orders an eviction",
  "eviction-done": "sees the eviction done",
  "ownership-gained": "becomes owner",
  "ownership-lost": "is owner no longer",
  "member-suspected": "suspects a member",
  "member-gone": "detects that a member is gone",
  "claim-written": "writes a claim",
  "claim-settled": "settles a claim",
  "configuration-applied": "applies a configuration",
  "platform-lost": "loses the platform",
  "platform-back": "reaches the platform again",
  "endpoint-lost": "loses an endpoint",
  "endpoint-back": "reaches an endpoint again",
  "instance-started": "starts",
  "instance-draining": "drains",
  "instance-stopped": "stops",
  "clock-refused": "refuses a time",
}

/** Formats merged events as one line each, with wall times relative to the first event. */
export function formatTimeline(events: readonly TimelineEvent[]): string {
  const names = events.map(formatProcess)
  const nameWidth = Math.max(0, ...names.map((name) => name.length))
  const offsets = events.map((event) => formatOffset(event, events[0]))
  const offsetWidth = Math.max(0, ...offsets.map((offset) => offset.length))
  return events
    .map((event, index) => {
      const offset = (offsets[index] ?? "").padStart(offsetWidth)
      const name = (names[index] ?? "").padEnd(nameWidth)
      return `${offset}  ${name}  ${describeEvent(event)}\n`
    })
    .join("")
}

/** Describes an event on one line, without its time and process. */
export function describeEvent(event: TimelineEvent): string {
  const details = [
    describeDetail("request", event.request),
    describeDetail("adapter", event.adapter),
    describeDetail("at", event.endpoint),
    describeDetail("peer", event.peer),
    describeDetail("step", event.step),
  ]
  const text = details.filter((detail) => detail !== "").join(", ")
  const note = event.note === undefined ? "" : `: ${event.note}`
  return `${EVENT_PHRASES[event.kind]}${text && ` (${text})`}${note}`.replace(/\s+/g, " ")
}

/**
 * Formats an event's wall time relative to another event, for example `+12 ms`.
 * Returns `+0 ms` without another event.
 */
export function formatOffset(event: TimelineEvent, first: TimelineEvent | undefined): string {
  const ms = event.at.wall - (first?.at.wall ?? event.at.wall)
  return `+${ms.toFixed(0)} ms`
}

/** Formats the process of an event, for example `entry-1 (a)`. */
export function formatProcess({ instance, dataCentre }: TimelineEvent): string {
  return `${instance} (${dataCentre})`
}

function describeDetail(word: string, value: string | undefined): string {
  return value === undefined ? "" : `${word} ${value}`
}
