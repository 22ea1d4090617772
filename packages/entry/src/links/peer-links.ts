import {
  type AdapterName,
  type AdapterVersion,
  type Clock,
  describeError,
  type EndpointId,
  type InstanceId,
  type Millis,
} from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import { hashText } from "@galenaway/policy"
import type { SpeedSample } from "@galenaway/routing"
import type { EndpointUse, LeavingEndpoint, QuotaReport } from "../generated/fleet.js"
import type { OwnerReport } from "../fleet/ownership-confirmer.js"
import type { Ownership } from "../fleet/ownership.js"
import type {
  AdmissionOptions,
  AdmissionOutcome,
  LoadOptions,
  LoadOutcome,
  Owner,
} from "../owner/index.js"
import type { PartReport } from "../quarantine/index.js"
import { buildAdmitRequest, buildLoadRequest } from "./owner-requests.js"
import { PeerLink, type PeerLinkHandlers } from "./peer-link.js"
import { computeBatchIntervalMs } from "./batch-interval.js"
import type { AdapterUseTable } from "./adapter-use-table.js"

/** The dependencies of {@link PeerLinks}. */
export interface PeerLinksDependencies {
  readonly self: InstanceId
  readonly ownership: Ownership
  readonly owner: Owner
  readonly uses: AdapterUseTable
  /** Counts the requests that this instance has on an endpoint. */
  countRunning(endpoint: EndpointId): number
  /** Returns the last pace that an endpoint reported to an instance, in percent of the usual time; undefined if it reports none. */
  getLastPace(endpoint: EndpointId): { readonly percent: number; readonly at: Millis } | undefined
  /** Returns what this instance has seen of an engine's speed since the last call. */
  takeSpeedSample(endpoint: EndpointId): SpeedSample | undefined
  /** Called with the samples of this instance's own engines. */
  onOwnSpeedSample(endpoint: EndpointId, sample: SpeedSample): void
  readonly handlers: PeerLinkHandlers
  readonly clock: Clock
  readonly log: Log
}

interface PendingLoad {
  readonly outcome: Promise<LoadOutcome>
  readonly priority: number
  /** Time after which the owner refuses the request. */
  readonly expiresAt: Millis
}

/** A request shares the message of another one that waits for at least this share of its own time. */
const SHARED_WAIT_SHARE = 0.5
const TICK_MS = 250
const PERCENT = 100
/** More than one, so that the evidence outlives an owner. */
const COLLECTOR_COUNT = 3
/** Added to the wait for a load, as time for the message and its answer. */
const ANSWER_MARGIN_MS = 60

/** A peer that left a request for admission unanswered gets no other one for this time. */
const UNANSWERED_PAUSE_MS = 1000

/**
 * The links to the instances that own engines. Loads are sent to the owner of
 * an engine, whether that is this instance or a peer. Instances that own no
 * engine are connected only for queries during an outage of the store.
 */
export class PeerLinks {
  private readonly linksByPeer = new Map<InstanceId, PeerLink>()
  /** Connections to instances that own no engine, opened for queries during an outage of the store. */
  private readonly queryLinks = new Map<InstanceId, PeerLink>()
  /** Peers that left a request for admission unanswered, and until when they get no other one. */
  private readonly unansweredUntil = new WeakMap<PeerLink, Millis>()
  private readonly loading = new Map<string, PendingLoad>()
  private timer: NodeJS.Timeout | undefined
  private useTimer: NodeJS.Timeout | undefined

  constructor(private readonly deps: PeerLinksDependencies) {
    deps.ownership.on("read", () => {
      this.update()
    })
  }

  /** Starts maintaining the links and sending use counts. */
  start(): void {
    this.timer = setInterval(() => {
      this.tick()
    }, TICK_MS)
    this.scheduleUseUpdates()
  }

  /** Closes all links. */
  stop(): void {
    clearInterval(this.timer)
    clearTimeout(this.useTimer)
    for (const link of this.linksByPeer.values()) link.close()
    this.closeQueryLinks()
  }

  /** Time between two reports of use counts. It is about the same for all instances, which have the same owners. */
  get reportIntervalMs(): Millis {
    return computeBatchIntervalMs(this.linksByPeer.size)
  }

  /** Returns whether the owner of an engine accepts load requests: it is this instance or a live peer. */
  canLoad(endpoint: EndpointId): boolean {
    if (this.deps.owner.hasEngine(endpoint)) return true
    return this.findLink(endpoint)?.isAlive ?? false
  }

  /** Sends what this instance has seen of prompt parts to the instances that collect it. */
  sendReport(report: PartReport): void {
    for (const id of this.listCollectors()) this.linksByPeer.get(id)?.sendReport(report)
  }

  /** Sends endpoints that are leaving to the instances that collect reports. */
  sendLeaving(leaving: readonly LeavingEndpoint[]): void {
    for (const id of this.listCollectors()) this.linksByPeer.get(id)?.sendLeaving(leaving)
  }

