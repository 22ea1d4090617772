import type { AdapterKey, EndpointId, Grant, Incarnation } from "@galenaway/core"
import type { Ownership } from "./document.js"

/**
 * The state of an incarnation as a holder of grants and as a witness of
 * announced evictions, for all endpoints. It is immutable;
 * {@link updateMember} computes the next state.
 */
export interface MemberState {
  readonly self: Incarnation
  readonly endpoints: ReadonlyMap<EndpointId, MemberEndpointState>
}

/** A member's state for one endpoint. */
export interface MemberEndpointState {
  /** The lowest epoch whose grants and announcements are accepted. It never decreases. */
  readonly minimumEpoch: number
  /** The latest epoch for which this witness has received the owner's briefing, -1 if none. */
  readonly briefingEpoch: number
  /** The latest sealed epoch, -1 if none. Announcements of this or an older epoch are refused. */
  readonly sealedEpoch: number
  /** The held grants by their id. */
  readonly held: ReadonlyMap<string, Grant>
  /** Announced evictions that aren't settled yet, one for each adapter and epoch. */
  readonly announced: readonly AnnouncedEviction[]
}

/** An eviction that the owner of an epoch may order, or may have ordered. */
export interface AnnouncedEviction {
  readonly adapter: AdapterKey
  readonly epoch: number
  /**
   * Increases with each announcement of an owner, so that a late settlement
   * doesn't remove a newer announcement.
   */
  readonly announcement: number
}

/** The input of {@link updateMember}. Each event has one reply. */
export type MemberEvent =
  | { readonly kind: "grant-arrived"; readonly grant: Grant }
  | { readonly kind: "grant-ended"; readonly endpoint: EndpointId; readonly grant: string }
  | {
      readonly kind: "eviction-announced"
      readonly endpoint: EndpointId
      readonly adapter: AdapterKey
      readonly epoch: number
      readonly announcement: number
    }
  /** All announcements of this adapter and epoch, up to and including this number, are settled. */
  | {
      readonly kind: "eviction-settled"
      readonly endpoint: EndpointId
      readonly adapter: AdapterKey
      readonly epoch: number
      readonly announcement: number
    }
  /**
   * The owner's briefing: it is active in this epoch, and earlier orders may
   * still evict these adapters.
   */
  | {
      readonly kind: "witness-briefed"
      readonly endpoint: EndpointId
      readonly epoch: number
      readonly announcement: number
      readonly adapters: readonly AdapterKey[]
    }
  /** A new owner requests a holdings report. From then on, older epochs are refused. */
  | { readonly kind: "holdings-asked"; readonly endpoint: EndpointId; readonly epoch: number }
  /**
   * Requests the adapters that may be evicted from a witness, for a member that can't reach the
   * owner. The witness seals the epoch unless it refuses.
   */
  | { readonly kind: "seal-asked"; readonly endpoint: EndpointId; readonly epoch: number }
  /**
   * The member has read an ownership in the document. After a member joins, apply all ownerships of
   * the document before its first grant.
   */
  | { readonly kind: "ownership-seen"; readonly ownership: Ownership }

/** A member's reply to an event. `refused` carries the lowest epoch that the member accepts. */
export type MemberReply =
  | { readonly kind: "accepted" }
  | { readonly kind: "refused"; readonly minimumEpoch: number }
  | {
      readonly kind: "holdings"
      readonly epoch: number
      readonly grants: readonly Grant[]
      readonly announced: readonly AnnouncedEviction[]
    }
  | {
      readonly kind: "sealed"
      readonly epoch: number
      readonly announced: readonly AnnouncedEviction[]
    }

/** The next state of a member and its reply. */
export interface MemberTransaction {
  readonly state: MemberState
  readonly reply: MemberReply
}
