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
import { Endpoint } from "./endpoint.js"
import {
  createAnswer,
  createMessage,
  describeMessage,
  isReplyOnce,
  isUnsentUnload,
  type Message,
} from "./messages.js"
import { ENDPOINT, RULES, X, type Rules, type Step } from "./steps.js"

interface Instance {
  readonly member: MemberState
  readonly owner?: OwnerState
  readonly isGone: boolean
  readonly endpointProcess: number
}

/** A few instances, one endpoint and the messages between them, under the package's own transactions. */
export class World {
  document: OwnershipDocument
  readonly instances = new Map<string, Instance>()
  messages: Message[] = []
  violations = 0
  evictions = 0
  uses = 0
  private readonly endpoint: Endpoint
  private grantCount = 0
  private resolutions: ResolvedPredecessor[] = []

  constructor(
    names: readonly string[],
    private readonly fencing: Fencing,
    private readonly rules: Rules = RULES,
  ) {
    this.document = createDocument("dc-1")
    this.endpoint = new Endpoint(fencing)
    for (const name of names) this.join(name)
    for (const name of names) this.read(name)
    while (this.messages.length > 0) this.run({ kind: "deliver", message: 0 })
  }

  get owner(): string {
    return this.document.ownerships[0]?.owner ?? ""
  }

  /** Delivers the messages whose label starts so, and those that they bring about. */
  drain(label: string): void {
    while (this.find(label)) this.deliver(label, true)
  }

  /** Takes a step. The name "owner" stands for the document's present owner. */
  run(step: Step): void {
    switch (step.kind) {
      case "deliver":
        this.deliver(step.message, true)
        break
      case "repeat":
        this.deliver(step.message, false)
        break
      case "lose":
        this.remove(this.find(step.message))
        break
      case "restart":
        this.restart()
        break
      case "renew":
        this.plan(this.document, new Set([ENDPOINT]))
        break
      case "resolve":
        this.document = removePredecessors(this.document, this.resolutions, "writer")
        break
      default:
        this.runAt(step.kind, step.who === "owner" ? this.owner : step.who)
    }
  }

  private runAt(kind: Extract<Step, { who: string }>["kind"], who: string): void {
    if (kind === "join") this.join(who)
    else if (this.instances.get(who)?.isGone === false) this.act(kind, who)
  }

  private act(kind: Exclude<Extract<Step, { who: string }>["kind"], "join">, who: string): void {
    const { owner, member } = this.get(who)
    switch (kind) {
      case "grant":
        for (const [holder] of this.instances) this.grant(who, holder)
        return
      case "load":
        if (owner && this.rules.canGrant(owner, X)) this.endpoint.load(owner.ownership.epoch)
        return
      case "evict":
        this.updateOwner(who, { kind: "eviction-wanted", adapter: X })
        break
      case "end":
        this.endUse(who, member)
        break
      case "read":
        this.read(who)
        break
      case "retry":
        this.updateOwner(who, { kind: "retry-due" })
        break
      case "time-out":
        this.timeOut(who)
        break
      case "report":
        this.report(who)
        break
      case "seal":
        this.seal(who)
        break
      case "suspect":
      case "recover":
        this.plan(
          setMemberPhase(this.document, who, kind === "suspect" ? "suspect" : "live", "writer"),
        )
        break
      case "lose-member":
        this.loseMember(who)
        break
    }
  }

  private get(name: string): Instance {
    const instance = this.instances.get(name)
    if (!instance) throw new Error(`no instance ${name}`)
    return instance
  }

  /** A member reads the document that it joined before it takes part. */
  private join(name: string): void {
    if (this.instances.has(name)) return
    const entry = { incarnation: name, instance: name, dataCentre: "dc-1", peerAddress: name }
    this.instances.set(name, {
      member: createMember(name),
      isGone: false,
      endpointProcess: this.endpoint.process,
    })
    this.plan(addMember(this.document, { ...entry, phase: "live" }))
    this.read(name)
  }

  private plan(document: OwnershipDocument, renewals = new Set<string>()): void {
    this.document = planOwnership(document, [ENDPOINT], "writer", renewals)
  }

  private find(pick: number | string): Message | undefined {
    if (typeof pick === "number") return this.messages[pick % Math.max(1, this.messages.length)]
    return this.messages.find((message) => describeMessage(message).startsWith(pick))
  }

  private remove(message: Message | undefined): void {
    this.messages = this.messages.filter((other) => other !== message)
  }

  private deliver(pick: number | string, isLast: boolean): void {
    const message = this.find(pick)
    if (!message) return
    if (message.kind === "order") {
      this.advanceOrder(message)
      return
    }
    if (isLast || isReplyOnce(message)) this.remove(message)
    if (this.get(message.to).isGone) return
    if (message.kind === "owner") this.updateOwner(message.to, message.event)
    else if (message.kind === "member") this.tellMember(message.from, message.to, message.event)
    else this.use(message.to, message.epoch)
  }

  private updateOwner(name: string, event: OwnerEvent): void {
    const { owner } = this.get(name)
    if (owner) this.applyTransaction(name, this.rules.updateOwner(owner, event))
  }

