import {
  type AdapterKey,
  type Clock,
  describeError,
  type EndpointId,
  type EndpointInfo,
  type EnginePort,
  type Grant,
  type Incarnation,
  type Millis,
} from "@galenaway/core"
import {
  canGrant,
  createOwner,
  type MemberEvent,
  type MemberReply,
  type Ownership,
  type OwnerEffect,
  type OwnerEvent,
  type OwnerState,
  updateOwner,
} from "@galenaway/coordination"
import type { Log, Recorder } from "@galenaway/observe"
import type { PeerCaller } from "../peer/client.js"
import type { Membership } from "./membership.js"
import type { LoadShares } from "./shares.js"

type EffectOf<K extends OwnerEffect["kind"]> = Extract<OwnerEffect, { kind: K }>
type RemoteMemberEvent = Extract<
  MemberEvent,
  { kind: "holdings-asked" | "eviction-announced" | "eviction-settled" | "witness-briefed" }
>

/**
 * An adapter name that no engine holds. An order for it only makes the engine
 * record the fencing number.
 */
const FENCING_PROBE_ADAPTER = "galenaway/fence@0" as AdapterKey

/** Maximum age of a load report. */
const MAX_REPORT_AGE_MS = 5000

/** Receives the changes of owned endpoints. */
export interface OwnedEndpointsListener {
  onActivated(endpoint: EndpointId, state: OwnerState): void
  onDeposed(endpoint: EndpointId): void
  onEvicted(endpoint: EndpointId, adapter: AdapterKey): void
  onEvictionBlocked(endpoint: EndpointId, adapter: AdapterKey): void
  onSuspectsChanged(endpoint: EndpointId, suspects: ReadonlySet<AdapterKey>): void
}

/**
 * Runs the owner's state transitions for each endpoint that this instance owns,
 * and executes their effects.
 */
export class OwnedEndpoints {
  private readonly states = new Map<EndpointId, OwnerState>()
  /**
   * Time of the last eviction order of each endpoint whose process has not been
   * confirmed since.
   */
  private readonly unconfirmedOrderAt = new Map<EndpointId, Millis>()
  private listener: OwnedEndpointsListener | undefined

  constructor(
    private readonly self: Incarnation,
    private readonly infos: ReadonlyMap<EndpointId, EndpointInfo>,
    private readonly engines: ReadonlyMap<EndpointId, EnginePort>,
    private readonly caller: PeerCaller,
    private readonly membership: Membership,
    private readonly handleLocalEvent: (event: MemberEvent) => MemberReply,
    private readonly shares: LoadShares,
    private readonly clock: Clock,
    private readonly recorder: Recorder,
    private readonly log: Log,
  ) {}

  /** Sets the listener. Must be called once, before the first ownership is handled. */
  setListener(listener: OwnedEndpointsListener): void {
    this.listener = listener
  }

  /** Lists the states of the endpoints that this instance owns and can issue grants for. */
  listActive(): readonly OwnerState[] {
    return [...this.states.values()].filter((state) => state.phase === "active")
  }

  /** Lists the current ownerships of this instance, active or not yet active. */
  listOwnerships(): readonly Ownership[] {
    return [...this.states.values()]
      .filter((state) => state.phase !== "deposed")
      .map((state) => state.ownership)
  }

  /** Returns the state of an endpoint that this instance owns or has owned, otherwise undefined. */
  get(endpoint: EndpointId): OwnerState | undefined {
    return this.states.get(endpoint)
  }

  /**
   * Applies the current ownership of an endpoint from its document, with the
   * document's members.
   */
  handleOwnership(ownership: Ownership, members: readonly Incarnation[]): void {
    const state = this.states.get(ownership.endpoint)
    if (ownership.owner === this.self && state?.ownership.epoch !== ownership.epoch)
      this.shares.handleOwnership(ownership)
    if (state && state.phase !== "deposed")
      this.apply(ownership.endpoint, { kind: "ownership-changed", ownership, members })
    else if (ownership.owner === this.self) this.startOwnership(ownership, members)
  }

  /** Resends unanswered messages, since messages can be lost. To be called periodically. */
  retryPending(): void {
    for (const [endpoint, state] of this.states)
      if (state.phase !== "deposed") this.apply(endpoint, { kind: "retry-due" })
  }

