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
  private readonly releasedBy = new Map<EndpointId, Set<Incarnation>>()
  /** Incarnations whose processes have ended, so that they order no more loads. */
  private readonly ended = new Set<Incarnation>()

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
  releaseShare(endpoint: EndpointId, epoch: number): void {
    applyLoss(this.tables, endpoint, epoch)
  }

  /** Takes a new ownership. Its part counts at once when all earlier owners have ended. */
  handleOwnership(ownership: Ownership): void {
    this.releasedBy.delete(ownership.endpoint)
    this.confirmIfReleased(ownership)
  }

  /** Takes a member's answer to the owner of an endpoint. Once all earlier owners have answered or ended, its part counts. */
  handleHoldingsReply(ownership: Ownership, member: Incarnation): void {
    const yielded = this.releasedBy.get(ownership.endpoint) ?? new Set()
    this.releasedBy.set(ownership.endpoint, yielded.add(member))
    this.confirmIfReleased(ownership)
  }

  /** Takes note that an incarnation's process has ended. */
  handleProcessEnded(incarnation: Incarnation, owned: readonly Ownership[]): void {
    this.ended.add(incarnation)
    for (const ownership of owned) this.confirmIfReleased(ownership)
  }

  /** Computes the share as of now. */
  computeShare(limits: LoadLimits): LoadShare {
    return computeLoadShare(this.tables, limits, this.clock.now())
  }

  private confirmIfReleased({ endpoint, epoch, predecessors }: Ownership): void {
    const yielded = this.releasedBy.get(endpoint)
    const isOpen = predecessors.some(
      ({ owner }) => owner !== this.self && yielded?.has(owner) !== true && !this.ended.has(owner),
    )
    if (!isOpen) confirmGain(this.tables, endpoint, epoch)
  }
}
