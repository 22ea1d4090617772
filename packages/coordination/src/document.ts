import type { DataCentre, EndpointId, Incarnation, InstanceId } from "@galenaway/core"

/**
 * What is agreed about one data centre's endpoints. It is one value of the
 * platform's service, changed by compare-and-swap only, and it changes with
 * membership, not with requests.
 */
export interface OwnershipDocument {
  readonly dataCentre: DataCentre
  /** Grows with each change. */
  readonly epoch: number
  /** Who wrote this epoch, by which an author recognises its own write after a lost reply. */
  readonly author: Incarnation
  /** Every incarnation, of any data centre, that may hold a grant on these endpoints. */
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
 * `live` members own endpoints. `leaving` ones hand theirs over and finish
 * their work. `suspect` ones don't answer, but may be paused: they lose their
 * endpoints and still pin what they may hold. A member that is known to be
 * gone is taken out of the list.
 */
export type MemberPhase = "live" | "leaving" | "suspect"

/** Who owns an endpoint. */
export interface Ownership {
  readonly endpoint: EndpointId
  readonly owner: Incarnation
  /** The document's epoch when this ownership began. It is the fencing number of the owner's orders. */
  readonly epoch: number
  /** The incarnations that must acknowledge an eviction before it is ordered. Any one of them can tell a successor. */
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
