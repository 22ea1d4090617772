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

/** A source of time. Tests replace it by a clock that they advance themselves. */
export interface Clock {
  /** Returns the milliseconds since an arbitrary start. The value never decreases. */
  now(): Millis
  /** Returns the milliseconds since the Unix epoch. The value may jump in either direction. */
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

/** Identifies the run on an engine that produced a part of an answer. */
export interface RunInfo {
  readonly request: RequestId
  readonly adapter: AdapterKey
  /** The id of the run on the engine. Each run of a request has its own id. */
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

/** An order to load or unload one adapter on one engine. */
export interface AdapterOrder {
  readonly adapter: AdapterKey
  /** The owner's epoch. An endpoint that checks fencing refuses an order with a lower number than the highest it has received. */
  readonly fencingNumber: number
}

/** The result of an order. `unresolved` means that it may still take effect later. */
export type OrderResult = "done" | "rejected" | "fenced" | "unresolved"

/** A model engine. */
export interface EnginePort {
  /** Runs a completion. A failure after a byte may have been sent is an UnknownOutcomeError. */
  complete(call: CompletionCall, signal: AbortSignal): AsyncIterable<StreamPart>
  /** Continues a running or finished answer after a sequence number, on a fresh connection. */
  resume(request: RequestId, afterSequence: number, signal: AbortSignal): AsyncIterable<StreamPart>
  /** Stops the run of a request. Succeeds also if there is no run. */
  cancel(request: RequestId): Promise<void>
  /** Loads an adapter. Resolves with `done` when the adapter is resident. */
  load(order: AdapterOrder): Promise<OrderResult>
  /** Unloads an adapter. Resolves with `done` when the adapter is no longer resident. */
  unload(order: AdapterOrder): Promise<OrderResult>
  /** Reads the engine's latest load report. */
  report(): Promise<EngineReport>
}

/** A value of the platform's key-value service and the revision of its last change. */
export interface VersionedValue {
  readonly value: string
  readonly revision: number
}

/** An entry in the platform's list of instances and endpoints. The list lags behind the actual state. */
export interface PlatformListEntry {
  readonly id: string
  readonly dataCentre: DataCentre
  readonly phase: EndpointPhase
}

/** The platform's key-value service. Each method counts as one call. A write that failed may still have taken effect. */
export interface PlatformPort {
  /** Reads a key. Returns undefined if the key doesn't exist. */
  read(key: string): Promise<VersionedValue | undefined>
  /** Writes a key if its revision equals the expected one; 0 means that the key must not exist. Returns false if the revision differs. */
  compareAndSwap(key: string, expectedRevision: number, value: string): Promise<boolean>
  /** Waits until a key's revision is above the given one or the wait ends, and returns the value at that time. */
  watch(
    key: string,
    afterRevision: number,
    signal: AbortSignal,
  ): Promise<VersionedValue | undefined>
  /** Reads the list of live and leaving instances and endpoints. */
  list(): Promise<readonly PlatformListEntry[]>
  /** Opens a lease that ends if it isn't renewed within its time to live, in milliseconds. Returns its id. */
  openLease(ttlMs: number, holder: InstanceId): Promise<string>
  /** Renews a lease. Returns false if it has expired. */
  renewLease(lease: string): Promise<boolean>
  /** Ends a lease at once. */
  closeLease(lease: string): Promise<void>
  /** Acquires a key under a lease. Returns false if another lease holds the key. */
  acquire(key: string, lease: string, value: string): Promise<boolean>
}

/**
 * Chooses the endpoint of each request. The naive router uses only load reports;
 * the coordinated router requests a grant from the endpoint's owner.
 */
export interface Router {
  /** Waits until the request may run. Throws a RefusedError if it is refused. */
  acquire(request: RouteRequest, signal: AbortSignal): Promise<Grant>
  /** Returns a grant. It must be called exactly once for each grant. */
  release(grant: Grant, result: GrantResult): void
}
