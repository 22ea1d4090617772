import type {
  AdapterKey,
  EndpointId,
  Fencing,
  Grant,
  Incarnation,
  OrderResult,
} from "@galenaway/core"
import type { Ownership } from "./document.js"
import type { AnnouncedEviction } from "./member.js"

/**
 * What an owner knows of one endpoint that it owns. It is an immutable value;
 * {@link updateOwner} makes the next one.
 */
export interface OwnerState {
  readonly endpoint: EndpointId
  readonly fencing: Fencing
  readonly ownership: Ownership
  /** `taking-over` until the predecessors can do no more harm; `deposed` once a later epoch was seen. */
  readonly phase: "taking-over" | "active" | "deposed"
  /** Members whose report of held grants is still awaited. While there is one, nothing is evicted. */
  readonly pendingReports: ReadonlySet<Incarnation>
  /** Grants of before that came back before their holder reported them. */
  readonly earlyReturns: ReadonlySet<string>
  /** What is known of earlier ownerships, by their epoch. */
  readonly predecessors: ReadonlyMap<number, PredecessorState>
  /** Whether the endpoint has checked this epoch's number, so that it refuses the predecessors' orders. */
  readonly isFenced: boolean
  /** Witnesses that don't yet know the suspects of this epoch. While there is one, nothing is announced. */
  readonly pendingBriefings: ReadonlySet<Incarnation>
  /** Whether a witness of this epoch is gone. Then nothing more is announced until the ownership is renewed. */
  readonly isWitnessLost: boolean
  readonly grants: ReadonlyMap<string, HeldGrant>
  readonly evictions: ReadonlyMap<AdapterKey, PendingEviction>
  /** Own orders without a reply, by their announcement. */
  readonly unresolved: ReadonlyMap<number, UnresolvedOrder>
  /** How many announcements the owner has made. */
  readonly announcementCount: number
  /** Adapters that an order of a predecessor, or one without a reply, may still evict. They are not granted. */
  readonly suspects: ReadonlySet<AdapterKey>
}

/** What an owner knows of an earlier ownership. */
export interface PredecessorState {
  readonly owner: Incarnation
  readonly epoch: number
  /** Those who acknowledged its evictions, itself included. One of them is enough to tell its announcements. */
  readonly witnesses: ReadonlySet<Incarnation>
  readonly hasWitnessReport: boolean
  /** Announced evictions that every witness which answered still knows. */
  readonly announced: ReadonlySet<AdapterKey>
}

/** A grant that pins its adapter until its holder returns it or is known to be gone. */
export interface HeldGrant {
  readonly grant: Grant
  readonly holder: Incarnation
}

/** An eviction on its way: announced, then ordered, then resolved. */
export interface PendingEviction {
  readonly adapter: AdapterKey
  /** The epoch under which it was announced. */
  readonly epoch: number
  readonly announcement: number
  readonly step: "announced" | "ordered"
  /** Witnesses that have not acknowledged yet. */
  readonly pendingWitnesses: ReadonlySet<Incarnation>
}

/** An order without a reply, which may still take effect. */
export interface UnresolvedOrder extends AnnouncedEviction {
  /** Whether the endpoint's present process, or an earlier one, is known to have received it, so that a restart ends it. */
  readonly isConfirmed: boolean
}

/** What can happen to an owned endpoint. */
export type OwnerEvent =
  /** The scheduler wants an adapter evicted. It is blocked while the adapter is pinned. */
  | { readonly kind: "eviction-wanted"; readonly adapter: AdapterKey }
  /** The scheduler gives up an eviction. One that was ordered goes on. */
  | { readonly kind: "eviction-abandoned"; readonly adapter: AdapterKey }
  | {
      readonly kind: "acknowledged"
      readonly witness: Incarnation
      readonly adapter: AdapterKey
      readonly epoch: number
      readonly announcement: number
    }
  /** A witness refused: it has sealed this epoch, or takes only later ones. */
  | {
      readonly kind: "announcement-refused"
      readonly adapter: AdapterKey
      readonly epoch: number
      readonly announcement: number
      readonly minimumEpoch: number
    }
  | { readonly kind: "witness-briefed"; readonly witness: Incarnation; readonly epoch: number }
  | {
      readonly kind: "unload-answered"
      readonly adapter: AdapterKey
      readonly announcement: number
      readonly result: OrderResult
    }
  | { readonly kind: "granted"; readonly grant: Grant; readonly holder: Incarnation }
  | { readonly kind: "grant-returned"; readonly grant: string }
  /** A member's answer to `ask-holdings`: the grants it holds, and what it witnessed. */
  | {
      readonly kind: "holdings-reported"
      readonly member: Incarnation
      readonly epoch: number
      readonly grants: readonly Grant[]
      readonly announced: readonly AnnouncedEviction[]
    }
  | {
      readonly kind: "fence-answered"
      readonly fencingNumber: number
      readonly result: OrderResult
    }
  /** An incarnation's process is known to have ended, and nothing that it sent is on its way. */
  | { readonly kind: "member-gone"; readonly member: Incarnation }
  /** A report that was asked for after all earlier events comes from the same process as the last one. */
  | { readonly kind: "endpoint-confirmed" }
  /** A report comes from a new process: what the old one had received can't take effect any more. */
  | { readonly kind: "endpoint-restarted" }
  /** The ownership document changed. */
  | {
      readonly kind: "ownership-changed"
      readonly ownership: Ownership
      readonly members: readonly Incarnation[]
    }
  /** Time to repeat what is still unanswered, for lost messages. Orders to evict are never repeated. */
  | { readonly kind: "retry-due" }

/** What the shell has to do. A message to the owner's own incarnation goes to its own member state. */
export type OwnerEffect =
  | { readonly kind: "ask-holdings"; readonly to: Incarnation; readonly epoch: number }
  | {
      readonly kind: "announce"
      readonly to: Incarnation
      readonly adapter: AdapterKey
      readonly epoch: number
      readonly announcement: number
    }
  /** Tells a witness that announced evictions of the adapter are settled, up to this number. */
  | {
      readonly kind: "settle"
      readonly to: Incarnation
      readonly adapter: AdapterKey
      readonly epoch: number
      readonly announcement: number
    }
  /** Tells a witness that the owner is active, and which adapters may still be evicted by older orders. */
  | {
      readonly kind: "brief-witness"
      readonly to: Incarnation
      readonly epoch: number
      readonly announcement: number
      readonly adapters: readonly AdapterKey[]
    }
  | {
      readonly kind: "unload"
      readonly adapter: AdapterKey
      readonly announcement: number
      readonly fencingNumber: number
    }
  /** Sends an order without effect under the new number, so that the endpoint refuses the older ones. */
  | { readonly kind: "fence"; readonly fencingNumber: number }
  | { readonly kind: "evicted"; readonly adapter: AdapterKey }
  | { readonly kind: "eviction-blocked"; readonly adapter: AdapterKey }
  | { readonly kind: "suspects-changed"; readonly suspects: ReadonlySet<AdapterKey> }
  /** A witness has sealed the epoch or is gone; nothing can be evicted until the ownership is renewed. */
  | { readonly kind: "renewal-wanted" }
  /** An earlier ownership can do no more harm; the document may drop it. */
  | { readonly kind: "predecessor-resolved"; readonly epoch: number }
  | { readonly kind: "activated" }
  | { readonly kind: "deposed" }

/** The next state and what the shell has to do, in order. */
export interface OwnerTransaction {
  readonly state: OwnerState
  readonly effects: readonly OwnerEffect[]
}
