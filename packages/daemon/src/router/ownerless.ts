import type {
  AdapterKey,
  Clock,
  EndpointId,
  EnginePort,
  EngineReport,
  Grant,
  Incarnation,
  RouteRequest,
} from "@galenaway/core"
import type { MemberEvent, MemberReply, Ownership } from "@galenaway/coordination"
import type { Recorder } from "@galenaway/observe"
import type { EndpointView } from "@galenaway/policy"
import type { OwnershipDocuments } from "../ownership/documents.js"
import type { PeerTable } from "../ownership/peers.js"
import type { PeerCaller } from "../peer/client.js"

/** Minimum silence of an owner before its endpoints are used without it. */
const OWNER_SILENCE_MS = 3000
const SEAL_MAX_AGE_MS = 1000
const REPORT_MAX_AGE_MS = 250

/** A witness's reply to a seal request, with the adapters whose eviction was announced before. */
interface EpochSeal {
  readonly epoch: number
  /** Adapters that must not be used, since they can be evicted. */
  readonly announced: ReadonlySet<AdapterKey>
  readonly sealedAt: number
}

interface CachedReport {
  readonly report: EngineReport
  readonly readAt: number
}

/**
 * Routes requests to resident adapters of endpoints whose owner doesn't answer,
 * while no successor can be chosen because the platform's service is
 * unreachable. First a witness seals the owner's epoch: it acknowledges no
 * further evictions of that epoch, so the adapters that it doesn't list remain
 * resident. Each instance uses at most its share of the endpoint's capacity.
 */
export class OwnerlessRouter {
  private readonly seals = new Map<EndpointId, EpochSeal>()
  private readonly reports = new Map<EndpointId, CachedReport>()
  private readonly runningCounts = new Map<EndpointId, number>()
  private readonly issuedGrants = new Set<string>()
  private grantCounter = 0

  constructor(
    private readonly self: Incarnation,
    private readonly documents: OwnershipDocuments,
    private readonly peers: PeerTable,
    private readonly caller: PeerCaller,
    private readonly engines: ReadonlyMap<EndpointId, EnginePort>,
    private readonly clock: Clock,
    private readonly recorder: Recorder,
    private readonly handleMemberEvent: (event: MemberEvent) => MemberReply,
  ) {}

  /**
   * Issues a grant for an endpoint whose owner is silent, which holds the adapter
   * and has free capacity in this instance's share. Returns undefined if there
   * is none or if the platform's service is reachable.
   */
  async acquire(request: RouteRequest, views: readonly EndpointView[]): Promise<Grant | undefined> {
    if (this.documents.isPlatformReachable) return undefined
    for (const view of views) {
      const ownership = this.documents.findOwnership(view.info.id)
      if (!ownership || view.phase !== "live" || !this.isOwnerSilent(ownership)) continue
      if (!(await this.isUsable(view, ownership, request.adapter))) continue
      return this.issueGrant(request, ownership)
    }
    return undefined
  }

  /** Frees the capacity of a grant that this router issued. Other grants are ignored. */
  release(grant: Grant): void {
    if (!this.issuedGrants.delete(grant.id)) return
    this.runningCounts.set(grant.endpoint, (this.runningCounts.get(grant.endpoint) ?? 1) - 1)
  }

  private isOwnerSilent(ownership: Ownership): boolean {
    if (ownership.owner === this.self) return false
    if (this.peers.isGone(ownership.owner)) return true
    const row = this.peers.findRow(ownership.owner)
    if (row === undefined) return true
    return (
      row.unansweredSince !== undefined && this.clock.now() - row.unansweredSince > OWNER_SILENCE_MS
    )
  }

  private async isUsable(
    view: EndpointView,
    ownership: Ownership,
    adapter: AdapterKey,
  ): Promise<boolean> {
    const { id, capacity } = view.info
    const members = this.documents.get(view.info.dataCentre)?.members.length ?? 1
    const share = Math.max(1, Math.floor(capacity / members))
    if ((this.runningCounts.get(id) ?? 0) >= share) return false
    const report = await this.readReport(id)
    if (!report?.resident.includes(adapter)) return false
    const seal = await this.getSeal(ownership)
    return seal !== undefined && !seal.announced.has(adapter)
  }

  private issueGrant(request: RouteRequest, ownership: Ownership): Grant | undefined {
    const { endpoint, owner, epoch } = ownership
    const id = `${this.self}-ownerless-${++this.grantCounter}`
    const { adapter } = request
    const grant: Grant = { id, request: request.id, endpoint, adapter, owner, epoch }
    if (this.handleMemberEvent({ kind: "grant-arrived", grant }).kind !== "accepted")
      return undefined
    this.issuedGrants.add(id)
    this.runningCounts.set(endpoint, (this.runningCounts.get(endpoint) ?? 0) + 1)
    this.recorder.record({
      kind: "request-granted",
      request: request.id,
      endpoint,
      adapter,
      note: "without an owner",
    })
    return grant
  }

  private async readReport(endpoint: EndpointId): Promise<EngineReport | undefined> {
    const now = this.clock.now()
    const cached = this.reports.get(endpoint)
    if (cached && now - cached.readAt < REPORT_MAX_AGE_MS) return cached.report
    try {
      const report = await this.engines.get(endpoint)?.report()
      if (report) this.reports.set(endpoint, { report, readAt: now })
      return report
    } catch {
      return undefined
    }
  }

  /**
   * Requests a seal from the witnesses in order. One seal is enough, since an
   * eviction needs the acknowledgement of every witness.
   */
  private async getSeal(ownership: Ownership): Promise<EpochSeal | undefined> {
    const { endpoint, epoch, witnesses } = ownership
    const cached = this.seals.get(endpoint)
    const now = this.clock.now()
    if (cached?.epoch === epoch && now - cached.sealedAt < SEAL_MAX_AGE_MS) return cached
    for (const witness of witnesses) {
      const reply = await this.requestSeal(witness, endpoint, epoch)
      if (reply?.kind !== "sealed") continue
      const seal = {
        epoch,
        announced: new Set(reply.announced.map((eviction) => eviction.adapter)),
        sealedAt: now,
      }
      this.seals.set(endpoint, seal)
      return seal
    }
    return undefined
  }

  private async requestSeal(
    witness: Incarnation,
    endpoint: EndpointId,
    epoch: number,
  ): Promise<MemberReply | undefined> {
    if (witness === this.self)
      return this.handleMemberEvent({ kind: "seal-asked", endpoint, epoch })
    const address = this.documents.findMember(witness)?.peerAddress
    if (address === undefined) return undefined
    try {
      return await this.caller.sealEpoch(address, endpoint, epoch)
    } catch {
      return undefined
    }
  }
}
