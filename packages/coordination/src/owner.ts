import type {
  AdapterKey,
  EndpointId,
  Fencing,
  Grant,
  Incarnation,
  OrderResult,
} from "@galenaway/core"
import type { Ownership } from "./document.js"

/**
 * What an owner knows of one endpoint that it owns. It is an immutable value;
 * {@link updateOwner} makes the next one.
 */
export interface OwnerState {
  readonly endpoint: EndpointId
  readonly fencing: Fencing
  readonly ownership: Ownership
  /** `taking-over` until the predecessor can do no more harm; `deposed` once a later epoch was seen. */
  readonly phase: "taking-over" | "active" | "deposed"
  /** Members whose report of held grants is still awaited. While there is one, nothing that was resident before is evicted. */
  readonly awaited: ReadonlySet<Incarnation>
  /** The witnesses of the predecessor that can still tell its announcements; one answer is enough. */
  readonly predecessorWitnesses: ReadonlySet<Incarnation>
  /** Whether a predecessor's witness has told its announcements, or there was no predecessor. */
  readonly isBriefed: boolean
  /** The predecessor, until it is known to be gone or fenced off. */
  readonly predecessor: Incarnation | undefined
  readonly grants: ReadonlyMap<string, HeldGrant>
  readonly evictions: ReadonlyMap<AdapterKey, Eviction>
  /** Adapters that an order of a predecessor, or one without a reply, may still evict. They are not granted. */
  readonly suspects: ReadonlySet<AdapterKey>
}

/** A grant that pins its adapter until its holder returns it or is known to be gone. */
export interface HeldGrant {
  readonly grant: Grant
  readonly holder: Incarnation
}

/** An eviction on its way: announced, then ordered, then resolved. */
export interface Eviction {
  readonly adapter: AdapterKey
  readonly step: "announced" | "ordered"
  /** Witnesses that have not acknowledged yet. */
  readonly awaited: ReadonlySet<Incarnation>
}

/** What can happen to an owned endpoint. */
export type OwnerEvent =
  /** The scheduler wants an adapter evicted. It has no effect while the adapter is pinned. */
  | { readonly kind: "eviction-wanted"; readonly adapter: AdapterKey }
  | {
      readonly kind: "acknowledged"
      readonly witness: Incarnation
      readonly adapter: AdapterKey
      readonly epoch: number
    }
  /** A witness refused: it has sealed this epoch for a successor or for callers without an owner. */
  | { readonly kind: "announcement-refused"; readonly adapter: AdapterKey; readonly epoch: number }
  | { readonly kind: "unload-answered"; readonly adapter: AdapterKey; readonly result: OrderResult }
  | { readonly kind: "granted"; readonly grant: Grant; readonly holder: Incarnation }
  | { readonly kind: "grant-returned"; readonly grant: string }
  /** A member's answer to `ask-holdings`: the grants it holds, and what it witnessed. */
  | {
      readonly kind: "holdings-reported"
      readonly member: Incarnation
      readonly epoch: number
      readonly grants: readonly Grant[]
      /** Announced and unresolved evictions, if the member was a witness of the predecessor. */
      readonly announced: readonly AdapterKey[]
    }
  | { readonly kind: "fence-answered"; readonly result: OrderResult }
  /** An incarnation's process is known to have ended. */
  | { readonly kind: "member-gone"; readonly member: Incarnation }
  /** The endpoint restarted: no order of before can take effect any more, and no run is left. */
  | { readonly kind: "endpoint-restarted" }
  /** The ownership document changed. */
  | { readonly kind: "ownership-changed"; readonly ownership: Ownership }

/** What the shell has to do. */
export type OwnerEffect =
  | { readonly kind: "ask-holdings"; readonly to: Incarnation; readonly epoch: number }
  | {
      readonly kind: "announce"
      readonly to: Incarnation
      readonly adapter: AdapterKey
      readonly epoch: number
    }
  /** Tells a witness that an announced eviction is settled. */
  | {
      readonly kind: "settle"
      readonly to: Incarnation
      readonly adapter: AdapterKey
      readonly epoch: number
    }
  | { readonly kind: "unload"; readonly adapter: AdapterKey; readonly fencingNumber: number }
  /** Sends an order without effect under the new number, so that the endpoint refuses the older ones. */
  | { readonly kind: "fence"; readonly fencingNumber: number }
  | { readonly kind: "evicted"; readonly adapter: AdapterKey }
  | { readonly kind: "eviction-blocked"; readonly adapter: AdapterKey }
  | { readonly kind: "activated" }
  | { readonly kind: "deposed" }

/** The next state and what the shell has to do, in order. */
export interface OwnerTransaction {
  readonly state: OwnerState
  readonly effects: readonly OwnerEffect[]
}
