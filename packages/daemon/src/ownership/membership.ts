import { waitFor } from "@galenaway/core"
import type {
  Clock,
  DataCentre,
  EndpointId,
  EndpointInfo,
  Incarnation,
  InstanceId,
  PlatformListEntry,
  Millis,
} from "@galenaway/core"
import type { Member, OwnershipDocument, ResolvedPredecessor } from "@galenaway/coordination"
import type { Log, Recorder } from "@galenaway/observe"
import { probeProcess } from "../peer/probe.js"
import type { OwnershipDocuments } from "./documents.js"
import type { PeerTable } from "./peers.js"
import { type ReconcileInput, reconcileDocument } from "./reconcile.js"

/**
 * Time for which a data centre may have neither owners nor live members before
 * members of other data centres are assigned its endpoints.
 */
const TAKEOVER_GRACE_MS = 3000
const CHECK_INTERVAL_MS = 250
const MAX_EDIT_JITTER_MS = 100
/** Maximum time for which an order can be in flight to an endpoint after its sender has ended. */
const ORDER_LIFETIME_MS = 5000

/** The fields of this instance's own entry in the ownership documents. */
export interface InstanceIdentity {
  readonly incarnation: Incarnation
  readonly instance: InstanceId
  readonly dataCentre: DataCentre
  readonly peerAddress: string
}

/**
 * Reconciles the ownership documents with the state that this instance
 * observes: members that have ended, are silent or are leaving. A document is
 * written only if it has to change.
 */
export class Membership {
  private phase: "live" | "drained" | "leaving" | "left" = "live"
  private readonly noLiveMemberSince = new Map<DataCentre, Millis>()
  private readonly ordersExpiredListeners: ((incarnation: Incarnation) => void)[] = []
  /**
   * Incarnations that ended more than {@link ORDER_LIFETIME_MS} ago, so that
   * none of their orders is in flight.
   */
  private readonly expired = new Set<Incarnation>()
  private readonly processEndedListeners: ((incarnation: Incarnation) => void)[] = []
  /** Endpoints that need a new epoch, with the epoch to be replaced. */
  private readonly renewals = new Map<EndpointId, number>()
  private resolutions: readonly ResolvedPredecessor[] = []
  private readonly stopped = new AbortController()
  private readonly probing = new Set<Incarnation>()
  private readonly editing = new Set<DataCentre>()

  constructor(
    private readonly self: InstanceIdentity,
    private readonly endpoints: readonly EndpointInfo[],
    private readonly documents: OwnershipDocuments,
    private readonly peers: PeerTable,
    private readonly clock: Clock,
    private readonly recorder: Recorder,
    private readonly log: Log,
  ) {}

  /**
   * Registers a listener that is called with each incarnation whose process has
   * ended, {@link ORDER_LIFETIME_MS} later, when none of its orders can be in flight.
   */
  onOrdersExpired(listener: (incarnation: Incarnation) => void): void {
    this.ordersExpiredListeners.push(listener)
  }

  /** Joins the fleet and starts to reconcile the documents. */
  start(): void {
    this.documents.onChange((document) => {
      this.handleDocument(document)
    })
    void this.runChecks()
  }

  /**
   * Transfers all endpoints to other members. Resolves when the documents show
   * this instance as leaving, or after `limitMs`.
   */
  async leave(limitMs: Millis): Promise<void> {
    this.phase = "leaving"
    await this.editAllDocuments(AbortSignal.timeout(limitMs))
  }

  /**
   * Removes this instance from the documents and stops the reconciliation.
   * Attempts the removal for at most `limitMs`. The caller must have released
   * every grant that this instance holds.
   */
  async removeSelf(limitMs: Millis): Promise<void> {
    this.phase = "left"
    await this.editAllDocuments(AbortSignal.timeout(limitMs))
    this.stopped.abort()
  }

  /**
   * Transfers the endpoints to other members while operators drain this instance,
   * and makes it eligible for endpoints again afterwards. Has no effect after
   * {@link leave}.
   */
  setDrained(isDrained: boolean): void {
    if (this.phase !== "live" && this.phase !== "drained") return
    this.phase = isDrained ? "drained" : "live"
    this.reconcileAll()
  }

  /**
   * Registers a listener that is called as soon as an incarnation's process is
   * detected to have ended.
   */
  onProcessEnded(listener: (incarnation: Incarnation) => void): void {
    this.processEndedListeners.push(listener)
  }

