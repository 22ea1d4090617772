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
const MAX_OWNER_COUNT_PER_ROUND = 3
const MIN_OWNER_TIMEOUT_MS = 200
const MAX_OWNER_TIMEOUT_MS = 1000

/** The dependencies of a {@link CoordinatedRouter}. */
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
  /** Applies an event to this instance's member state and returns the reply. */
  readonly handleMemberEvent: (event: MemberEvent) => MemberReply
  /** Returns the lowest epoch of an endpoint that this member accepts. */
  readonly getMinimumEpoch: (endpoint: EndpointId) => number
  /** Probes the process at an address to which a call failed. */
  readonly handleFailedCall: (address: string) => void
  /** Checks whether the peer at an address answers a heartbeat within a short timeout. */
  readonly isResponsive: (address: string) => Promise<boolean>
}

/** An owner to request a grant from, and its best-ranked endpoint. */
interface GrantCandidate {
  readonly owner: Incarnation
  readonly endpoint: EndpointId
  /** Whether another owner can be tried after a refusal. */
  readonly canRedirect: boolean
}

/**
 * Requests a grant from the owner of the best-ranked endpoint. If the request
 * fails without a final response, tries the owners of the next endpoints.
 */
export class CoordinatedRouter implements Router {
  private askCounter = 0

  constructor(private readonly deps: CoordinatedRouterDependencies) {}

  async acquire(request: RouteRequest, signal: AbortSignal): Promise<Grant> {
    const { clock } = this.deps
    let lastResponse: GrantResponse | undefined
    for (let round = 0; round < MAX_ROUND_COUNT; round++) {
      const response = await this.runRound(request, signal)
      if (response?.kind === "granted") return response.grant
      lastResponse = response ?? lastResponse
      if (response && isFinal(response)) break
      if (clock.now() >= request.deadline || signal.aborted) break
      await waitFor(ROUND_PAUSE_MS, signal)
    }
    throw createRefusal(lastResponse, request, clock.now())
  }

  release(grant: Grant, result: GrantResult): void {
    const { handleMemberEvent, returns, ownerless, getMinimumEpoch } = this.deps
    const { endpoint, id, request } = grant
    handleMemberEvent({ kind: "grant-ended", endpoint, grant: id })
    ownerless.release(grant)
    returns.add({ id, ask: 0, endpoint, request, result }, () => getMinimumEpoch(endpoint))
    // Report a missing adapter at once, before another grant for it is requested.
    if (result === "adapter-missing") void returns.flush()
  }

  /**
   * Tries the best-ranked owners in order until one gives a final response. Then
   * tries endpoints whose owner is silent.
   */
  private async runRound(
    request: RouteRequest,
    signal: AbortSignal,
  ): Promise<GrantResponse | undefined> {
    const { views, localDataCentre, clock } = this.deps
    const table = views.list()
    const ranked = rankEndpoints(table, request, localDataCentre, clock.now())
    let lastResponse: GrantResponse | undefined
    for (const { owner, endpoint, canRedirect } of this.listCandidates(ranked, table, request)) {
      const response = await this.requestGrant(owner, endpoint, { request, canRedirect }, signal)
      if (response.kind === "granted") return response
      const isRedirected = canRedirect && response.code === "overloaded"
      if (isFinal(response) && !isRedirected) return response
      lastResponse = response
    }
    const grant = await this.deps.ownerless.acquire(request, table)
    return grant ? { kind: "granted", grant } : lastResponse
  }

  /**
   * Lists the owners to try, each once. Only the last one may queue an urgent
   * request for a load. The others refuse it, so that the next one is tried.
   */
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
    const selected = [...endpoints].slice(0, MAX_OWNER_COUNT_PER_ROUND)
    return selected.map(([owner, endpoint], index) => ({
      owner,
      endpoint,
      canRedirect: request.rank === "urgent" && index < selected.length - 1,
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
    const submission = { request, holder: this.deps.self, ask: ++this.askCounter, canRedirect }
    const response =
      owner === this.deps.self
        ? await this.deps.dispatcher.submit(submission, signal)
        : await this.requestGrantFromPeer(owner, endpoint, submission, signal)
    return response.kind === "granted" ? this.acceptGrant(response.grant) : response
  }

  private async requestGrantFromPeer(
    owner: Incarnation,
    endpoint: EndpointId,
    submission: GrantSubmission,
    signal: AbortSignal,
  ): Promise<GrantResponse> {
    const { documents, caller, clock, returns } = this.deps
    const address = documents.findMember(owner)?.peerAddress
    if (address === undefined)
      return { kind: "refused", code: "no-owner", message: `${owner} has no address` }
    const ownerTimeout = this.watchOwner(address, submission.request)
    const combined = AbortSignal.any([signal, ownerTimeout.signal])
    try {
      return await caller.requestGrant(address, submission, clock.now(), combined)
    } catch (error) {
      // The owner may have issued a grant, whose id is unknown here. The return
      // identifies it by the submission instead.
      const { id } = submission.request
      const { ask } = submission
      if (!signal.aborted) this.deps.handleFailedCall(address)
      returns.add({ id: "", ask, endpoint, request: id, result: "canceled" }, () => 0)
      return { kind: "refused", code: "peer-down", message: describeError(error) }
    } finally {
      ownerTimeout.abort()
    }
  }

  /**
   * Aborts the returned controller when the owner has responded neither to the
   * submission nor to a heartbeat within the timeout, for example because its
   * process is paused. The calling method aborts it when the response has arrived.
   */
  private watchOwner(address: string, request: RouteRequest): AbortController {
    const ownerTimeout = new AbortController()
    const remainingMs = (request.deadline - this.deps.clock.now()) / MAX_OWNER_COUNT_PER_ROUND
    const timeoutMs = Math.min(Math.max(remainingMs, MIN_OWNER_TIMEOUT_MS), MAX_OWNER_TIMEOUT_MS)
    const check = async () => {
      await waitFor(timeoutMs, ownerTimeout.signal)
      while (!ownerTimeout.signal.aborted && (await this.deps.isResponsive(address)))
        await waitFor(timeoutMs, ownerTimeout.signal)
      ownerTimeout.abort()
    }
    void check()
    return ownerTimeout
  }

  /**
   * Accepts a grant as its holder. A grant of an epoch that this member no
   * longer accepts is returned.
   */
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

/** Returns whether another attempt or another owner can't change the response. */
function isFinal(response: GrantResponse): boolean {
  if (response.kind === "granted") return true
  return (
    response.code === "deadline" || response.code === "overloaded" || response.code === "canceled"
  )
}

function createRefusal(
  lastResponse: GrantResponse | undefined,
  request: RouteRequest,
  now: number,
): RefusedError {
  if (lastResponse?.kind === "refused" && isFinal(lastResponse))
    return new RefusedError(lastResponse.code, "queue", "owner", lastResponse.message)
  const reason =
    lastResponse?.kind === "refused" ? lastResponse.message : "no endpoint can be reached"
  const code = now >= request.deadline ? "deadline" : "no-endpoint"
  return new RefusedError(code, "route", "owner", reason)
}
