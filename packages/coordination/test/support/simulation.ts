import type { Fencing, Grant } from "@galenaway/core"
import {
  addMember,
  createDocument,
  createMember,
  planOwnership,
  removeMember,
  removePredecessors,
  setMemberPhase,
  type MemberEvent,
  type MemberState,
  type OwnerEffect,
  type OwnerEvent,
  type OwnerState,
  type OwnerTransaction,
  type OwnershipDocument,
  type ResolvedPredecessor,
} from "@galenaway/coordination"
import { SimulatedEndpoint } from "./endpoint.js"
import {
  createReplyEvent,
  createMessage,
  describeMessage,
  isDeliveredOnce,
  isUnsentUnload,
  type Message,
} from "./messages.js"
import { ENDPOINT, PROTOCOL, X, type Protocol, type SimulationStep } from "./protocol.js"

interface SimulatedInstance {
  readonly member: MemberState
  readonly owner?: OwnerState
  readonly isGone: boolean
  readonly knownRestartCount: number
}

/**
 * Simulates a few instances, one endpoint and the messages between them. Their
 * state changes by the transactions of a {@link Protocol}. `violations` counts
 * evictions of an adapter for which an instance holds a grant.
 */
export class Simulation {
  document: OwnershipDocument
  readonly instances = new Map<string, SimulatedInstance>()
  messages: Message[] = []
  violations = 0
  evictions = 0
  uses = 0
  private readonly endpoint: SimulatedEndpoint
  private grantCount = 0
  private resolutions: ResolvedPredecessor[] = []

  constructor(
    names: readonly string[],
    private readonly fencing: Fencing,
    private readonly protocol: Protocol = PROTOCOL,
  ) {
    this.document = createDocument("dc-1")
    this.endpoint = new SimulatedEndpoint(fencing)
    for (const name of names) this.join(name)
    for (const name of names) this.readDocument(name)
    while (this.messages.length > 0) this.run({ kind: "deliver", message: 0 })
  }

  get owner(): string {
    return this.document.ownerships[0]?.owner ?? ""
  }

  /** Delivers all messages whose label starts with `label`, including those sent meanwhile. */
  deliverAll(label: string): void {
    while (this.findMessage(label)) this.deliver(label, true)
  }

  /** Runs one step. The instance name "owner" selects the document's current owner. */
  run(step: SimulationStep): void {
    switch (step.kind) {
      case "deliver":
        this.deliver(step.message, true)
        break
      case "repeat":
        this.deliver(step.message, false)
        break
      case "lose":
        this.removeMessage(this.findMessage(step.message))
        break
      case "restart":
        this.restartEndpoint()
        break
      case "renew":
        this.plan(this.document, new Set([ENDPOINT]))
        break
      case "resolve":
        this.document = removePredecessors(this.document, this.resolutions, "writer")
        break
      default:
        this.runInstanceStep(step.kind, step.instance === "owner" ? this.owner : step.instance)
    }
  }

  private runInstanceStep(
    kind: Extract<SimulationStep, { instance: string }>["kind"],
    name: string,
  ): void {
    if (kind === "join") this.join(name)
    else if (this.instances.get(name)?.isGone === false) this.applyInstanceStep(kind, name)
  }

  private applyInstanceStep(
    kind: Exclude<Extract<SimulationStep, { instance: string }>["kind"], "join">,
    name: string,
  ): void {
    const { owner, member } = this.getInstance(name)
    switch (kind) {
      case "grant":
        for (const [holder] of this.instances) this.grant(name, holder)
        return
      case "load":
        if (owner && this.protocol.canGrant(owner, X)) this.endpoint.load(owner.ownership.epoch)
        return
      case "evict":
        this.updateOwner(name, { kind: "eviction-wanted", adapter: X })
        break
      case "end":
        this.returnGrant(name, member)
        break
      case "read":
        this.readDocument(name)
        break
      case "retry":
        this.updateOwner(name, { kind: "retry-due" })
        break
      case "time-out":
        this.applyTimeout(name)
        break
      case "report":
        this.applyEndpointReport(name)
        break
      case "seal":
        this.requestSeal(name)
        break
      case "suspect":
      case "recover":
        this.plan(
          setMemberPhase(this.document, name, kind === "suspect" ? "suspect" : "live", "writer"),
        )
        break
      case "lose-member":
        this.stopMember(name)
        break
    }
  }

