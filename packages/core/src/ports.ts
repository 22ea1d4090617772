import type { AdapterKey } from "./adapter.js"
import type {
  DataCentre,
  EndpointPhase,
  EngineReport,
  Grant,
  GrantResult,
  InstanceId,
  Millis,
  RequestId,
  RouteRequest,
} from "./model.js"
import type { Rank } from "./rank.js"

/** A source of time that never goes back. Tests move it by hand. */
export interface Clock {
  /** Milliseconds since an arbitrary start. */
  now(): Millis
  /** Milliseconds since the Unix epoch. It may jump. */
  wallNow(): Millis
}

/** One chat message. */
export interface ChatMessage {
  readonly role: string
  readonly content: string
}

/** A completion to run on an engine. */
export interface CompletionCall {
  readonly request: RequestId
  readonly adapter: AdapterKey
  readonly rank: Rank
  readonly messages: readonly ChatMessage[]
  readonly maxTokens: number
}

/** What an engine says of the run that a part of an answer came from. */
export interface RunInfo {
  readonly request: RequestId
  readonly adapter: AdapterKey
  /** The run on the engine; a second run of the same request has another one. */
  readonly run: string
}

/** A part of an answer. Sequence numbers start at 1 and have no gaps within a run. */
export type StreamPart =
  | {
      readonly kind: "token"
      readonly sequence: number
      readonly text: string
      readonly source: RunInfo
    }
  | {
      readonly kind: "done"
      readonly sequence: number
      readonly finishReason: string
      readonly source: RunInfo
    }

/** An order about one adapter on one engine. */
export interface AdapterOrder {
  readonly adapter: AdapterKey
  /** The owner's epoch; an endpoint that checks it refuses a lower one than it has seen. */
  readonly fencingNumber: number
}

/** What became of an order. `unresolved` means that it may still take effect later. */
export type OrderResult = "done" | "rejected" | "fenced" | "unresolved"

/** A model engine. */
export interface EnginePort {
  /** Runs a completion. Fails with an UnknownOutcomeError once a byte may have left. */
  complete(call: CompletionCall, signal: AbortSignal): AsyncIterable<StreamPart>
  /** Continues a running or finished answer after a sequence number, on a fresh connection. */
  resume(request: RequestId, afterSequence: number, signal: AbortSignal): AsyncIterable<StreamPart>
  /** Stops a run. Succeeds also when there is none. */
  cancel(request: RequestId): Promise<void>
  /** Loads an adapter; resolves when it is resident. */
  load(order: AdapterOrder): Promise<OrderResult>
  /** Evicts an adapter; resolves when it is no longer resident. */
  unload(order: AdapterOrder): Promise<OrderResult>
  /** Reads the engine's latest load report. */
  report(): Promise<EngineReport>
}

/** A value of the platform's service with the revision of its last change. */
export interface VersionedValue {
  readonly value: string
  readonly revision: number
}

/** An entry in the platform's list of instances and endpoints. The list lags. */
export interface PlatformListEntry {
  readonly id: string
  readonly dataCentre: DataCentre
  readonly phase: EndpointPhase
}

/** The platform's key-value service. Each method counts as one call; a failed write may have taken effect. */
export interface PlatformPort {
  /** Reads a key. Returns undefined when it doesn't exist. */
  read(key: string): Promise<VersionedValue | undefined>
  /** Writes a key if its revision is still the expected one; 0 expects that it doesn't exist. Returns false when it isn't. */
  compareAndSwap(key: string, expectedRevision: number, value: string): Promise<boolean>
  /** Waits until a key's revision is above the given one, or until the wait is over; returns the value then. */
  watch(
    key: string,
    afterRevision: number,
    signal: AbortSignal,
  ): Promise<VersionedValue | undefined>
  /** Reads the lagging list of live and leaving instances and endpoints. */
  list(): Promise<readonly PlatformListEntry[]>
  /** Opens a lease that ends when it isn't renewed for its time to live, in milliseconds. */
  openLease(ttlMs: number, holder: InstanceId): Promise<string>
  /** Renews a lease. Returns false when it has lapsed. */
  renewLease(lease: string): Promise<boolean>
  /** Ends a lease at once. */
  closeLease(lease: string): Promise<void>
  /** Takes a key under a lease. Returns false when another lease holds it. */
  acquire(key: string, lease: string, value: string): Promise<boolean>
}

/**
 * Decides where a request runs. The naive router decides from load
 * reports alone; the coordinated router asks the endpoint's owner.
 */
export interface Router {
  /** Waits until the request may run. Throws a RefusedError when it won't. */
  acquire(request: RouteRequest, signal: AbortSignal): Promise<Grant>
  /** Gives a grant back. It is called exactly once for each grant. */
  release(grant: Grant, result: GrantResult): void
}