  /** Probes the process at an address to which a call failed, to detect its end without delay. */
  handleFailedCall(address: string): void {
    for (const { incarnation, peerAddress } of this.listMembers())
      if (peerAddress === address && !this.peers.isGone(incarnation))
        void this.probe(incarnation, address)
  }

  /** Records that an incarnation's process has ended, and notifies the listeners. */
  handleGone(incarnation: Incarnation): void {
    if (this.peers.isGone(incarnation)) return
    this.peers.setGone(incarnation)
    for (const listener of this.processEndedListeners) listener(incarnation)
    this.recorder.record({ kind: "member-gone", peer: incarnation })
    this.log.info({ step: "peer", peer: incarnation }, "member-gone")
    this.reconcileAll()
    setTimeout(() => {
      this.expired.add(incarnation)
      for (const listener of this.ordersExpiredListeners) listener(incarnation)
      this.reconcileAll()
    }, ORDER_LIFETIME_MS).unref()
  }

  /** Schedules a new epoch of an endpoint. Has no effect if the endpoint has no owner. */
  renewEpoch(endpoint: EndpointId): void {
    const epoch = this.documents.findOwnership(endpoint)?.epoch
    if (epoch === undefined) return
    this.renewals.set(endpoint, epoch)
    this.reconcileAll()
  }

  /** Removes predecessors from the document whose grants and orders are resolved. */
  resolvePredecessors(resolutions: readonly ResolvedPredecessor[]): void {
    this.resolutions = [...this.resolutions, ...resolutions]
    this.reconcileAll()
  }

  /** Applies the platform's listings. An instance with the phase `gone` has ended permanently. */
  handleListings(listings: readonly PlatformListEntry[]): void {
    for (const { id, phase } of listings) {
      if (phase !== "gone" || id === this.self.instance) continue
      for (const member of this.listMembers())
        if (member.instance === id) this.handleGone(member.incarnation)
    }
  }

  /** Lists the members of all documents without duplicates. */
  listMembers(): readonly Member[] {
    const members = new Map<Incarnation, Member>()
    for (const document of this.documents.list())
      for (const member of document.members) members.set(member.incarnation, member)
    return [...members.values()]
  }

  private handleDocument(document: OwnershipDocument): void {
    for (const member of document.members) {
      if (member.incarnation === this.self.incarnation) continue
      // Only one process can listen on an address, so another incarnation at this
      // instance's own address has ended.
      if (member.peerAddress === this.self.peerAddress) {
        this.handleGone(member.incarnation)
        continue
      }
      this.peers.add(member.peerAddress, member.dataCentre)
      const isWronglySuspected =
        member.phase === "suspect" && this.peers.isResponsive(member.incarnation)
      if (isWronglySuspected) this.peers.extendSuspicionTimeout(member.incarnation)
    }
    this.removeAppliedResolutions(document)
    this.reconcile(document.dataCentre)
  }

  /** Removes the pending resolutions that the document already reflects. */
  private removeAppliedResolutions(document: OwnershipDocument): void {
    this.resolutions = this.resolutions.filter(({ endpoint, epoch }) => {
      const ownership = document.ownerships.find((each) => each.endpoint === endpoint)
      return !ownership || ownership.predecessors.some((each) => each.epoch === epoch)
    })
  }

  private async runChecks(): Promise<void> {
    const { signal } = this.stopped
    while (!signal.aborted) {
      this.probeUnansweredMembers()
      this.reconcileAll()
      await waitFor(CHECK_INTERVAL_MS, signal)
    }
  }

  /** Probes each member that didn't answer its last call or isn't in the peer table, to detect whether its process still listens. */
  private probeUnansweredMembers(): void {
    for (const member of this.listMembers()) {
      const { incarnation, peerAddress } = member
      if (incarnation === this.self.incarnation || this.probing.has(incarnation)) continue
      if (this.peers.isGone(incarnation)) continue
      const row = this.peers.list().find((each) => each.address === peerAddress)
      if (row && row.unansweredSince === undefined) continue
      void this.probe(incarnation, peerAddress)
    }
  }

  private async probe(incarnation: Incarnation, address: string): Promise<void> {
    if (this.probing.has(incarnation)) return
    this.probing.add(incarnation)
    const result = await probeProcess(address)
    this.probing.delete(incarnation)
    if (result === "gone") this.handleGone(incarnation)
  }

