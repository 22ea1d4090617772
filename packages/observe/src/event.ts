import type { AdapterKey, DataCentre, EndpointId, InstanceId, RequestId } from "@galenaway/core"

/** What a time line tells of. */
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
  /** A peer's time was too far ahead to be taken. */
  | "clock-refused"

/** A time that respects causes: wall time in milliseconds, then a counter. */
export interface HybridTime {
  readonly wall: number
  readonly counter: number
}

/** What is told of an event, besides its time and place. */
export interface EventDetails {
  readonly kind: EventKind
  readonly request?: RequestId
  readonly adapter?: AdapterKey
  readonly endpoint?: EndpointId
  readonly peer?: string
  readonly step?: string
  /** A short remark, for example a revision or a reason. */
  readonly note?: string
}

/** One event of the time line. */
export interface TimelineEvent extends EventDetails {
  readonly at: HybridTime
  readonly instance: InstanceId
  readonly dataCentre: DataCentre
}

/** Takes events of one process. Recording never fails and never waits. */
export interface Recorder {
  record(details: EventDetails): void
  /** The time to send along with a message to another process. */
  stamp(): HybridTime
  /** Takes the time that came with a message, so that what follows is later. */
  merge(time: HybridTime): void
}
