import {
  type Clock,
  type DataCentre,
  describeError,
  type EndpointId,
  type Grant,
  type GrantResult,
  type Incarnation,
  RefusedError,
  type Router,
  type RouteRequest,
  waitFor,
} from "@galenaway/core"
import type { MemberEvent, MemberReply } from "@galenaway/coordination"
import type { Recorder } from "@galenaway/observe"
import { type EndpointView, rankEndpoints } from "@galenaway/policy"
import type { OwnershipDocuments } from "../ownership/documents.js"
import type { PeerCaller } from "../peer/client.js"
import type { GrantAnswer, GrantQuestion } from "../peer/codec.js"
import type { Dispatcher } from "./dispatcher.js"
import type { OwnerlessRouter } from "./ownerless.js"
import type { ReturnQueue } from "./returns.js"
import type { ViewTable } from "./views.js"

const RETRY_PAUSE_MS = 50
const MAX_ROUNDS = 40
const MAX_ASKED_A_ROUND = 3
const MIN_PATIENCE_MS = 200
const MAX_PATIENCE_MS = 1000

/** The parts that a coordinated router works with. */
export interface RouterParts {
  readonly self: Incarnation
  readonly home: DataCentre
  readonly views: ViewTable
  readonly documents: OwnershipDocuments
  readonly caller: PeerCaller
  readonly dispatcher: Dispatcher
  readonly returns: ReturnQueue
  readonly ownerless: OwnerlessRouter
  readonly clock: Clock
  readonly recorder: Recorder
  /** Handles an event of this instance as a member. */
  readonly handleMember: (event: MemberEvent) => MemberReply
  /** The lowest epoch of an endpoint that this member still takes. */
  readonly getMinimumEpoch: (endpoint: EndpointId) => number
  /** Finds out whether the process at an address that failed a call has ended. */
  readonly handleFailedCall: (address: string) => void
  /** Tells whether the peer at an address answers at once. */
  readonly isAnswering: (address: string) => Promise<boolean>
}

/** An owner to ask, and the endpoint for which it is asked. */
interface Candidate {
  readonly owner: Incarnation
  readonly endpoint: EndpointId
  readonly canRedirect: boolean
}

/** Asks the owner of a well-chosen endpoint for a grant, and the next one when that fails without a grant. */
export class CoordinatedRouter implements Router {
  private asks = 0

  constructor(private readonly parts: RouterParts) {}

  async acquire(request: RouteRequest, signal: AbortSignal): Promise<Grant> {
    const { clock } = this.parts
    let last: GrantAnswer | undefined
    for (let round = 0; round < MAX_ROUNDS; round++) {
      const answer = await this.runRound(request, signal)
      if (answer?.kind === "granted") return answer.grant
      last = answer ?? last
      if (answer && isFinal(answer)) break
      if (clock.now() >= request.deadline || signal.aborted) break
      await waitFor(RETRY_PAUSE_MS, signal)
    }
    throw refuse(last, request, clock.now())
  }

  release(grant: Grant, result: GrantResult): void {
    const { handleMember, returns, ownerless, getMinimumEpoch } = this.parts
    const { endpoint, id, request } = grant
    handleMember({ kind: "grant-ended", endpoint, grant: id })
    ownerless.release(grant)
    returns.add({ id, ask: 0, endpoint, request, result }, () => getMinimumEpoch(endpoint))
    // The owner must learn of a missing adapter before it is asked for it again.
    if (result === "adapter-missing") void returns.flush()
  }

  /** Asks the best owners in turn until one answers for certain. */
  private async runRound(
    request: RouteRequest,
    signal: AbortSignal,
  ): Promise<GrantAnswer | undefined> {
    const { views, home, clock } = this.parts
    const table = views.list()
    const ranked = rankEndpoints(table, request, home, clock.now())
    let last: GrantAnswer | undefined
    for (const { owner, endpoint, canRedirect } of this.listOwners(ranked, table, request)) {
      const answer = await this.ask(owner, endpoint, { request, canRedirect }, signal)
      if (answer.kind === "granted") return answer
      const isRedirected = canRedirect && answer.code === "overloaded"
      if (isFinal(answer) && !isRedirected) return answer
      last = answer
    }
    const grant = await this.parts.ownerless.acquire(request, table)
    return grant ? { kind: "granted", grant } : last
  }

