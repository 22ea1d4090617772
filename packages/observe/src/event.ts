import type { AdapterKey, DataCentre, EndpointId, InstanceId, RequestId } from "@galenaway/core"

/** The kinds of events in a timeline. */
export type EventKind =
  | "request-received"
  | "request-routed"
  | "request-queued"
  | "request-granted"
  | "request-refused"
  | "request-sent"
  | "first-token"
  | "stream-resumed"
  | "request-done"
  | "request-failed"
  | "request-canceled"
  | "load-ordered"
  | "load-done"
  | "load-failed"
  | "eviction-announced"
  | "eviction-ordered"
  | "eviction-done"
  | "ownership-gained"
  | "ownership-lost"
  | "member-suspected"
  | "member-gone"
  | "claim-written"
  | "claim-settled"
  | "configuration-applied"
  | "platform-lost"
  | "platform-back"
  | "endpoint-lost"
  | "endpoint-back"
  | "instance-started"
  | "instance-draining"
  | "instance-stopped"
  /** The time in a peer's message was refused because it was malformed or too far ahead. */
  | "clock-refused"

/** A time of a hybrid logical clock: wall time in milliseconds since the Unix epoch, then a counter. */
export interface HybridTime {
  readonly wall: number
  readonly counter: number
}

/** An event without its time and process. */
export interface EventDetails {
  readonly kind: EventKind
  readonly request?: RequestId
  readonly adapter?: AdapterKey
  readonly endpoint?: EndpointId
  readonly peer?: string
  readonly step?: string
  /** A short text, for example a revision or a reason. */
  readonly note?: string
}

/** An event with its time and the process that recorded it. */
export interface TimelineEvent extends EventDetails {
  readonly at: HybridTime
  readonly instance: InstanceId
  readonly dataCentre: DataCentre
}

/** Records the events of one process. Its methods don't throw and don't block. */
export interface Recorder {
  record(details: EventDetails): void
  /** Returns the time to send with a message to another process. */
  stamp(): HybridTime
  /** Merges the time received with a message, so that later events get later times. */
  merge(time: HybridTime): void
}