  private reconcileAll(): void {
    for (const dataCentre of this.documents.dataCentres) this.reconcile(dataCentre)
  }

  /**
   * Schedules an edit if a document has to change. At most one edit of a
   * document runs at a time.
   */
  private reconcile(dataCentre: DataCentre): void {
    if (this.phase === "left" || this.editing.has(dataCentre)) return
    const document = this.documents.get(dataCentre)
    const input = this.createReconcileInput(dataCentre)
    if (document && reconcileDocument(document, input) === document) return
    this.editing.add(dataCentre)
    void this.scheduleEdit(dataCentre)
  }

  private async scheduleEdit(dataCentre: DataCentre): Promise<void> {
    // Several instances detect an ended process at the same time. The jitter lets
    // one of them write the change before the others attempt it.
    await waitFor(Math.random() * MAX_EDIT_JITTER_MS, this.stopped.signal)
    await this.editDocument(dataCentre, this.stopped.signal)
    this.editing.delete(dataCentre)
  }

  private async editAllDocuments(signal: AbortSignal): Promise<void> {
    await Promise.all(this.documents.dataCentres.map((each) => this.editDocument(each, signal)))
  }

  private editDocument(dataCentre: DataCentre, signal: AbortSignal): Promise<boolean> {
    return this.documents.edit(
      dataCentre,
      (document) => reconcileDocument(document, this.createReconcileInput(dataCentre)),
      signal,
    )
  }

  private createReconcileInput(dataCentre: DataCentre): ReconcileInput {
    return {
      self: this.createSelfMember(),
      selfIncarnation: this.self.incarnation,
      endpoints: this.listEndpoints(dataCentre),
      renewals: this.listRenewals(),
      resolutions: this.resolutions,
      canRemove: (member) => this.canRemoveMember(member),
      isSuspect: (member) => this.isMemberSuspect(member, dataCentre),
      canTakeOver: (each) => this.canTakeOver(each),
    }
  }

  private createSelfMember(): Member | undefined {
    switch (this.phase) {
      case "live":
        return { ...this.self, phase: "live" }
      case "drained":
      case "leaving":
        return { ...this.self, phase: "leaving" }
      case "left":
        return undefined
    }
  }

  private listRenewals(): ReadonlySet<EndpointId> {
    for (const [endpoint, epoch] of this.renewals)
      if (this.documents.findOwnership(endpoint)?.epoch !== epoch) this.renewals.delete(endpoint)
    return new Set(this.renewals.keys())
  }

  private listEndpoints(dataCentre: DataCentre): EndpointId[] {
    return this.endpoints
      .filter((endpoint) => endpoint.dataCentre === dataCentre && endpoint.kind === "engine")
      .map((endpoint) => endpoint.id)
  }

  private canRemoveMember(member: Member): boolean {
    return this.expired.has(member.incarnation)
  }

  /**
   * Returns whether a member should be marked as suspect. Instances of the
   * document's data centre check all members. Instances of other data centres
   * check only the last live member of the document's data centre.
   */
  private isMemberSuspect(member: Member, dataCentre: DataCentre): boolean {
    if (this.peers.isGone(member.incarnation)) return true
    const row = this.peers.list().find((each) => each.address === member.peerAddress)
    if (!row || !this.peers.isSilent(row)) return false
    if (this.self.dataCentre === dataCentre) return true
    if (member.dataCentre !== dataCentre) return false
    const document = this.documents.get(dataCentre)
    const others = document?.members.filter(
      (each) =>
        each.dataCentre === dataCentre &&
        each.phase === "live" &&
        each.incarnation !== member.incarnation,
    )
    return (others ?? []).length === 0
  }

  private canTakeOver(dataCentre: DataCentre): boolean {
    if (dataCentre === this.self.dataCentre) return true
    const document = this.documents.get(dataCentre)
    const isLocal = (member: Member) => member.dataCentre === dataCentre
    if (document?.members.some((member) => isLocal(member) && member.phase === "live") === true) {
      this.noLiveMemberSince.delete(dataCentre)
      return false
    }
    // Owners that have ended or are leaving are replaced at once. The grace period
    // applies only to a data centre that is starting and has had no owners.
    if (document && document.ownerships.length > 0) return true
    const now = this.clock.now()
    const since = this.noLiveMemberSince.get(dataCentre) ?? now
    this.noLiveMemberSince.set(dataCentre, since)
    return now - since >= TAKEOVER_GRACE_MS
  }
}
