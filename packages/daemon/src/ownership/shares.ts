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

/**
 * Computes this instance's share of the weight store's load budget from the
 * ownership documents.
 */
export class LoadShares {
  private readonly tables: ShareTables
  /** Earlier owners that have released their share of an endpoint, by endpoint. */
  private readonly releasedBy = new Map<EndpointId, Set<Incarnation>>()
  /** Incarnations whose processes have ended. They send no more load orders. */
  private readonly ended = new Set<Incarnation>()

  constructor(
    private readonly self: Incarnation,
    endpointCount: number,
    private readonly clock: Clock,
  ) {
    this.tables = createShareTables(self, endpointCount)
  }

  /** Applies a document that the platform's service has just confirmed as current. */
  handleDocument(document: OwnershipDocument): void {
    applyOwnership(this.tables, document, this.clock.now())
  }

  /**
   * Releases the share of an endpoint after a successor has requested this
   * instance's holdings there.
   */
  releaseShare(endpoint: EndpointId, epoch: number): void {
    applyLoss(this.tables, endpoint, epoch)
  }

  /** Registers a new ownership. Its share counts at once if all earlier owners have ended. */
  handleOwnership(ownership: Ownership): void {
    this.releasedBy.delete(ownership.endpoint)
    this.confirmIfReleased(ownership)
  }

  /**
   * Registers a member's holdings reply. The share counts once all earlier
   * owners have replied or ended.
   */
  handleHoldingsReply(ownership: Ownership, member: Incarnation): void {
    const released = this.releasedBy.get(ownership.endpoint) ?? new Set()
    this.releasedBy.set(ownership.endpoint, released.add(member))
    this.confirmIfReleased(ownership)
  }

  /** Registers that an incarnation's process has ended. */
  handleProcessEnded(incarnation: Incarnation, owned: readonly Ownership[]): void {
    this.ended.add(incarnation)
    for (const ownership of owned) this.confirmIfReleased(ownership)
  }

  /** Computes the current share under the given limits. */
  computeShare(limits: LoadLimits): LoadShare {
    return computeLoadShare(this.tables, limits, this.clock.now())
  }

  private confirmIfReleased({ endpoint, epoch, predecessors }: Ownership): void {
    const released = this.releasedBy.get(endpoint)
    const isPending = predecessors.some(
      ({ owner }) => owner !== this.self && released?.has(owner) !== true && !this.ended.has(owner),
    )
    if (!isPending) confirmGain(this.tables, endpoint, epoch)
  }
}
