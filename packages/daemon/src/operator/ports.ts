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

/** State of an instance or an endpoint as this instance detects it; `unknown` when it has no source for it. */
export type ServingState = "serving" | "draining" | "unreachable" | "unknown"

/** Status of an instance in the operators' interface. */
export interface InstanceStatus {
  readonly id: InstanceId
  /** Undefined until the peer has reported it. */
  readonly dataCentre?: DataCentre
  readonly state: ServingState
  /** Number of endpoints that it owns; undefined when the router has no ownership. */
  readonly owned?: number
}

/** Status of an endpoint in the operators' interface. */
export interface EndpointStatus {
  readonly id: EndpointId
  readonly kind: EndpointKind
  readonly dataCentre: DataCentre
  readonly state: ServingState
  readonly owner?: InstanceId
  readonly running: number
  readonly waiting: number
  /** Number of resident adapters. */
  readonly resident: number
  /** Number of adapters that can be resident at the same time. */
  readonly slots: number
}

/** Status of a resident adapter in the operators' interface. */
export interface AdapterStatus {
  readonly adapter: AdapterKey
  readonly endpoints: readonly EndpointId[]
  /** Requests per minute; undefined when it isn't measured. */
  readonly heat?: number
}

/** A degraded part of the fleet, and the reason. */
export interface Problem {
  readonly subject: string
  readonly message: string
}

/** Status of the fleet as this instance detects it. Each call returns a new list. */
export interface StatusSource {
  listInstances(): readonly InstanceStatus[]
  listEndpoints(): readonly EndpointStatus[]
  /** Sorted by the number of endpoints that hold the adapter, the highest first. */
  listAdapters(): readonly AdapterStatus[]
  listProblems(): readonly Problem[]
}

/** The router's evaluation of an endpoint for an adapter and a rank. */
export interface RouteCandidate {
  readonly endpoint: EndpointId
  readonly dataCentre: DataCentre
  readonly verdict: "preferred" | "possible" | "excluded"
  readonly reason: string
}

/** Explains the routing of requests for an adapter. */
export interface RouteExplainer {
  /** Lists all engines, the preferred one first. Usable endpoints come before excluded ones. */
  explain(adapter: AdapterRef, rank: Rank): readonly RouteCandidate[]
}

/** State of an instance relative to a revision. It is `in-force` for this revision or a higher one. */
export interface InstanceRevision {
  readonly instance: InstanceId
  readonly state: "in-force" | "behind" | "unreachable"
}

/** Fetches the revisions in force from the instances of the fleet. */
export interface RevisionSource {
  /** Compares the revision of every known instance, including this one. An instance that doesn't answer is `unreachable`; never rejects. */
  fetchRevisions(revision: number): Promise<readonly InstanceRevision[]>
}

/** The recent events of this process. */
export interface TimelineSource {
  listEvents(): readonly TimelineEvent[]
}

/** The metrics of this process. */
export interface MetricsSource {
  /** Formats the metrics in the Prometheus text format. */
  format(): string
}
