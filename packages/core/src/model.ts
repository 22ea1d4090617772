import type { AdapterKey } from "./adapter.js"
import type { Rank } from "./rank.js"

/** The name of an entry instance. It outlives restarts; the {@link Incarnation} doesn't. */
export type InstanceId = string
/** One run of an instance's process: the instance's id and a value that is unique to the run. */
export type Incarnation = string
/** The name of an endpoint, unique over all data centres. */
export type EndpointId = string
/** The name of a data centre. */
export type DataCentre = string
/** A caller's request, named by the instance that received it. */
export type RequestId = string
/** A point in time in milliseconds. Only differences within one process have a meaning. */
export type Millis = number

/** What an endpoint runs: a model engine, or a plain service such as bookings. */
export type EndpointKind = "engine" | "service"
/** Whether an endpoint refuses orders that carry an old fencing number. */
export type Fencing = "checked" | "ignored"
/** What the list of endpoints says of one. A leaving endpoint finishes its work and takes no new work. */
export type EndpointPhase = "live" | "leaving" | "gone"

/** An endpoint as the settings and the list of endpoints describe it. */
export interface EndpointInfo {
  readonly id: EndpointId
  readonly kind: EndpointKind
  readonly dataCentre: DataCentre
  /** Base URL, for example `http://10.0.0.7:8000`. */
  readonly url: string
  readonly fencing: Fencing
  /** How many adapters an engine holds at once; 0 for a plain service. */
  readonly slots: number
  /** How many requests run at once before each is slowed beyond the target. */
  readonly capacity: number
}

/** An instance as its peers know it. */
export interface InstanceInfo {
  readonly id: InstanceId
  readonly incarnation: Incarnation
  readonly dataCentre: DataCentre
  /** Address of the peer interface, `host:port`. */
  readonly peerAddress: string
  /** Base URL of the callers' interface. */
  readonly url: string
}

/** An engine's report of its load. It lags behind the truth. */
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

/** A model request as the router sees it. */
export interface RouteRequest {
  readonly id: RequestId
  readonly adapter: AdapterKey
  readonly rank: Rank
  readonly arrivedAt: Millis
  /** The first token is due at this time. */
  readonly deadline: Millis
  /** Hash of the prompt's first part, to find an endpoint that has it cached. */
  readonly prefix: number
  /** Expected length of the answer. */
  readonly maxTokens: number
}

/** Permission to run one request on one endpoint. It pins the adapter there until it is returned. */
export interface Grant {
  readonly id: string
  readonly request: RequestId
  readonly endpoint: EndpointId
  readonly adapter: AdapterKey
  /** The owner incarnation that gave it, and the epoch of its ownership. */
  readonly owner: Incarnation
  readonly epoch: number
}

/** How a granted request ended, told to the owner when the grant is returned. */
export type GrantResult = "done" | "canceled" | "failed" | "adapter-missing" | "endpoint-down"