  private applyTransaction(name: string, { state, effects }: OwnerTransaction): void {
    this.instances.set(name, { ...this.get(name), owner: state })
    for (const effect of effects) this.carryOut(name, effect)
  }

  private carryOut(from: string, effect: OwnerEffect): void {
    const message = createMessage(from, effect)
    if (message) this.send(message)
    if (effect.kind === "predecessor-resolved")
      this.resolutions.push({ endpoint: ENDPOINT, epoch: effect.epoch })
  }

  private tellOwner(from: string, to: string, event: OwnerEvent): void {
    this.send({ kind: "owner", from, to, event })
  }

  private send(message: Message): void {
    this.messages.push(message)
  }

  private tellMember(from: string, to: string, event: MemberEvent): void {
    const { member } = this.get(to)
    const { state, reply } = this.rules.updateMember(member, event)
    this.instances.set(to, { ...this.get(to), member: state })
    if (event.kind === "grant-arrived" && reply.kind === "accepted") this.uses++
    if (event.kind === "seal-asked" && reply.kind === "sealed") {
      if (!reply.announced.some(({ adapter }) => adapter === X))
        this.send({ kind: "use", from: to, to: from, epoch: event.epoch })
      return
    }
    const answer = createAnswer(to, event, reply)
    if (answer) this.tellOwner(to, from, answer)
  }

  private grant(who: string, holder: string): void {
    const { owner } = this.get(who)
    if (!owner || !this.rules.canGrant(owner, X)) return
    const grant = this.createGrant(who, owner.ownership.epoch)
    this.updateOwner(who, { kind: "granted", grant, holder })
    this.send({ kind: "member", from: who, to: holder, event: { kind: "grant-arrived", grant } })
  }

  private createGrant(owner: string, epoch: number): Grant {
    const id = `grant-${++this.grantCount}`
    return { id, request: id, endpoint: ENDPOINT, adapter: X, owner, epoch }
  }

  private use(holder: string, epoch: number): void {
    const grant = this.createGrant(holder, epoch)
    this.tellMember(holder, holder, { kind: "grant-arrived", grant })
  }

  private endUse(holder: string, member: MemberState): void {
    const [grant] = member.endpoints.get(ENDPOINT)?.held.keys() ?? []
    if (grant === undefined) return
    this.tellMember(holder, holder, { kind: "grant-ended", endpoint: ENDPOINT, grant })
    for (const [to] of this.instances) this.tellOwner(holder, to, { kind: "grant-returned", grant })
  }

  private read(who: string): void {
    const [ownership] = this.document.ownerships
    if (!ownership) return
    this.tellMember(who, who, { kind: "ownership-seen", ownership })
    const members = this.document.members.map(({ incarnation }) => incarnation)
    if (this.get(who).owner)
      this.updateOwner(who, { kind: "ownership-changed", ownership, members })
    else if (ownership.owner === who)
      this.applyTransaction(who, this.rules.createOwner(ownership, this.fencing, members))
  }

  private seal(who: string): void {
    const [ownership] = this.document.ownerships
    for (const to of ownership?.witnesses ?? [])
      this.send({
        kind: "member",
        from: who,
        to,
        event: { kind: "seal-asked", endpoint: ENDPOINT, epoch: ownership?.epoch ?? 0 },
      })
  }

  private timeOut(who: string): void {
    const { owner } = this.get(who)
    const isUnsent = this.messages.some((message) => isUnsentUnload(message, who))
    for (const { adapter, announcement, step } of owner?.evictions.values() ?? []) {
      if (step === "ordered" && !isUnsent)
        this.updateOwner(who, {
          kind: "unload-answered",
          adapter,
          announcement,
          result: "unresolved",
        })
    }
  }

  private report(who: string): void {
    const isSame = this.get(who).endpointProcess === this.endpoint.process
    this.instances.set(who, { ...this.get(who), endpointProcess: this.endpoint.process })
    this.updateOwner(who, { kind: isSame ? "endpoint-confirmed" : "endpoint-restarted" })
  }

  private loseMember(who: string): void {
    const others = [...this.instances].filter(([name, { isGone }]) => name !== who && !isGone)
    if (others.length < 2) return
    this.instances.set(who, { ...this.get(who), isGone: true })
    this.messages = this.messages.filter(({ from }) => from !== who)
    this.plan(removeMember(this.document, who, "writer"))
    for (const [to] of others) this.tellOwner("platform", to, { kind: "member-gone", member: who })
  }

  private restart(): void {
    this.endpoint.restart()
    this.messages = this.messages.filter((message) => message.kind !== "order" || !message.isSent)
  }

  /** An order is first sent to the endpoint's present process, then executed there. */
  private advanceOrder(message: Extract<Message, { kind: "order" }>): void {
    const { from, order } = message
    this.remove(message)
    if (!message.isSent) {
      this.send({ ...message, isSent: true })
      return
    }
    const { event, isEvicted } = this.endpoint.execute(order)
    if (isEvicted) this.countEviction()
    this.tellOwner(from, from, event)
  }

  private countEviction(): void {
    this.evictions++
    const isUsed = [...this.instances.values()].some(
      ({ member, isGone }) => !isGone && (member.endpoints.get(ENDPOINT)?.held.size ?? 0) > 0,
    )
    if (isUsed) this.violations++
  }
}
