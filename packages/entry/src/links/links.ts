import {
  type AdapterName,
  type AdapterVersion,
  type Clock,
  describeError,
  type EndpointId,
  type InstanceId,
} from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import type { EndpointUse } from "../generated/fleet.js"
import type { ToldOwners } from "../fleet/confirmations.js"
import type { Ownership } from "../fleet/ownership.js"
import type { LoadOptions, LoadOutcome, Owner } from "../owner/index.js"
import { Link, type LinkEvents } from "./client.js"
import { computeGatherMs } from "./pace.js"
import type { UseTable } from "./uses.js"

/** What the links need. */
export interface LinksParts {
  readonly self: InstanceId
  readonly ownership: Ownership
  readonly owner: Owner
  readonly uses: UseTable
  readonly events: LinkEvents
  readonly clock: Clock
  readonly log: Log
}

const TICK_MS = 250
const ANSWER_MARGIN_MS = 60

/**
 * Links to the instances that own engines, and the way to an engine's owner
 * whether it is this instance or another. Other instances are connected to
 * only while they have to be asked about an outage of the store.
 */
export class Links {
  private readonly byPeer = new Map<InstanceId, Link>()
  /** Connections to instances that own nothing, made for questions. */
  private readonly askedOnly = new Map<InstanceId, Link>()
  private readonly loading = new Map<string, Promise<LoadOutcome>>()
  private timer: NodeJS.Timeout | undefined
  private useTimer: NodeJS.Timeout | undefined

  constructor(private readonly parts: LinksParts) {
    parts.ownership.on("read", () => {
      this.update()
    })
  }

  /** Starts keeping the links open. */
  start(): void {
    this.timer = setInterval(() => {
      this.tick()
    }, TICK_MS)
    this.scheduleTelling()
  }

  /** Closes all links. */
  stop(): void {
    clearInterval(this.timer)
    clearTimeout(this.useTimer)
    for (const link of this.byPeer.values()) link.close()
    this.closeAskedOnly()
  }

  /** Tells whether an engine's owner can be asked for loads. */
  canLoad(endpoint: EndpointId): boolean {
    if (this.parts.owner.hasEngine(endpoint)) return true
    return this.findLink(endpoint)?.isAlive ?? false
  }

  /** Tells whether an instance was heard of lately. */
  isHeard(id: InstanceId): boolean {
    return this.byPeer.get(id)?.isAlive ?? false
  }

  /** Asks all other instances for the owner records that they have read. */
  async askOwners(): Promise<readonly ToldOwners[]> {
    const links = this.listAskable()
    const replies = await Promise.allSettled(links.map((link) => link.tellOwners()))
    return replies.flatMap((reply, index) => {
      if (reply.status === "rejected") {
        this.parts.log.info({ err: reply.reason as unknown }, "peer tells no owner records")
        return []
      }
      const { isKnown, ageMs, isStoreLost, owners } = reply.value
      const from = links[index]?.peer ?? ""
      const records = new Map(owners.map((owner) => [owner.endpoint, owner]))
      return isKnown ? [{ from, ageMs, isStoreLost, owners: records }] : []
    })
  }

  /** Asks an engine's owner to load an adapter. Callers of one process that want the same share one question. */
  load(
    endpoint: EndpointId,
    adapter: AdapterName,
    version: AdapterVersion | undefined,
    ask: LoadOptions,
  ): Promise<LoadOutcome> {
    const key = `${endpoint} ${adapter} ${version ?? 0}`
    const known = this.loading.get(key)
    if (known && !ask.wasMissing) return known
    const outcome = this.ask(endpoint, adapter, version, ask).finally(() => {
      if (this.loading.get(key) === outcome) this.loading.delete(key)
    })
    this.loading.set(key, outcome)
    return outcome
  }

  private async ask(
    endpoint: EndpointId,
    adapter: AdapterName,
    version: AdapterVersion | undefined,
    ask: LoadOptions,
  ): Promise<LoadOutcome> {
    const { owner } = this.parts
    if (owner.hasEngine(endpoint)) return owner.load(endpoint, adapter, version, ask)
    const link = this.findLink(endpoint)
    if (!link) return { kind: "refused", reason: "the engine's owner isn't known" }
    const waitMs = Math.round(ask.waitMs)
    const objectiveInMs = Math.round(ask.objectiveInMs)
    const request = { endpoint, adapter, version: version ?? 0, ...ask, waitMs, objectiveInMs }
    try {
      const reply = await link.load(request, waitMs + ANSWER_MARGIN_MS)
      return reply.isHeld
        ? { kind: "held", version: reply.version }
        : { kind: "refused", reason: reply.reason }
    } catch (error) {
      return { kind: "refused", reason: describeError(error) }
    }
  }

  private findLink(endpoint: EndpointId): Link | undefined {
    const owner = this.parts.ownership.findOwner(endpoint)
    return owner && this.byPeer.get(owner.id)
  }

  /** Links that are heard of, and connections to the instances that own nothing. */
  private listAskable(): readonly Link[] {
    const { self, ownership } = this.parts
    const others = [...ownership.instances.values()].filter(
      ({ id }) => id !== self && !this.byPeer.has(id),
    )
    for (const { id, peerAddress } of others)
      if (this.askedOnly.get(id)?.address !== peerAddress) {
        this.askedOnly.get(id)?.close()
        this.askedOnly.set(id, this.createLink(id, peerAddress))
      }
    const heard = [...this.byPeer.values()].filter(({ isAlive }) => isAlive)
    return [...heard, ...this.askedOnly.values()]
  }

  private closeAskedOnly(): void {
    for (const link of this.askedOnly.values()) link.close()
    this.askedOnly.clear()
  }

  /** Called when the store was read, so nobody has to be asked in its place. */
  private update(): void {
    const { ownership, self } = this.parts
    this.closeAskedOnly()
    const owners = ownership.listOwners()
    for (const { id, peerAddress } of owners.values()) {
      if (id === self || this.byPeer.get(id)?.address === peerAddress) continue
      this.byPeer.get(id)?.close()
      const link = this.createLink(id, peerAddress)
      this.byPeer.set(id, link)
      link.keepOpen()
    }
    for (const [id, link] of this.byPeer) {
      if (owners.has(id) || (!ownership.instances.has(id) && link.isAlive)) continue
      link.close()
      this.byPeer.delete(id)
    }
  }

  private createLink(id: InstanceId, address: string): Link {
    const { self, events, clock, log } = this.parts
    return new Link(self, id, address, events, clock, log)
  }

  private tick(): void {
    for (const link of this.byPeer.values()) link.keepOpen()
  }

  private scheduleTelling(): void {
    this.useTimer = setTimeout(() => {
      this.tellChanges()
      this.scheduleTelling()
    }, computeGatherMs(this.byPeer.size))
  }

  /** Tells each owner what has changed at its engines, in one message. */
  private tellChanges(): void {
    const { owner, self, uses } = this.parts
    const byLink = new Map<Link, EndpointUse[]>()
    for (const { endpoint, adapters } of uses.takeChanges()) {
      if (owner.hasEngine(endpoint)) {
        for (const { adapter, inFlight } of adapters) owner.onUse(endpoint, adapter, self, inFlight)
        continue
      }
      const link = this.findLink(endpoint)
      if (link) byLink.set(link, [...(byLink.get(link) ?? []), { endpoint, adapters }])
    }
    for (const [link, changes] of byLink) link.sendUses(changes)
  }
}
