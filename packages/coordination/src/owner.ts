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
 * The state of an owner for one endpoint that it owns. It is immutable;
 * {@link updateOwner} computes the next state.
 */
export interface OwnerState {
  readonly endpoint: EndpointId
  readonly fencing: Fencing
  readonly ownership: Ownership
  /**
   * `taking-over` until a witness of each predecessor has reported, then `active`. `deposed` once
   * another owner or a later fencing number is known; a deposed owner grants and announces nothing.
   */
  readonly phase: "taking-over" | "active" | "deposed"
  /**
   * Members whose holdings report is pending. While there is one, every adapter
   * counts as pinned.
   */
  readonly pendingReports: ReadonlySet<Incarnation>
  /** Ids of earlier epochs' grants that were returned before their holder reported them. */
  readonly earlyReturns: ReadonlySet<string>
  /** Earlier ownerships of the endpoint by their epoch. */
  readonly predecessors: ReadonlyMap<number, PredecessorState>
  /**
   * Whether the endpoint has accepted this epoch's fencing number, so that it
   * refuses the predecessors' orders.
   */
  readonly isFenced: boolean
  /**
   * Witnesses that haven't acknowledged this epoch's briefing. While there is
   * one, nothing is announced.
   */
  readonly pendingBriefings: ReadonlySet<Incarnation>
  /**
   * Whether a witness of this epoch is gone. If so, nothing is announced until
   * the ownership is renewed.
   */
  readonly isWitnessLost: boolean
  /** Grants that haven't been returned, by their id. */
  readonly grants: ReadonlyMap<string, HeldGrant>
  readonly evictions: ReadonlyMap<AdapterKey, PendingEviction>
  /** This owner's unload orders without a reply, by their announcement. */
  readonly unresolved: ReadonlyMap<number, UnresolvedOrder>
  /** The number of announcements so far, which is also the number of the last one. */
  readonly announcementCount: number
  /**
   * Adapters that a predecessor's order or an order without a reply may still
   * evict. They are not granted.
   */
  readonly suspects: ReadonlySet<AdapterKey>
}

/** The state of an earlier ownership, as its witnesses have reported it. */
export interface PredecessorState {
  readonly owner: Incarnation
  readonly epoch: number
  /**
   * The incarnations that acknowledge its evictions, its owner included. The report of any one of
   * them contains all evictions that its orders may still execute.
   */
  readonly witnesses: ReadonlySet<Incarnation>
  /** Whether a witness has reported. True from the start for the owner's own previous epoch. */
  readonly hasWitnessReport: boolean
  /** Announced evictions that are contained in every witness's report so far. */
  readonly announced: ReadonlySet<AdapterKey>
}

/**
 * A grant and its holder. It pins its adapter until the holder returns it or is
 * known to be gone.
 */
export interface HeldGrant {
  readonly grant: Grant
  readonly holder: Incarnation
}

/**
 * An eviction that is announced to the witnesses or ordered at the endpoint,
 * and not resolved yet.
 */
export interface PendingEviction {
  readonly adapter: AdapterKey
  /** The epoch under which it was announced. */
  readonly epoch: number
  readonly announcement: number
  readonly step: "announced" | "ordered"
  /** Witnesses whose acknowledgement is pending. */
  readonly pendingWitnesses: ReadonlySet<Incarnation>
}

/** An unload order without a reply. It may still take effect. */
export interface UnresolvedOrder extends AnnouncedEviction {
  /**
   * Whether the order is known to have been sent to the endpoint's current process or an earlier
   * one. The next restart of the endpoint then cancels it.
   */
  readonly isConfirmed: boolean
}

/** The input of {@link updateOwner}. */
export type OwnerEvent =
  /** The scheduler requests an eviction. It is blocked while the adapter is pinned. */
  | { readonly kind: "eviction-wanted"; readonly adapter: AdapterKey }
  /** The scheduler cancels an eviction. One that was already ordered continues. */
  | { readonly kind: "eviction-abandoned"; readonly adapter: AdapterKey }
  | {
      readonly kind: "acknowledged"
      readonly witness: Incarnation
      readonly adapter: AdapterKey
      readonly epoch: number
      readonly announcement: number
    }
  /** A witness has refused an announcement: it has sealed the epoch, or accepts only later ones. */
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
  /**
   * A member's reply to `ask-holdings`: its held grants and the announcements
   * it has acknowledged.
   */
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
  /** An incarnation's process is known to have ended, and none of its messages is in flight. */
  | { readonly kind: "member-gone"; readonly member: Incarnation }
  /**
   * The endpoint's latest report comes from the same process as the report before
   * it. It was requested after all earlier events.
   */
  | { readonly kind: "endpoint-confirmed" }
  /**
   * An endpoint report comes from a new process. Orders that the old process
   * received can't take effect.
   */
  | { readonly kind: "endpoint-restarted" }
  /** The ownership document changed. */
  | {
      readonly kind: "ownership-changed"
      readonly ownership: Ownership
      readonly members: readonly Incarnation[]
    }
  /**
   * Resends the messages that have no reply yet, in case they were lost. Unload
   * orders are never resent.
   */
  | { readonly kind: "retry-due" }

/**
 * An action that the caller of {@link updateOwner} carries out. A message to
 * the owner's own incarnation goes to its own member state.
 */
export type OwnerEffect =
  | { readonly kind: "ask-holdings"; readonly to: Incarnation; readonly epoch: number }
  | {
      readonly kind: "announce"
      readonly to: Incarnation
      readonly adapter: AdapterKey
      readonly epoch: number
      readonly announcement: number
    }
  /**
   * Notifies a witness that announced evictions of the adapter are settled, up
   * to and including this number.
   */
  | {
      readonly kind: "settle"
      readonly to: Incarnation
      readonly adapter: AdapterKey
      readonly epoch: number
      readonly announcement: number
    }
  /**
   * Sends a witness the briefing: the owner is active, and earlier orders may
   * still evict these adapters.
   */
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
  /**
   * Sends an order without effect under the new fencing number, so that the
   * endpoint refuses older numbers.
   */
  | { readonly kind: "fence"; readonly fencingNumber: number }
  | { readonly kind: "evicted"; readonly adapter: AdapterKey }
  | { readonly kind: "eviction-blocked"; readonly adapter: AdapterKey }
  | { readonly kind: "suspects-changed"; readonly suspects: ReadonlySet<AdapterKey> }
  /**
   * A witness has sealed the epoch or is gone. Nothing can be evicted until the
   * ownership is renewed.
   */
  | { readonly kind: "renewal-wanted" }
  /** An earlier ownership is resolved, and can be removed from the document. */
  | { readonly kind: "predecessor-resolved"; readonly epoch: number }
  | { readonly kind: "activated" }
  | { readonly kind: "deposed" }

/** The next state of an owner and the effects to carry out, in order. */
export interface OwnerTransaction {
  readonly state: OwnerState
  readonly effects: readonly OwnerEffect[]
}
