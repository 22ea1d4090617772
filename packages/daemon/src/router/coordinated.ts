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
import type { GrantResponse, GrantSubmission } from "../peer/codec.js"
import type { Dispatcher } from "./dispatcher.js"
import type { OwnerlessRouter } from "./ownerless.js"
import type { ReturnQueue } from "./returns.js"
import type { EndpointViewTable } from "./views.js"

const ROUND_PAUSE_MS = 50
const MAX_ROUND_COUNT = 40
const MAX_OWNERS_PER_ROUND_COUNT = 3
const MIN_OWNER_TIMEOUT_MS = 200
const MAX_OWNER_TIMEOUT_MS = 1000

/** The parts that a coordinated router works with. */
export interface CoordinatedRouterDependencies {
  readonly self: Incarnation
  readonly localDataCentre: DataCentre
  readonly views: EndpointViewTable
  readonly documents: OwnershipDocuments
  readonly caller: PeerCaller
  readonly dispatcher: Dispatcher
  readonly returns: ReturnQueue
  readonly ownerless: OwnerlessRouter
  readonly clock: Clock
  readonly recorder: Recorder
  /** Handles an event of this instance as a member. */
  readonly handleMemberEvent: (event: MemberEvent) => MemberReply
  /** The lowest epoch of an endpoint that this member still takes. */
  readonly getMinimumEpoch: (endpoint: EndpointId) => number
  /** Finds out whether the process at an address that failed a call has ended. */
  readonly handleFailedCall: (address: string) => void
  /** Tells whether the peer at an address answers at once. */
  readonly isResponsive: (address: string) => Promise<boolean>
}

/** An owner to ask, and the endpoint for which it is asked. */
interface GrantCandidate {
  readonly owner: Incarnation
  readonly endpoint: EndpointId
  readonly canRedirect: boolean
}

/** Asks the owner of a well-chosen endpoint for a grant, and the next one when that fails without a grant. */
export class CoordinatedRouter implements Router {
  private askCounter = 0

  constructor(private readonly deps: CoordinatedRouterDependencies) {}

  async acquire(request: RouteRequest, signal: AbortSignal): Promise<Grant> {
    const { clock } = this.deps
    let last: GrantResponse | undefined
    for (let round = 0; round < MAX_ROUND_COUNT; round++) {
      const answer = await this.runRound(request, signal)
      if (answer?.kind === "granted") return answer.grant
      last = answer ?? last
      if (answer && isFinal(answer)) break
      if (clock.now() >= request.deadline || signal.aborted) break
      await waitFor(ROUND_PAUSE_MS, signal)
    }
    throw createRefusal(last, request, clock.now())
  }

  release(grant: Grant, result: GrantResult): void {
    const { handleMemberEvent, returns, ownerless, getMinimumEpoch } = this.deps
    const { endpoint, id, request } = grant
    handleMemberEvent({ kind: "grant-ended", endpoint, grant: id })
    ownerless.release(grant)
    returns.add({ id, ask: 0, endpoint, request, result }, () => getMinimumEpoch(endpoint))
    // The owner must learn of a missing adapter before it is asked for it again.
    if (result === "adapter-missing") void returns.flush()
  }

  /** Asks the best owners in turn until one answers for certain. */
  private async runRound(
    request: RouteRequest,
    signal: AbortSignal,
  ): Promise<GrantResponse | undefined> {
    const { views, localDataCentre, clock } = this.deps
    const table = views.list()
    const ranked = rankEndpoints(table, request, localDataCentre, clock.now())
    let last: GrantResponse | undefined
    for (const { owner, endpoint, canRedirect } of this.listCandidates(ranked, table, request)) {
      const answer = await this.requestGrant(owner, endpoint, { request, canRedirect }, signal)
      if (answer.kind === "granted") return answer
      const isRedirected = canRedirect && answer.code === "overloaded"
      if (isFinal(answer) && !isRedirected) return answer
      last = answer
    }
    const grant = await this.deps.ownerless.acquire(request, table)
    return grant ? { kind: "granted", grant } : last
  }