  private getInstance(name: string): SimulatedInstance {
    const instance = this.instances.get(name)
    if (!instance) throw new Error(`no instance ${name}`)
    return instance
  }

  /**
   * Adds a member. It reads the document that it has joined before it sends or
   * receives anything.
   */
  private join(name: string): void {
    if (this.instances.has(name)) return
    const entry = { incarnation: name, instance: name, dataCentre: "dc-1", peerAddress: name }
    this.instances.set(name, {
      member: createMember(name),
      isGone: false,
      knownRestartCount: this.endpoint.restartCount,
    })
    this.plan(addMember(this.document, { ...entry, phase: "live" }))
    this.readDocument(name)
  }

  private plan(document: OwnershipDocument, renewals = new Set<string>()): void {
    this.document = planOwnership(document, [ENDPOINT], "writer", renewals)
  }

  /** Finds a message by its index, modulo the number of messages, or by the start of its label. */
  private findMessage(key: number | string): Message | undefined {
    if (typeof key === "number") return this.messages[key % Math.max(1, this.messages.length)]
    return this.messages.find((message) => describeMessage(message).startsWith(key))
  }

  private removeMessage(message: Message | undefined): void {
    this.messages = this.messages.filter((other) => other !== message)
  }

  /** Delivers a message, and keeps it for another delivery unless `isLast`. */
  private deliver(key: number | string, isLast: boolean): void {
    const message = this.findMessage(key)
    if (!message) return
    if (message.kind === "order") {
      this.advanceOrder(message)
      return
    }
    if (isLast || isDeliveredOnce(message)) this.removeMessage(message)
    if (this.getInstance(message.to).isGone) return
    if (message.kind === "owner") this.updateOwner(message.to, message.event)
    else if (message.kind === "member")
      this.deliverToMember(message.from, message.to, message.event)
    else this.useWithoutOwner(message.to, message.epoch)
  }

  private updateOwner(name: string, event: OwnerEvent): void {
    const { owner } = this.getInstance(name)
    if (owner) this.applyTransaction(name, this.protocol.updateOwner(owner, event))
  }

  private applyTransaction(name: string, { state, effects }: OwnerTransaction): void {
    this.instances.set(name, { ...this.getInstance(name), owner: state })
    for (const effect of effects) this.handleEffect(name, effect)
  }

  private handleEffect(from: string, effect: OwnerEffect): void {
    const message = createMessage(from, effect)
    if (message) this.send(message)
    if (effect.kind === "predecessor-resolved")
      this.resolutions.push({ endpoint: ENDPOINT, epoch: effect.epoch })
  }

  private sendToOwner(from: string, to: string, event: OwnerEvent): void {
    this.send({ kind: "owner", from, to, event })
  }

  private send(message: Message): void {
    this.messages.push(message)
  }

  private deliverToMember(from: string, to: string, event: MemberEvent): void {
    const { member } = this.getInstance(to)
    const { state, reply } = this.protocol.updateMember(member, event)
    this.instances.set(to, { ...this.getInstance(to), member: state })
    if (event.kind === "grant-arrived" && reply.kind === "accepted") this.uses++
    if (event.kind === "seal-asked" && reply.kind === "sealed") {
      if (!reply.announced.some(({ adapter }) => adapter === X))
        this.send({ kind: "use", from: to, to: from, epoch: event.epoch })
      return
    }
    const replyEvent = createReplyEvent(to, event, reply)
    if (replyEvent) this.sendToOwner(to, from, replyEvent)
  }

  private grant(name: string, holder: string): void {
    const { owner } = this.getInstance(name)
    if (!owner || !this.protocol.canGrant(owner, X)) return
    const grant = this.createGrant(name, owner.ownership.epoch)
    this.updateOwner(name, { kind: "granted", grant, holder })
    this.send({ kind: "member", from: name, to: holder, event: { kind: "grant-arrived", grant } })
  }

