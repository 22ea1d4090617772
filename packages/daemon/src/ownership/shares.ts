import type { Clock, EndpointId, Incarnation } from "@galenaway/core"
import type { Ownership, OwnershipDocument } from "@galenaway/coordination"
import {
  applyLoss,
  applyOwnership,
  computeLoadShare,
  confirmGain,
  createShareTables,
  type LoadLimits,
  type LoadShare,
  type ShareTables,
} from "@galenaway/policy"

/** This instance's part of the weight store's budget, from the ownerships that it has seen. */
export class LoadShares {
  private readonly tables: ShareTables
  /** Earlier owners that have given their part of an endpoint up, by the endpoint. */
  private readonly yielded = new Map<EndpointId, Set<Incarnation>>()

  constructor(
    private readonly self: Incarnation,
    endpointCount: number,
    private readonly clock: Clock,
  ) {
    this.tables = createShareTables(self, endpointCount)
  }

  /** Takes a document that the platform's service has just confirmed. */
  handleDocument(document: OwnershipDocument): void {
    applyOwnership(this.tables, document, this.clock.now())
  }

  /** Gives an endpoint's part up: a successor has asked what this instance holds there. */
  handleAsked(endpoint: EndpointId, epoch: number): void {
    applyLoss(this.tables, endpoint, epoch)
  }

  /** Takes a member's answer to the owner of an endpoint. Once all earlier owners have answered, its part counts. */
  handleAnswer(ownership: Ownership, member: Incarnation): void {
    const { endpoint, epoch, predecessors } = ownership
    const yielded = this.yielded.get(endpoint) ?? new Set()
    this.yielded.set(endpoint, yielded.add(member))
    const rivals = predecessors.filter(({ owner }) => owner !== this.self)
    if (rivals.every(({ owner }) => yielded.has(owner))) confirmGain(this.tables, endpoint, epoch)
  }

  /** Forgets who answered about an endpoint, since another epoch has begun. */
  handleNewEpoch(endpoint: EndpointId): void {
    this.yielded.delete(endpoint)
  }

  /** Computes the share as of now. */
  compute(limits: LoadLimits): LoadShare {
    return computeLoadShare(this.tables, limits, this.clock.now())
  }
}
