import type { AdapterKey, EndpointId, Grant, Incarnation } from "@galenaway/core"

/**
 * What an incarnation knows as a holder of grants and as a witness of
 * announced evictions, over all endpoints. It is an immutable value;
 * {@link updateMember} makes the next one.
 */
export interface MemberState {
  readonly self: Incarnation
  readonly endpoints: ReadonlyMap<EndpointId, MemberEndpoint>
}

/** A member's knowledge of one endpoint. */
export interface MemberEndpoint {
  /** The lowest epoch whose grants and announcements it still takes. It only grows. */
  readonly minimumEpoch: number
  /** The epoch that it has sealed: it acknowledges no announcement of this or an older one. */
  readonly sealedEpoch: number
  readonly held: ReadonlyMap<string, Grant>
  /** Announced and not yet settled evictions, with the announcing epoch. */
  readonly announced: ReadonlyMap<AdapterKey, number>
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
    }
  | {
      readonly kind: "eviction-settled"
      readonly endpoint: EndpointId
      readonly adapter: AdapterKey
      readonly epoch: number
    }
  /** A successor asks what this member holds; from now on older epochs are refused. */
  | { readonly kind: "holdings-asked"; readonly endpoint: EndpointId; readonly epoch: number }
  /** A member without an owner asks a witness which adapters it may use; the epoch is sealed. */
  | { readonly kind: "seal-asked"; readonly endpoint: EndpointId; readonly epoch: number }

/** What the member answers. */
export type MemberReply =
  | { readonly kind: "accepted" }
  | { readonly kind: "refused"; readonly minimumEpoch: number }
  | {
      readonly kind: "holdings"
      readonly epoch: number
      readonly grants: readonly Grant[]
      readonly announced: readonly AdapterKey[]
    }
  | { readonly kind: "sealed"; readonly epoch: number; readonly announced: readonly AdapterKey[] }

/** The next state and the reply. */
export interface MemberTransaction {
  readonly state: MemberState
  readonly reply: MemberReply
}