  /** Returns whether an order that this instance sent can still take effect. */
  hasPendingOrders(): boolean {
    return [...this.states.values()].some(
      (state) =>
        state.unresolved.size > 0 ||
        [...state.evictions.values()].some(({ step }) => step === "ordered"),
    )
  }

  /** Returns whether an adapter can be granted at an endpoint. */
  canGrant(endpoint: EndpointId, adapter: AdapterKey): boolean {
    const state = this.states.get(endpoint)
    return state !== undefined && canGrant(state, adapter)
  }

  /**
   * Handles a report of an unchanged endpoint process. The process is confirmed
   * only if the last order is at least {@link MAX_REPORT_AGE_MS} old, since the
   * report may have been created before a more recent order.
   */
  confirmProcess(endpoint: EndpointId, now: Millis): void {
    const orderedAt = this.unconfirmedOrderAt.get(endpoint)
    if (orderedAt === undefined || now - orderedAt < MAX_REPORT_AGE_MS) return
    this.unconfirmedOrderAt.delete(endpoint)
    this.apply(endpoint, { kind: "endpoint-confirmed" })
  }

  /** Applies an event and executes its effects. Has no effect for an endpoint without state. */
  apply(endpoint: EndpointId, event: OwnerEvent): void {
    const state = this.states.get(endpoint)
    if (!state) return
    const transaction = updateOwner(state, event)
    this.applyTransaction(endpoint, transaction.state, transaction.effects)
  }

  /**
   * Applies the end of an incarnation's process to every endpoint. Returns the
   * grants that it held.
   */
  handleMemberGone(member: Incarnation): readonly Grant[] {
    const freed: Grant[] = []
    for (const [endpoint, state] of this.states) {
      for (const { grant, holder } of state.grants.values())
        if (holder === member) freed.push(grant)
      this.apply(endpoint, { kind: "member-gone", member })
    }
    return freed
  }

  private startOwnership(ownership: Ownership, members: readonly Incarnation[]): void {
    const info = this.infos.get(ownership.endpoint)
    if (!info) return
    const { state, effects } = createOwner(ownership, info.fencing, members)
    this.recorder.record({
      kind: "ownership-gained",
      endpoint: ownership.endpoint,
      note: `epoch ${ownership.epoch}`,
    })
    this.applyTransaction(ownership.endpoint, state, effects)
  }

  private applyTransaction(
    endpoint: EndpointId,
    next: OwnerState,
    effects: readonly OwnerEffect[],
  ): void {
    this.states.set(endpoint, next)
    for (const effect of effects) this.runEffect(endpoint, next.ownership.epoch, effect)
  }

  private runEffect(endpoint: EndpointId, epoch: number, effect: OwnerEffect): void {
    switch (effect.kind) {
      case "ask-holdings":
        void this.requestHoldings(endpoint, effect.to, effect.epoch)
        return
      case "announce": {
        const { to, adapter } = effect
        this.recorder.record({ kind: "eviction-announced", endpoint, adapter, peer: to })
        void this.sendAnnouncement(endpoint, effect)
        return
      }
      case "settle":
        void this.sendToMember(effect.to, { ...effect, kind: "eviction-settled", endpoint })
        return
      case "brief-witness":
        void this.sendBriefing(endpoint, effect)
        return
      case "unload":
        void this.sendUnload(endpoint, effect)
        return
      case "fence":
        void this.sendFencingProbe(endpoint, effect.fencingNumber)
        return
      case "evicted":
        this.recorder.record({ kind: "eviction-done", endpoint, adapter: effect.adapter })
        this.listener?.onEvicted(endpoint, effect.adapter)
        return
      case "eviction-blocked":
        this.listener?.onEvictionBlocked(endpoint, effect.adapter)
        return
      case "suspects-changed":
        this.listener?.onSuspectsChanged(endpoint, effect.suspects)
        return
      case "renewal-wanted":
        this.membership.renewEpoch(endpoint)
        return
      case "predecessor-resolved":
        this.membership.resolvePredecessors([{ endpoint, epoch: effect.epoch }])
        return
      case "activated":
        this.activate(endpoint, epoch)
        return
      case "deposed":
        this.recorder.record({ kind: "ownership-lost", endpoint })
        this.log.info({ step: "grant", endpoint, epoch }, "ownership-lost")
        this.listener?.onDeposed(endpoint)
        return
    }
  }

