import type {
  AdapterKey,
  EndpointId,
  EndpointInfo,
  EndpointPhase,
  EngineReport,
  ErrorCode,
  GrantResult,
  RequestId,
  RouteRequest,
} from "@galenaway/core"

/** An input of an owner's scheduler. */
export type SchedulerEvent =
  | {
      readonly kind: "submitted"
      readonly request: RouteRequest
      /** Whether the requesting instance tries another owner when this one refuses with `overloaded`. */
      readonly canRedirect?: boolean
    }
  | { readonly kind: "canceled"; readonly request: RequestId }
  /** A granted request ended. */
  | { readonly kind: "returned"; readonly request: RequestId; readonly result: GrantResult }
  | { readonly kind: "reported"; readonly report: EngineReport }
  | { readonly kind: "unreachable"; readonly endpoint: EndpointId }
  | { readonly kind: "loaded"; readonly endpoint: EndpointId; readonly adapter: AdapterKey }
  | { readonly kind: "load-failed"; readonly endpoint: EndpointId; readonly adapter: AdapterKey }
  | { readonly kind: "evicted"; readonly endpoint: EndpointId; readonly adapter: AdapterKey }
  | {
      readonly kind: "eviction-blocked"
      readonly endpoint: EndpointId
      readonly adapter: AdapterKey
    }
  /** The instance became the owner of an endpoint. `running` lists earlier grants that are still in use there. */
  | {
      readonly kind: "endpoint-gained"
      readonly info: EndpointInfo
      readonly running: readonly { readonly request: RequestId; readonly adapter: AdapterKey }[]
    }
  | { readonly kind: "endpoint-lost"; readonly endpoint: EndpointId }
  | {
      readonly kind: "phase-changed"
      readonly endpoint: EndpointId
      readonly phase: EndpointPhase
    }
  /** Replaces the adapters that must be neither granted nor evicted at an endpoint. */
  | {
      readonly kind: "suspects-changed"
      readonly endpoint: EndpointId
      readonly suspects: ReadonlySet<AdapterKey>
    }

/** An output of the scheduler. The caller executes it and reports the result with a {@link SchedulerEvent}. */
export type SchedulerOrder =
  | {
      readonly kind: "grant"
      readonly request: RequestId
      readonly endpoint: EndpointId
      readonly adapter: AdapterKey
    }
  | {
      readonly kind: "refuse"
      readonly request: RequestId
      readonly code: ErrorCode
      readonly message: string
    }
  | { readonly kind: "load"; readonly endpoint: EndpointId; readonly adapter: AdapterKey }
  | { readonly kind: "evict"; readonly endpoint: EndpointId; readonly adapter: AdapterKey }
