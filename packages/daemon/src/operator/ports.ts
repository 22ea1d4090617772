import type {
  AdapterKey,
  AdapterRef,
  DataCentre,
  EndpointId,
  EndpointKind,
  InstanceId,
  Rank,
} from "@galenaway/core"
import type { TimelineEvent } from "@galenaway/observe"

/** Whether an instance or an endpoint serves, as far as this instance knows; `unknown` when it has no means to know. */
export type ServingState = "serving" | "draining" | "unreachable" | "unknown"

/** An instance as operators see it. */
export interface InstanceStatus {
  readonly id: InstanceId
  /** Undefined for a peer that has not told it yet. */
  readonly dataCentre?: DataCentre
  readonly state: ServingState
  /** How many endpoints it owns; undefined without ownership. */
  readonly owned?: number
}

/** An endpoint as operators see it. */
export interface EndpointStatus {
  readonly id: EndpointId
  readonly kind: EndpointKind
  readonly dataCentre: DataCentre
  readonly state: ServingState
  readonly owner?: InstanceId
  readonly running: number
  readonly waiting: number
  /** Resident adapters, and how many there is room for. */
  readonly resident: number
  readonly slots: number
}

/** A resident adapter as operators see it. */
export interface AdapterStatus {
  readonly adapter: AdapterKey
  readonly endpoints: readonly EndpointId[]
  /** Requests a minute; undefined when it isn't measured. */
  readonly heat?: number
}

/** Something that is degraded, and why. */
export interface Problem {
  readonly subject: string
  readonly message: string
}

/** What an instance knows of the fleet. Each list is made anew for each call. */
export interface StatusSource {
  listInstances(): readonly InstanceStatus[]
  listEndpoints(): readonly EndpointStatus[]
  /** Hottest first. */
  listAdapters(): readonly AdapterStatus[]
  listProblems(): readonly Problem[]
}

/** What the router makes of an endpoint for one kind of request. */
export interface RouteCandidate {
  readonly endpoint: EndpointId
  readonly dataCentre: DataCentre
  readonly verdict: "preferred" | "possible" | "excluded"
  readonly reason: string
}

/** Explains where requests for an adapter go. */
export interface RouteExplainer {
  /** Lists every model engine, the preferred one first. */
  explain(adapter: AdapterRef, rank: Rank): readonly RouteCandidate[]
}

/** Whether an instance has a revision of the configuration in force, or a higher one. */
export interface InstanceRevision {
  readonly instance: InstanceId
  readonly state: "in-force" | "behind" | "unreachable"
}

/** Asks the fleet for the configuration in force. */
export interface RevisionSource {
  /** Asks every live instance, this one included. An instance that doesn't answer is named as unreachable. */
  fetchRevisions(revision: number): Promise<readonly InstanceRevision[]>
}

/** The events that this process keeps. */
export interface TimelineSource {
  listEvents(): readonly TimelineEvent[]
}

/** The measurements of this process. */
export interface MetricsSource {
  /** Formats them in the Prometheus text format. */
  format(): string
}
