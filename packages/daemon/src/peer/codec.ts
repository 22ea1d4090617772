import {
  type AdapterKey,
  type ErrorCode,
  type Grant,
  type GrantResult,
  type Incarnation,
  isRank,
  type Millis,
  RefusedError,
  type RouteRequest,
} from "@galenaway/core"
import type { AnnouncedEviction, MemberReply } from "@galenaway/coordination"
import type { HybridTime } from "@galenaway/observe"
import type {
  AnnouncedMessage,
  GrantMessage,
  GrantReply,
  GrantRequest,
  MemberAnswer,
  ReturnedGrant,
} from "../generated/peer.js"

/** A holder's request for a grant, as submitted to an owner. */
export interface GrantSubmission {
  readonly request: RouteRequest
  readonly holder: Incarnation
  /**
   * Distinguishes this submission from other submissions of the same holder for
   * the same request.
   */
  readonly ask: number
  /**
   * Whether another owner can be tried. If so, a request whose adapter can't be
   * loaded soon is refused at once.
   */
  readonly canRedirect: boolean
}

/** An owner's response to a grant request. */
export type GrantResponse =
  | { readonly kind: "granted"; readonly grant: Grant }
  | { readonly kind: "refused"; readonly code: ErrorCode; readonly message: string }

/** A grant that its holder returns to the owner. */
export interface GrantReturn {
  /**
   * Empty if the response was lost. The return then applies to any grant that
   * was issued for the submission.
   */
  readonly id: string
  /** The `ask` number of the submission if `id` is empty, otherwise 0. */
  readonly ask: number
  readonly endpoint: string
  readonly request: string
  readonly result: GrantResult
}

/**
 * Formats a grant request. Points in time are sent as durations, since the
 * clocks of instances differ.
 */
export function formatGrantRequest(
  { request, ask, holder, canRedirect }: GrantSubmission,
  now: Millis,
  time: HybridTime,
): GrantRequest {
  return {
    time,
    holder,
    request: request.id,
    adapter: request.adapter,
    rank: request.rank,
    deadlineInMs: request.deadline - now,
    waitedMs: now - request.arrivedAt,
    prefix: request.prefix,
    maxTokens: request.maxTokens,
    ask,
    canRedirect,
  }
}

/**
 * Parses a grant request. Durations are converted to times of the receiver's
 * clock. Throws a RefusedError for an unknown rank.
 */
export function parseGrantRequest(message: GrantRequest, now: Millis): RouteRequest {
  if (!isRank(message.rank))
    throw new RefusedError("bad-request", "peer", message.holder, `rank ${message.rank}`)
  return {
    id: message.request,
    adapter: message.adapter as AdapterKey,
    rank: message.rank,
    arrivedAt: now - message.waitedMs,
    deadline: now + message.deadlineInMs,
    prefix: message.prefix,
    maxTokens: message.maxTokens,
  }
}

/** Formats an owner's response to a grant request. */
export function formatGrantResponse(response: GrantResponse, time: HybridTime): GrantReply {
  switch (response.kind) {
    case "granted":
      return { time, grant: response.grant, refusalCode: "", refusalMessage: "" }
    case "refused":
      return {
        time,
        grant: undefined,
        refusalCode: response.code,
        refusalMessage: response.message,
      }
  }
}

/** Parses an owner's response to a grant request. */
export function parseGrantResponse(reply: GrantReply): GrantResponse {
  if (reply.grant) return { kind: "granted", grant: parseGrant(reply.grant) }
  const code = (reply.refusalCode || "peer-down") as ErrorCode
  return { kind: "refused", code, message: reply.refusalMessage }
}

/** Parses a grant. */
export function parseGrant(message: GrantMessage): Grant {
  return { ...message, adapter: message.adapter as AdapterKey }
}

/** Parses a returned grant. */
export function parseReturn(message: ReturnedGrant): GrantReturn {
  return { ...message, result: message.result as GrantResult }
}

/** Parses an announced eviction. */
export function parseAnnounced(message: AnnouncedMessage): AnnouncedEviction {
  return { ...message, adapter: message.adapter as AdapterKey }
}

/** Formats a member's reply. */
export function formatMemberReply(reply: MemberReply, time: HybridTime): MemberAnswer {
  const empty = { time, kind: reply.kind, epoch: 0, grants: [], announced: [] }
  switch (reply.kind) {
    case "accepted":
      return empty
    case "refused":
      return { ...empty, epoch: reply.minimumEpoch }
    case "holdings":
      return {
        ...empty,
        epoch: reply.epoch,
        grants: [...reply.grants],
        announced: [...reply.announced],
      }
    case "sealed":
      return { ...empty, epoch: reply.epoch, announced: [...reply.announced] }
  }
}

/** Parses a member's reply. */
export function parseMemberReply(response: MemberAnswer): MemberReply {
  const announced = response.announced.map(parseAnnounced)
  const { epoch } = response
  switch (response.kind) {
    case "accepted":
      return { kind: "accepted" }
    case "holdings":
      return { kind: "holdings", epoch, grants: response.grants.map(parseGrant), announced }
    case "sealed":
      return { kind: "sealed", epoch, announced }
    default:
      return { kind: "refused", minimumEpoch: epoch }
  }
}
