import type { AdapterVersion } from "./store.js"
import type { DataCentre, EndpointId, InstanceId } from "./model.js"

/** The name of a group of endpoints that run the same requests. */
export type ServiceName = string

/**
 * What may be repeated. An `idempotent` request may run any number of times,
 * a `resumable-stream` may go on at another endpoint after its last event; the
 * other two run at most once.
 */
export type RequestKind = "idempotent" | "non-idempotent" | "stream" | "resumable-stream"

/** A service and its share of a route's requests. */
export interface RouteTarget {
  readonly service: ServiceName
  /** Relative to the other targets of the route. */
  readonly weight: number
}

/** Where requests with one host and path prefix go, and how they are treated. */
export interface Route {
  readonly name: string
  /** In lower case, without a port. */
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RequestKind
  readonly targets: readonly RouteTarget[]
  /** The most endpoints that may run one request. */
  readonly maxAttempts: number
  /** The longest that a request may wait for its answer, in ms. */
  readonly timeoutMs: number
  /** The latency objective in ms: until the answer, for streams until the first event. */
  readonly objectiveMs: number
  /** 0 is the most urgent. */
  readonly priority: number
}

/** A base model as the configuration describes it. */
export interface ModelInfo {
  readonly name: string
  /** Time of a load from the weight store, in ms. */
  readonly loadMs: number
}

/** What the engines of a service can hold. */
export interface EngineLimits {
  readonly models: readonly ModelInfo[]
  /** Adapters that an engine holds or brings in at once. */
  readonly adapterSlots: number
  /** Requests in a full batch. */
  readonly batchSize: number
}

/** A service as the configuration describes it. */
export interface ServiceInfo {
  readonly name: ServiceName
  /** Connections that one endpoint accepts from all instances together. */
  readonly maxConnections: number
  /** Missing for a plain service. */
  readonly engine?: EngineLimits
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  /** How long a connection may stay open without a request. */
  readonly idleTimeoutMs: number
}

/** Routes, services and limits in force; a higher version replaces a lower one. */
export interface ServingConfiguration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<ServiceName, ServiceInfo>
  readonly limits: CallerLimits
}

/** An adapter without its version, `base/adapter`. */
export type AdapterName = string

/** An adapter that an engine holds, with the version that it holds. */
export interface HeldAdapter {
  readonly adapter: AdapterName
  readonly version: AdapterVersion
}

/** What an engine holds. */
export interface EngineHoldings {
  readonly models: readonly string[]
  readonly adapters: readonly HeldAdapter[]
  /** Adapters on their way; each takes a slot. */
  readonly arriving: readonly HeldAdapter[]
}

/** An endpoint as it registered itself. */
export interface Registration {
  readonly id: EndpointId
  readonly service: ServiceName
  /** `host:port`. */
  readonly address: string
  readonly dataCentre: DataCentre
  /** Requests that it runs at once. */
  readonly slots: number
  readonly phase: "live" | "leaving"
  /** Start of the endpoint's process, in ms since the Unix epoch; undefined when it doesn't tell. */
  readonly startedAt?: number
  /** Present for engines. */
  readonly holdings?: EngineHoldings
}

/** An engine's report of its own state. It lags by some hundred milliseconds. */
export interface EngineState extends EngineHoldings {
  readonly startedAt?: number
  /** Orders accepted since the start. */
  readonly sequence: number
  readonly isBusy: boolean
}

/** An order to an engine. Without an adapter it concerns the base model. */
export interface EngineOrder {
  readonly action: "load" | "unload"
  readonly model: string
  readonly adapter?: string
  /** Loads this version; the newest when left out. */
  readonly version?: AdapterVersion
  /** The engine refuses the order unless it has accepted this many orders. */
  readonly expectedSequence: number
  readonly holder: InstanceId
  readonly fencingToken: number
}

/**
 * An engine's answer to an order. `already-done` changes nothing at the
 * engine; `conflict` says that another order came between or is under way.
 */
export type OrderAnswer =
  "accepted" | "already-done" | "conflict" | "fenced" | "wrong-endpoint" | "refused"

/** Gives orders to engines and reads their state. */
export interface EngineClient {
  /** Sends an order. Throws an UnknownOutcomeError when no answer came: it may still be carried out. */
  order(endpoint: Registration, order: EngineOrder, timeoutMs: number): Promise<OrderAnswer>
  /** Reads an engine's state. Throws a GalenawayError. */
  readState(endpoint: Registration, timeoutMs: number): Promise<EngineState>
}

/** What a request's headers say, decoded. */
export interface RequestMetadata {
  /** The caller's name for this attempt; undefined when it sent none. */
  readonly attempt: string | undefined
  /** How long the caller will wait, in ms. */
  readonly deadlineMs: number | undefined
  readonly model: string | undefined
  readonly adapter: AdapterName | undefined
  readonly promptTokens: number
  readonly outputTokens: number
  /** Parts of the prompt that requests share, in order, without the request's own last part. */
  readonly sharedParts: readonly PromptPart[]
  /** The last event that the caller has, when it resumes a stream. */
  readonly lastEventId: string | undefined
}

/** A part of a prompt that other requests may share. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** What the system adds to a request on its way to an endpoint. */
export interface SendMetadata {
  readonly endpoint: EndpointId
  /** Time left for the endpoint, in ms. */
  readonly remainingMs: number
  readonly priority: number
  /** The request is past its latency objective, or will be: it goes behind those that can be on time. */
  readonly isLate: boolean
  /** The adapter's version that must run it. */
  readonly version?: AdapterVersion
  /** Continue a stream after this event. */
  readonly lastEventId?: string
}

/** Load that an endpoint told along with an answer. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
}

/** What the head of an endpoint's answer says, decoded. */
export interface AnswerMetadata {
  readonly attempt: string | undefined
  /** The endpoint states that it has not run the request and won't. */
  readonly isNotRun: boolean
  /** Another endpoint has the address now, or the model, adapter or version is missing. */
  readonly isMisdirected: boolean
  /** The endpoint that answered, where it names itself. */
  readonly answeredBy: EndpointId | undefined
  /** The answer bears the endpoint's signature. */
  readonly isSigned: boolean
  readonly hasEncodedBody: boolean
  readonly isLeaving: boolean
  readonly load: ReportedLoad | undefined
}

/** Headers in the order in which they were received: name, value, name, value. */
export type RawHeaders = readonly string[]

/** Translates headers between callers, the system and endpoints. It decides nothing. */
export interface HeaderCodec {
  readRequest(headers: RawHeaders): RequestMetadata
  /** Headers for an endpoint: the caller's, less those of one connection and those that only the system sets, plus the system's. */
  buildRequest(headers: RawHeaders, facts: SendMetadata): string[]
  readAnswer(status: number, headers: RawHeaders): AnswerMetadata
  /** Headers for the caller: the endpoint's, less those of one connection. */
  buildAnswer(headers: RawHeaders): string[]
}