  /** Sends a report about quotas to the instance that allocates them. Does nothing without a connection. */
  sendQuotaReport(allocator: InstanceId, report: QuotaReport): void {
    this.linksByPeer.get(allocator)?.sendQuotaReport(report)
  }

  /** Sends all owners whether this instance delays its answers. */
  sendSlowness(): void {
    for (const link of this.linksByPeer.values()) link.sendSlowness()
  }

  /** Returns whether this instance is one of those that collect reports. */
  isCollector(): boolean {
    return this.listCollectors().includes(this.deps.self)
  }

  /** Returns whether this instance is the first of those that collect what is seen of prompt parts. */
  isFirstCollector(): boolean {
    return this.listCollectors()[0] === this.deps.self
  }

  /** Lists the owners that collect reports: the first reachable ones in an order that all instances compute. */
  private listCollectors(): readonly InstanceId[] {
    const { self, ownership } = this.deps
    return [...ownership.listOwners().keys()]
      .filter((id) => id === self || this.isAlive(id))
      .sort((a, b) => hashText(a) - hashText(b))
      .slice(0, COLLECTOR_COUNT)
  }

  /** Returns whether an instance has sent an update recently. */
  isAlive(id: InstanceId): boolean {
    return this.linksByPeer.get(id)?.isAlive ?? false
  }

  /** Fetches the owner records that the other instances have read. Instances that fail or have none are omitted; never rejects. */
  async fetchOwnerReports(): Promise<readonly OwnerReport[]> {
    const links = this.listQueryable()
    const replies = await Promise.allSettled(links.map((link) => link.fetchOwners()))
    return replies.flatMap((reply, index) => {
      if (reply.status === "rejected") {
        this.deps.log.info(
          { err: reply.reason as unknown },
          "fetching owner records from a peer failed",
        )
        return []
      }
      const { isKnown, ageMs, isStoreLost, era, owners } = reply.value
      const from = links[index]?.peer ?? ""
      // Peers report no restored records.
      const records = new Map(
        owners.map((owner) => [owner.endpoint, { ...owner, isRestored: false }]),
      )
      return isKnown ? [{ from, ageMs, isStoreLost, era, owners: records }] : []
    })
  }

  /** Sends a load request to an engine's owner, which may be this instance. Concurrent requests for the same load share one message unless the later one is more urgent or can wait much longer; never rejects. */
  load(
    endpoint: EndpointId,
    adapter: AdapterName,
    version: AdapterVersion | undefined,
    options: LoadOptions,
  ): Promise<LoadOutcome> {
    const key = `${endpoint} ${adapter} ${version ?? 0}`
    const now = this.deps.clock.now()
    const pending = this.loading.get(key)
    if (pending && canShareLoad(pending, options, now)) return pending.outcome
    const outcome = this.sendLoad(endpoint, adapter, version, options).finally(() => {
      if (this.loading.get(key)?.outcome === outcome) this.loading.delete(key)
    })
    this.loading.set(key, { outcome, priority: options.priority, expiresAt: now + options.waitMs })
    return outcome
  }

  /** Waits until an engine may read a prompt, as its owner decides. Resolves as unavailable if the owner doesn't answer; never rejects. */
  async admit(
    endpoint: EndpointId,
    options: AdmissionOptions,
    signal: AbortSignal,
  ): Promise<AdmissionOutcome> {
    const { owner, clock } = this.deps
    if (owner.hasEngine(endpoint)) return owner.admit(endpoint, this.deps.self, options, signal)
    const link = this.findLink(endpoint)
    if (!link?.isAlive || (this.unansweredUntil.get(link) ?? 0) > clock.now())
      return { kind: "unavailable" }
    try {
      const reply = await link.admit(
        buildAdmitRequest(endpoint, this.deps.self, options),
        options.waitMs + ANSWER_MARGIN_MS,
        signal,
      )
      const { isGranted, isUnavailable, unreadTokens, waitMs } = reply
      if (isUnavailable) return { kind: "unavailable" }
      if (!isGranted) return { kind: "refused", waitMs }
      return { kind: "granted", ...(unreadTokens > 0 && { unreadTokens }) }
    } catch (error) {
      if (signal.aborted) return { kind: "refused", waitMs: 0 }
      this.unansweredUntil.set(link, clock.now() + UNANSWERED_PAUSE_MS)
      this.deps.log.info({ peer: link.peer, err: error }, "asking a peer for admission failed")
      return { kind: "unavailable" }
    }
  }