  /** Lists whom to ask, each owner once. Only the last one may keep urgent work waiting for a load. */
  private listOwners(
    ranked: readonly EndpointId[],
    table: readonly EndpointView[],
    request: RouteRequest,
  ): readonly Candidate[] {
    const endpoints = new Map<Incarnation, EndpointId>()
    for (const endpoint of ranked) {
      const owner = table.find((view) => view.info.id === endpoint)?.owner
      if (owner !== undefined && !endpoints.has(owner)) endpoints.set(owner, endpoint)
    }
    const asked = [...endpoints].slice(0, MAX_ASKED_A_ROUND)
    return asked.map(([owner, endpoint], index) => ({
      owner,
      endpoint,
      canRedirect: request.rank === "urgent" && index < asked.length - 1,
    }))
  }

  private async ask(
    owner: Incarnation,
    endpoint: EndpointId,
    { request, canRedirect }: Pick<GrantQuestion, "request" | "canRedirect">,
    signal: AbortSignal,
  ): Promise<GrantAnswer> {
    this.parts.recorder.record({
      kind: "request-routed",
      request: request.id,
      adapter: request.adapter,
      endpoint,
      peer: owner,
    })
    const question = { request, holder: this.parts.self, ask: ++this.asks, canRedirect }
    const answer =
      owner === this.parts.self
        ? await this.parts.dispatcher.submit(question, signal)
        : await this.askPeer(owner, endpoint, question, signal)
    return answer.kind === "granted" ? this.accept(answer.grant) : answer
  }

  private async askPeer(
    owner: Incarnation,
    endpoint: EndpointId,
    question: GrantQuestion,
    signal: AbortSignal,
  ): Promise<GrantAnswer> {
    const { documents, caller, clock, returns } = this.parts
    const address = documents.findMember(owner)?.peerAddress
    if (address === undefined)
      return { kind: "refused", code: "no-owner", message: `${owner} has no address` }
    const guard = this.guardQuestion(address, question.request)
    const either = AbortSignal.any([signal, guard.signal])
    try {
      return await caller.requestGrant(address, question, clock.now(), either)
    } catch (error) {
      // The owner may have granted it all the same: it is given back by the question.
      const { id } = question.request
      const { ask } = question
      if (!signal.aborted) this.parts.handleFailedCall(address)
      returns.add({ id: "", ask, endpoint, request: id, result: "canceled" }, () => 0)
      return { kind: "refused", code: "peer-down", message: describeError(error) }
    } finally {
      guard.abort()
    }
  }

  /** Gives a question up when its owner has not answered for a while and doesn't answer a heartbeat either, as when it is paused. */
  private guardQuestion(address: string, request: RouteRequest): AbortController {
    const guard = new AbortController()
    const left = (request.deadline - this.parts.clock.now()) / MAX_ASKED_A_ROUND
    const patience = Math.min(Math.max(left, MIN_PATIENCE_MS), MAX_PATIENCE_MS)
    const check = async () => {
      await waitFor(patience, guard.signal)
      while (!guard.signal.aborted && (await this.parts.isAnswering(address)))
        await waitFor(patience, guard.signal)
      guard.abort()
    }
    void check()
    return guard
  }

  /** Takes a grant as a holder. One of an epoch that this member has been asked to forget is given back. */
  private accept(grant: Grant): GrantAnswer {
    const { handleMember, returns, views } = this.parts
    const reply = handleMember({ kind: "grant-arrived", grant })
    if (reply.kind === "accepted") {
      views.countSent(grant.endpoint)
      return { kind: "granted", grant }
    }
    const { id, endpoint, request } = grant
    returns.add({ id, ask: 0, endpoint, request, result: "canceled" }, () => 0)
    return { kind: "refused", code: "no-owner", message: "the grant's owner has a successor" }
  }
}

/** Tells whether asking elsewhere or again can't help. */
function isFinal(answer: GrantAnswer): boolean {
  if (answer.kind === "granted") return true
  return answer.code === "deadline" || answer.code === "overloaded" || answer.code === "canceled"
}

function refuse(last: GrantAnswer | undefined, request: RouteRequest, now: number): RefusedError {
  if (last?.kind === "refused" && isFinal(last))
    return new RefusedError(last.code, "queue", "owner", last.message)
  const why = last?.kind === "refused" ? last.message : "no endpoint can be reached"
  const code = now >= request.deadline ? "deadline" : "no-endpoint"
  return new RefusedError(code, "route", "owner", why)
}