  private activate(endpoint: EndpointId, epoch: number): void {
    const state = this.states.get(endpoint)
    if (!state) return
    this.log.info({ step: "grant", endpoint, epoch }, "ownership active")
    this.listener?.onActivated(endpoint, state)
  }

  private async requestHoldings(
    endpoint: EndpointId,
    to: Incarnation,
    epoch: number,
  ): Promise<void> {
    const reply = await this.sendToMember(to, { kind: "holdings-asked", endpoint, epoch })
    if (reply?.kind !== "holdings") return
    const ownership = this.states.get(endpoint)?.ownership
    if (ownership?.epoch === epoch) this.shares.handleHoldingsReply(ownership, to)
    const { grants, announced } = reply
    this.apply(endpoint, { kind: "holdings-reported", member: to, epoch, grants, announced })
  }

  private async sendAnnouncement(
    endpoint: EndpointId,
    effect: EffectOf<"announce">,
  ): Promise<void> {
    const { to, adapter, epoch, announcement } = effect
    const event = { kind: "eviction-announced", endpoint, adapter, epoch, announcement } as const
    const reply = await this.sendToMember(to, event)
    if (reply?.kind === "accepted")
      this.apply(endpoint, { kind: "acknowledged", witness: to, adapter, epoch, announcement })
    if (reply?.kind !== "refused") return
    const { minimumEpoch } = reply
    this.apply(endpoint, { ...event, kind: "announcement-refused", minimumEpoch })
  }

  private async sendBriefing(
    endpoint: EndpointId,
    effect: EffectOf<"brief-witness">,
  ): Promise<void> {
    const { to, epoch } = effect
    const reply = await this.sendToMember(to, { ...effect, kind: "witness-briefed", endpoint })
    if (reply?.kind === "accepted")
      this.apply(endpoint, { kind: "witness-briefed", witness: to, epoch })
  }

  private async sendUnload(endpoint: EndpointId, effect: EffectOf<"unload">): Promise<void> {
    const { adapter, announcement, fencingNumber } = effect
    this.recorder.record({ kind: "eviction-ordered", endpoint, adapter })
    this.unconfirmedOrderAt.set(endpoint, this.clock.now())
    const result = await this.engines.get(endpoint)?.unload({ adapter, fencingNumber })
    this.apply(endpoint, {
      kind: "unload-answered",
      adapter,
      announcement,
      result: result ?? "rejected",
    })
  }

  private async sendFencingProbe(endpoint: EndpointId, fencingNumber: number): Promise<void> {
    const order = { adapter: FENCING_PROBE_ADAPTER, fencingNumber }
    const result = await this.engines.get(endpoint)?.unload(order)
    if (result) this.apply(endpoint, { kind: "fence-answered", fencingNumber, result })
  }

  /**
   * Sends an event to a member, including this instance. Returns undefined if
   * the member didn't answer.
   */
  private async sendToMember(
    to: Incarnation,
    event: RemoteMemberEvent,
  ): Promise<MemberReply | undefined> {
    if (to === this.self) return this.handleLocalEvent(event)
    const member = this.membership.listMembers().find((each) => each.incarnation === to)
    if (!member) return undefined
    try {
      return await this.sendToPeer(member.peerAddress, event)
    } catch (error) {
      this.log.debug({ step: "peer", peer: to, error: describeError(error) }, event.kind)
      return undefined
    }
  }

  private sendToPeer(address: string, event: RemoteMemberEvent): Promise<MemberReply> {
    const { endpoint } = event
    switch (event.kind) {
      case "holdings-asked":
        return this.caller.requestHoldings(address, endpoint, event.epoch)
      case "eviction-announced":
        return this.caller.announceEviction(address, endpoint, event)
      case "eviction-settled":
        return this.caller.settleEviction(address, endpoint, event)
      case "witness-briefed":
        return this.caller.sendBriefing(address, { ...event, adapters: [...event.adapters] })
    }
  }
}