  private async sendLoad(
    endpoint: EndpointId,
    adapter: AdapterName,
    version: AdapterVersion | undefined,
    options: LoadOptions,
  ): Promise<LoadOutcome> {
    const { owner } = this.deps
    if (owner.hasEngine(endpoint)) return owner.load(endpoint, adapter, version, options)
    const link = this.findLink(endpoint)
    if (!link) return { kind: "refused", reason: "the engine's owner isn't known" }
    const request = buildLoadRequest(endpoint, adapter, version, options)
    try {
      const reply = await link.load(request, request.waitMs + ANSWER_MARGIN_MS)
      return reply.isHeld
        ? { kind: "held", version: reply.version }
        : { kind: "refused", reason: reply.reason }
    } catch (error) {
      return { kind: "refused", reason: describeError(error) }
    }
  }

  private findLink(endpoint: EndpointId): PeerLink | undefined {
    const owner = this.deps.ownership.findOwner(endpoint)
    return owner && this.linksByPeer.get(owner.id)
  }

  /** Lists the links to live owners and connections to the instances that own no engine, which it opens if needed. */
  private listQueryable(): readonly PeerLink[] {
    const { self, ownership } = this.deps
    const others = [...ownership.instances.values()].filter(
      ({ id }) => id !== self && !this.linksByPeer.has(id),
    )
    for (const { id, peerAddress } of others)
      if (this.queryLinks.get(id)?.address !== peerAddress) {
        this.queryLinks.get(id)?.close()
        this.queryLinks.set(id, this.createLink(id, peerAddress))
      }
    const live = [...this.linksByPeer.values()].filter(({ isAlive }) => isAlive)
    return [...live, ...this.queryLinks.values()]
  }

  private closeQueryLinks(): void {
    for (const link of this.queryLinks.values()) link.close()
    this.queryLinks.clear()
  }

  /** Updates the links after a read of the store. Queries to peers are then no longer needed. */
  private update(): void {
    const { ownership, self } = this.deps
    this.closeQueryLinks()
    const owners = ownership.listOwners()
    for (const { id, peerAddress } of owners.values()) {
      if (id === self || this.linksByPeer.get(id)?.address === peerAddress) continue
      this.linksByPeer.get(id)?.close()
      const link = this.createLink(id, peerAddress)
      this.linksByPeer.set(id, link)
      link.openIfNeeded()
    }
    for (const [id, link] of this.linksByPeer) {
      if (owners.has(id) || (!ownership.instances.has(id) && link.isAlive)) continue
      link.close()
      this.linksByPeer.delete(id)
    }
  }

  private createLink(id: InstanceId, address: string): PeerLink {
    const { self, handlers, clock, log } = this.deps
    return new PeerLink(self, id, address, handlers, clock, log)
  }

  private tick(): void {
    for (const link of this.linksByPeer.values()) link.openIfNeeded()
  }

  private scheduleUseUpdates(): void {
    this.useTimer = setTimeout(() => {
      this.sendUseUpdates()
      this.scheduleUseUpdates()
    }, this.reportIntervalMs)
  }

  /** Sends each owner the changed use counts of its engines in one message. */
  private sendUseUpdates(): void {
    const { owner, self, uses } = this.deps
    const byLink = new Map<PeerLink, EndpointUse[]>()
    for (const { endpoint, adapters } of uses.takeChanges()) {
      const running = this.deps.countRunning(endpoint)
      const sample = this.deps.takeSpeedSample(endpoint)
      if (owner.hasEngine(endpoint)) {
        if (sample) this.deps.onOwnSpeedSample(endpoint, sample)
        owner.onRunning(endpoint, self, running)
        for (const { adapter, inFlight } of adapters) owner.onUse(endpoint, adapter, self, inFlight)
        continue
      }
      const link = this.findLink(endpoint)
      if (!link) continue
      const pace = this.buildPace(endpoint)
      const use = { endpoint, adapters, running, ...pace, ...formatSample(sample) }
      byLink.set(link, [...(byLink.get(link) ?? []), use])
    }
    for (const [link, changes] of byLink) link.sendUses(changes)
  }

  private buildPace(endpoint: EndpointId): Pick<EndpointUse, "pacePercent" | "paceAgeMs"> {
    const pace = this.deps.getLastPace(endpoint)
    if (!pace) return { pacePercent: 0, paceAgeMs: 0 }
    const ageMs = Math.max(0, this.deps.clock.now() - pace.at)
    return { pacePercent: Math.round(pace.percent), paceAgeMs: Math.round(ageMs) }
  }
}

function formatSample(
  sample: SpeedSample | undefined,
): Pick<EndpointUse, "slowdownPercent" | "slowdownCount"> {
  const { slowdown, count } = sample ?? { slowdown: 0, count: 0 }
  return { slowdownPercent: Math.round(slowdown * PERCENT), slowdownCount: count }
}

function canShareLoad(
  { priority, expiresAt }: PendingLoad,
  options: LoadOptions,
  now: Millis,
): boolean {
  const isAsUrgent = priority <= options.priority
  return !options.wasMissing && isAsUrgent && expiresAt - now >= SHARED_WAIT_SHARE * options.waitMs
}
