import type { DataCentre, EndpointId, Incarnation, InstanceId } from "@galenaway/core"

/**
 * The members and endpoint owners of one data centre. It is one value in the
 * platform's service, written by compare-and-swap only. It changes when the
 * membership changes, not with each request.
 */
export interface OwnershipDocument {
  readonly dataCentre: DataCentre
  /** Increases by one with each change. */
  readonly epoch: number
  /**
   * The incarnation that wrote this epoch. After a lost reply, an author
   * detects its own write by it.
   */
  readonly author: Incarnation
  /** All incarnations, of any data centre, that may hold a grant on these endpoints. */
  readonly members: readonly Member[]
  readonly ownerships: readonly Ownership[]
}

/** An incarnation that may own endpoints and hold grants. */
export interface Member {
  readonly incarnation: Incarnation
  readonly instance: InstanceId
  readonly dataCentre: DataCentre
  readonly peerAddress: string
  readonly phase: MemberPhase
}

/**
 * A `live` member can own endpoints. A `leaving` member hands its endpoints
 * over and finishes its requests. A `suspect` member doesn't answer but may only
 * be paused: it loses its endpoints, and the adapters that it may hold stay
 * pinned. A member that is known to be gone is removed from the document.
 */
export type MemberPhase = "live" | "leaving" | "suspect"

/** The owner of an endpoint, with the witnesses of its evictions. */
export interface Ownership {
  readonly endpoint: EndpointId
  readonly owner: Incarnation
  /**
   * The document's epoch at which this ownership began. It is the fencing
   * number of the owner's orders.
   */
  readonly epoch: number
  /**
   * The incarnations, besides the owner, that must acknowledge an eviction before it is ordered.
   * A report from any one of them is enough for a successor.
   */
  readonly witnesses: readonly Incarnation[]
  /** Earlier ownerships of the endpoint whose owner is not known to be gone, oldest first. */
  readonly predecessors: readonly Predecessor[]
}

/** An earlier ownership whose orders may still arrive at the endpoint. */
export interface Predecessor {
  readonly owner: Incarnation
  readonly epoch: number
  readonly witnesses: readonly Incarnation[]
}
