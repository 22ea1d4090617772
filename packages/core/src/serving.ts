import type { AccountName, CallerCredentials, ClientAccount } from "./account.js"
import type { AdapterVersion } from "./store.js"
import type { DataCentre, EndpointId, InstanceId } from "./model.js"

/** The name of a service: a group of endpoints that handle the same requests. */
export type ServiceName = string

/**
 * Defines whether a request may be repeated. An `idempotent` request may run any number of times.
 * A `resumable-stream` may continue at another endpoint after the last event that was received.
 * `non-idempotent` requests and `stream`s run at most once.
 */
export type RequestKind = "idempotent" | "non-idempotent" | "stream" | "resumable-stream"

/** A service and its share of a route's requests. */
export interface RouteTarget {
  readonly service: ServiceName
  /** Relative to the other targets of the route. */
  readonly weight: number
}

/** The targets, limits and priority of the requests with one host and path prefix. */
export interface Route {
  readonly name: string
  /** The host name in lower case, without a port. */
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RequestKind
  readonly targets: readonly RouteTarget[]
  /** Maximum number of endpoints to which one request is sent. */
  readonly maxAttempts: number
  /** Maximum time from a request to its answer, in ms. */
  readonly timeoutMs: number
  /** The latency objective in ms: the time to the answer, or to the first event of a stream. */
  readonly objectiveMs: number
  /** The longest pause between two events with which a stream meets its objective, in ms; undefined if there is none. */
  readonly pauseMs?: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Whether callers need no key although the configuration has client accounts. */
  readonly isPublic?: boolean
}

/** The configuration of a base model. */
export interface ModelInfo {
  readonly name: string
  /** Duration of a load from the weight store, in ms. */
  readonly loadMs: number
}

/** The models, adapters and batch size that each engine of a service supports. */
export interface EngineLimits {
  readonly models: readonly ModelInfo[]
  /** Maximum number of adapters that an engine holds, including those that are loading. */
  readonly adapterSlots: number
  /** Number of requests in a full batch. */
  readonly batchSize: number
}

/** The configuration of a service. */
export interface ServiceInfo {
  readonly name: ServiceName
  /** Maximum number of connections that one endpoint accepts, summed over all instances. */
  readonly maxConnections: number
  /** Undefined for a plain service. */
  readonly engine?: EngineLimits
}

/** Size limits and timeouts of callers' connections. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  /** Time after which a connection without a request is closed. */
  readonly idleTimeoutMs: number
}

/** The routes, services and limits in force. A configuration replaces those of lower versions. */
export interface ServingConfiguration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<ServiceName, ServiceInfo>
  readonly limits: CallerLimits
  /** Undefined if callers need no account. */
  readonly accounts?: readonly ClientAccount[]
}

/** The name of an adapter without its version, `base/adapter`. */
export type AdapterName = string

/** An adapter on an engine and its version there. */
export interface HeldAdapter {
  readonly adapter: AdapterName
  readonly version: AdapterVersion
}

/** The base models and adapters of an engine. */
export interface EngineHoldings {
  readonly models: readonly string[]
  readonly adapters: readonly HeldAdapter[]
  /** Adapters that are being loaded. Each occupies a slot. */
  readonly arriving: readonly HeldAdapter[]
}

/** The registration that an endpoint publishes about itself. */
export interface Registration {
  readonly id: EndpointId
  readonly service: ServiceName
  /** `host:port`. */
  readonly address: string
  readonly dataCentre: DataCentre
  /** Number of requests that it runs concurrently. */
  readonly slots: number
  readonly phase: "live" | "leaving"
  /** Start of the endpoint's process, in ms since the Unix epoch; undefined if not reported. */
  readonly startedAt?: number
  /** Defined for engines only. */
  readonly holdings?: EngineHoldings
}

/** An engine's report of its own state. It lags by a few hundred milliseconds. */
export interface EngineState extends EngineHoldings {
  readonly startedAt?: number
  /** Number of orders that the engine has accepted since its start. */
  readonly sequence: number
  readonly isBusy: boolean
}

/** An order to an engine. An order without an adapter applies to the base model. */
export interface EngineOrder {
  readonly action: "load" | "unload"
  readonly model: string
  readonly adapter?: string
  /** The version to load; the newest if undefined. */
  readonly version?: AdapterVersion
  /** The engine refuses the order unless it has accepted exactly this number of orders since its start. */
  readonly expectedSequence: number
  readonly holder: InstanceId
  readonly fencingToken: number
  readonly connection: OrderConnection
}