  /** Lists whom to ask, each owner once. Only the last one may keep urgent work waiting for a load. */
  private listCandidates(
    ranked: readonly EndpointId[],
    table: readonly EndpointView[],
    request: RouteRequest,
  ): readonly GrantCandidate[] {
    const endpoints = new Map<Incarnation, EndpointId>()
    for (const endpoint of ranked) {
      const owner = table.find((view) => view.info.id === endpoint)?.owner
      if (owner !== undefined && !endpoints.has(owner)) endpoints.set(owner, endpoint)
    }
    const asked = [...endpoints].slice(0, MAX_OWNERS_PER_ROUND_COUNT)
    return asked.map(([owner, endpoint], index) => ({
      owner,
      endpoint,
      canRedirect: request.rank === "urgent" && index < asked.length - 1,
    }))
  }

  private async requestGrant(
    owner: Incarnation,
    endpoint: EndpointId,
    { request, canRedirect }: Pick<GrantSubmission, "request" | "canRedirect">,
    signal: AbortSignal,
  ): Promise<GrantResponse> {
    this.deps.recorder.record({
      kind: "request-routed",
      request: request.id,
      adapter: request.adapter,
      endpoint,
      peer: owner,
    })
    const question = { request, holder: this.deps.self, ask: ++this.askCounter, canRedirect }
    const answer =
      owner === this.deps.self
        ? await this.deps.dispatcher.submit(question, signal)
        : await this.requestGrantFromPeer(owner, endpoint, question, signal)
    return answer.kind === "granted" ? this.acceptGrant(answer.grant) : answer
  }

  private async requestGrantFromPeer(
    owner: Incarnation,
    endpoint: EndpointId,
    question: GrantSubmission,
    signal: AbortSignal,
  ): Promise<GrantResponse> {
    const { documents, caller, clock, returns } = this.deps
    const address = documents.findMember(owner)?.peerAddress
    if (address === undefined)
      return { kind: "refused", code: "no-owner", message: `${owner} has no address` }
    const guard = this.watchOwner(address, question.request)
    const either = AbortSignal.any([signal, guard.signal])
    try {
      return await caller.requestGrant(address, question, clock.now(), either)
    } catch (error) {
      // The owner may have granted it all the same: it is given back by the question.
      const { id } = question.request
      const { ask } = question
      if (!signal.aborted) this.deps.handleFailedCall(address)
      returns.add({ id: "", ask, endpoint, request: id, result: "canceled" }, () => 0)
      return { kind: "refused", code: "peer-down", message: describeError(error) }
    } finally {
      guard.abort()
    }
  }

  /** Gives a question up when its owner has not answered for a while and doesn't answer a heartbeat either, as when it is paused. */
  private watchOwner(address: string, request: RouteRequest): AbortController {
    const guard = new AbortController()
    const left = (request.deadline - this.deps.clock.now()) / MAX_OWNERS_PER_ROUND_COUNT
    const patience = Math.min(Math.max(left, MIN_OWNER_TIMEOUT_MS), MAX_OWNER_TIMEOUT_MS)
    const check = async () => {
      await waitFor(patience, guard.signal)
      while (!guard.signal.aborted && (await this.deps.isResponsive(address)))
        await waitFor(patience, guard.signal)
      guard.abort()
    }
    void check()
    return guard
  }

  /** Takes a grant as a holder. One of an epoch that this member has been asked to forget is given back. */
  private acceptGrant(grant: Grant): GrantResponse {
    const { handleMemberEvent, returns, views } = this.deps
    const reply = handleMemberEvent({ kind: "grant-arrived", grant })
    if (reply.kind === "accepted") {
      views.recordGrant(grant.endpoint)
      return { kind: "granted", grant }
    }
    const { id, endpoint, request } = grant
    returns.add({ id, ask: 0, endpoint, request, result: "canceled" }, () => 0)
    return { kind: "refused", code: "no-owner", message: "the grant's owner has a successor" }
  }
}

/** Tells whether asking elsewhere or again can't help. */
function isFinal(answer: GrantResponse): boolean {
  if (answer.kind === "granted") return true
  return answer.code === "deadline" || answer.code === "overloaded" || answer.code === "canceled"
}

function createRefusal(
  last: GrantResponse | undefined,
  request: RouteRequest,
  now: number,
): RefusedError {
  if (last?.kind === "refused" && isFinal(last))
    return new RefusedError(last.code, "queue", "owner", last.message)
  const why = last?.kind === "refused" ? last.message : "no endpoint can be reached"
  const code = now >= request.deadline ? "deadline" : "no-endpoint"
  return new RefusedError(code, "route", "owner", why)
}
