import type { AdapterKey } from "./adapter.js"
import type { Rank } from "./rank.js"

/** The id of an instance. It stays the same over restarts; the {@link Incarnation} changes. */
export type InstanceId = string
/** Identifies one run of an instance's process: the instance's id and a value that is unique to the run. */
export type Incarnation = string
/** The id of an endpoint, unique over all data centres. */
export type EndpointId = string
/** The name of a data centre. */
export type DataCentre = string
/** The id of a caller's request, assigned by the instance that received it. */
export type RequestId = string
/** A time or a duration in milliseconds. Times of a monotonic clock can be compared only within one process. */
export type Millis = number

/** Whether an endpoint is a model engine or a plain service such as bookings. */
export type EndpointKind = "engine" | "service"
/** Whether an endpoint checks fencing numbers, that is, refuses orders with an old one. */
export type Fencing = "checked" | "ignored"
/** The phase of an endpoint. A leaving endpoint finishes its requests and accepts no new ones. */
export type EndpointPhase = "live" | "leaving" | "gone"

/** An endpoint as described by the settings and the platform's list. */
export interface EndpointInfo {
  readonly id: EndpointId
  readonly kind: EndpointKind
  readonly dataCentre: DataCentre
  /** Base URL, for example `http://10.0.0.7:8000`. */
  readonly url: string
  readonly fencing: Fencing
  /** Maximum number of adapters that an engine holds; 0 for a plain service. */
  readonly slots: number
  /** Maximum number of concurrent requests at which each still meets the latency target. */
  readonly capacity: number
}

/** The description of an instance that its peers use. */
export interface InstanceInfo {
  readonly id: InstanceId
  readonly incarnation: Incarnation
  readonly dataCentre: DataCentre
  /** Address of the peer interface, `host:port`. */
  readonly peerAddress: string
  /** Base URL of the interface for callers. */
  readonly url: string
}

/** An engine's report of its load. It lags behind the engine's actual state. */
export interface EngineReport {
  readonly endpoint: EndpointId
  /** Changes when the engine restarts. */
  readonly incarnation: string
  readonly running: number
  readonly waiting: number
  readonly resident: readonly AdapterKey[]
  /** Used share of the KV cache, 0 to 1. */
  readonly cacheUsage: number
}

/** The properties of a model request that the router uses. */
export interface RouteRequest {
  readonly id: RequestId
  readonly adapter: AdapterKey
  readonly rank: Rank
  readonly arrivedAt: Millis
  /** Time by which the first token is due. */
  readonly deadline: Millis
  /** Hash of the prompt's first part, used to find an endpoint that has it cached. */
  readonly prefix: number
  /** Expected length of the answer, in tokens. */
  readonly maxTokens: number
}

/** Permission to run one request on one endpoint. The adapter can't be evicted there until the grant is returned. */
export interface Grant {
  readonly id: string
  readonly request: RequestId
  readonly endpoint: EndpointId
  readonly adapter: AdapterKey
  /** The incarnation of the owner that issued the grant. */
  readonly owner: Incarnation
  /** The epoch of that owner's ownership of the endpoint. */
  readonly epoch: number
}

/** How a granted request ended, reported to the owner when the grant is returned. */
export type GrantResult = "done" | "canceled" | "failed" | "adapter-missing" | "endpoint-down"
