import type { AdapterKey, EndpointId, Grant, Incarnation } from "@galenaway/core"
import type { Ownership } from "./document.js"

/**
 * What an incarnation knows as a holder of grants and as a witness of
 * announced evictions, over all endpoints. It is an immutable value;
 * {@link updateMember} makes the next one.
 */
export interface MemberState {
  readonly self: Incarnation
  readonly endpoints: ReadonlyMap<EndpointId, MemberEndpointState>
}

/** A member's knowledge of one endpoint. */
export interface MemberEndpointState {
  /** The lowest epoch whose grants and announcements it still takes. It only grows. */
  readonly minimumEpoch: number
  /** The latest epoch whose owner has told this witness that it is active, and what to avoid. */
  readonly briefingEpoch: number
  /** The epoch that it has sealed: it acknowledges no announcement of this or an older one. */
  readonly sealedEpoch: number
  readonly held: ReadonlyMap<string, Grant>
  /** Announced and not yet settled evictions, one for each adapter and epoch. */
  readonly announced: readonly AnnouncedEviction[]
}

/** An eviction that the owner of an epoch may order, or may have ordered. */
export interface AnnouncedEviction {
  readonly adapter: AdapterKey
  readonly epoch: number
  /** Grows with each announcement of an owner, so that a late settlement doesn't end a newer one. */
  readonly announcement: number
}

/** What can reach a member. Each event has one reply. */
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
  /** All announcements of this adapter and epoch up to this number are settled. */
  | {
      readonly kind: "eviction-settled"
      readonly endpoint: EndpointId
      readonly adapter: AdapterKey
      readonly epoch: number
      readonly announcement: number
    }
  /** The owner of an epoch is active; these adapters may still be evicted by orders of before. */
  | {
      readonly kind: "witness-briefed"
      readonly endpoint: EndpointId
      readonly epoch: number
      readonly announcement: number
      readonly adapters: readonly AdapterKey[]
    }
  /** A successor asks what this member holds; from now on older epochs are refused. */
  | { readonly kind: "holdings-asked"; readonly endpoint: EndpointId; readonly epoch: number }
  /** A member without an owner asks a witness which adapters it may use; the epoch is sealed. */
  | { readonly kind: "seal-asked"; readonly endpoint: EndpointId; readonly epoch: number }
  /** The member read an ownership. It is told all those of the document that it joined before it takes a grant. */
  | { readonly kind: "ownership-seen"; readonly ownership: Ownership }

/** What the member answers. */
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

/** The next state and the reply. */
export interface MemberTransaction {
  readonly state: MemberState
  readonly reply: MemberReply
}