  private createGrant(owner: string, epoch: number): Grant {
    const id = `grant-${++this.grantCount}`
    return { id, request: id, endpoint: ENDPOINT, adapter: X, owner, epoch }
  }

  /** Adds a use of the adapter that no owner granted, after a witness has sealed the epoch. */
  private useWithoutOwner(holder: string, epoch: number): void {
    const grant = this.createGrant(holder, epoch)
    this.deliverToMember(holder, holder, { kind: "grant-arrived", grant })
  }

  private returnGrant(holder: string, member: MemberState): void {
    const [grant] = member.endpoints.get(ENDPOINT)?.held.keys() ?? []
    if (grant === undefined) return
    this.deliverToMember(holder, holder, { kind: "grant-ended", endpoint: ENDPOINT, grant })
    for (const [to] of this.instances)
      this.sendToOwner(holder, to, { kind: "grant-returned", grant })
  }

  private readDocument(name: string): void {
    const [ownership] = this.document.ownerships
    if (!ownership) return
    this.deliverToMember(name, name, { kind: "ownership-seen", ownership })
    const members = this.document.members.map(({ incarnation }) => incarnation)
    if (this.getInstance(name).owner)
      this.updateOwner(name, { kind: "ownership-changed", ownership, members })
    else if (ownership.owner === name)
      this.applyTransaction(name, this.protocol.createOwner(ownership, this.fencing, members))
  }

  private requestSeal(name: string): void {
    const [ownership] = this.document.ownerships
    for (const to of ownership?.witnesses ?? [])
      this.send({
        kind: "member",
        from: name,
        to,
        event: { kind: "seal-asked", endpoint: ENDPOINT, epoch: ownership?.epoch ?? 0 },
      })
  }

  /** Ends the wait for the replies to the owner's sent unload orders. */
  private applyTimeout(name: string): void {
    const { owner } = this.getInstance(name)
    const isUnsent = this.messages.some((message) => isUnsentUnload(message, name))
    for (const { adapter, announcement, step } of owner?.evictions.values() ?? []) {
      if (step === "ordered" && !isUnsent)
        this.updateOwner(name, {
          kind: "unload-answered",
          adapter,
          announcement,
          result: "unresolved",
        })
    }
  }

  private applyEndpointReport(name: string): void {
    const isSame = this.getInstance(name).knownRestartCount === this.endpoint.restartCount
    this.instances.set(name, {
      ...this.getInstance(name),
      knownRestartCount: this.endpoint.restartCount,
    })
    this.updateOwner(name, { kind: isSame ? "endpoint-confirmed" : "endpoint-restarted" })
  }

  private stopMember(name: string): void {
    const others = [...this.instances].filter(([other, { isGone }]) => other !== name && !isGone)
    if (others.length < 2) return
    this.instances.set(name, { ...this.getInstance(name), isGone: true })
    this.messages = this.messages.filter(({ from }) => from !== name)
    this.plan(removeMember(this.document, name, "writer"))
    for (const [to] of others)
      this.sendToOwner("platform", to, { kind: "member-gone", member: name })
  }

  private restartEndpoint(): void {
    this.endpoint.restart()
    this.messages = this.messages.filter((message) => message.kind !== "order" || !message.isSent)
  }

  /** Sends an order to the endpoint's current process, or executes an order that was sent. */
  private advanceOrder(message: Extract<Message, { kind: "order" }>): void {
    const { from, order } = message
    this.removeMessage(message)
    if (!message.isSent) {
      this.send({ ...message, isSent: true })
      return
    }
    const { event, isEvicted } = this.endpoint.execute(order)
    if (isEvicted) this.countEviction()
    this.sendToOwner(from, from, event)
  }

  private countEviction(): void {
    this.evictions++
    const isUsed = [...this.instances.values()].some(
      ({ member, isGone }) => !isGone && (member.endpoints.get(ENDPOINT)?.held.size ?? 0) > 0,
    )
    if (isUsed) this.violations++
  }
}