/**
 * The connection of an order. A `shared` one has carried other orders, and a late copy
 * of an earlier answer may be read as the answer; an `own` one is used once.
 */
export type OrderConnection = "shared" | "own"

/**
 * An engine's answer to an order. `already-done` means that the order changed nothing;
 * `conflict` means that another order was accepted in between or is in progress.
 */
export type OrderAnswer =
  "accepted" | "already-done" | "conflict" | "fenced" | "wrong-endpoint" | "refused"

/** Sends orders to engines and reads their state. */
export interface EngineClient {
  /**
   * Sends an order. Throws an EndpointPausedError if the engine refused it and wants
   * nothing for a time, and an UnknownOutcomeError if no answer is received; the
   * engine may still execute the order then.
   */
  order(endpoint: Registration, order: EngineOrder, timeoutMs: number): Promise<OrderAnswer>
  /** Reads an engine's state. Throws an EndpointPausedError if the engine wants nothing for a time, another GalenawayError on other failures. */
  readState(endpoint: Registration, timeoutMs: number): Promise<EngineState>
}

/** The decoded headers of a caller's request. */
export interface RequestMetadata {
  /** The caller's id of this attempt; undefined if it sent none. */
  readonly attempt: string | undefined
  /** The caller's timeout, in ms; undefined if it sent none. */
  readonly deadlineMs: number | undefined
  readonly model: string | undefined
  readonly adapter: AdapterName | undefined
  readonly promptTokens: number
  readonly outputTokens: number
  /** The caller's estimate of the number of output tokens; undefined if it sent none. */
  readonly lengthHint?: number
  /** Parts of the prompt that other requests may share, in order. The last part, which is specific to the request, is excluded. */
  readonly sharedParts: readonly PromptPart[]
  /** The id of the last event that the caller has received, if it resumes a stream. */
  readonly lastEventId: string | undefined
  /** Undefined if the codec doesn't decode credentials. */
  readonly credentials?: CallerCredentials
}

/** A part of a prompt that other requests may share. */
export interface PromptPart {
  readonly id: string
  /** Length in tokens. */
  readonly tokens: number
}

/** The data that is added to the headers of a request before it is sent to an endpoint. */
export interface SendMetadata {
  readonly endpoint: EndpointId
  /** Time until the request's deadline, in ms. */
  readonly remainingMs: number
  readonly priority: number
  /** Whether the request has missed or will miss its latency objective. The endpoint runs it after the requests that can still meet theirs. */
  readonly isLate: boolean
  /** The adapter version that must run the request. */
  readonly version?: AdapterVersion
  /** The id of the event after which a stream continues. */
  readonly lastEventId?: string
  /** Whether the configuration in force has client accounts. The caller's own credentials are then removed. */
  readonly hasAccounts?: boolean
  /** The client account of the caller; undefined if its route needs none. */
  readonly account?: AccountName
}

/** The load that an endpoint reports in the headers of an answer. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** How long work takes there at present, in percent of the usual time; undefined if the endpoint doesn't report it. */
  readonly pacePercent?: number
}

/** The decoded status and headers of an endpoint's answer. */
export interface AnswerMetadata {
  readonly attempt: string | undefined
  /** Whether the endpoint guarantees that it has not run the request and will not run it. */
  readonly isNotRun: boolean
  /** Whether another endpoint now uses the address, or the model, adapter or version is missing there. */
  readonly isMisdirected: boolean
  /** The endpoint that answered; undefined if the answer doesn't contain its id. */
  readonly answeredBy: EndpointId | undefined
  /** Whether the answer carries the endpoint's signature. */
  readonly isSigned: boolean
  readonly hasEncodedBody: boolean
  /** Whether the endpoint that answered states that it is leaving. */
  readonly isLeaving: boolean
  /** Time for which the endpoint wants no requests from this instance, in ms, as it stated with a refusal. */
  readonly retryAfterMs?: number
  readonly load: ReportedLoad | undefined
}

/** Headers as a flat list in the order of receipt: name, value, name, value. */
export type RawHeaders = readonly string[]

/** Decodes and encodes the headers of requests and answers. It makes no routing decisions. */
export interface HeaderCodec {
  readRequest(headers: RawHeaders): RequestMetadata
  /** Builds the headers for an endpoint: the caller's headers without hop-by-hop and reserved ones, and those that encode `metadata`. */
  buildRequest(headers: RawHeaders, metadata: SendMetadata): string[]
  readAnswer(status: number, headers: RawHeaders): AnswerMetadata
  /** Builds the headers for the caller: the endpoint's headers without the hop-by-hop ones. */
  buildAnswer(headers: RawHeaders): string[]
}
