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

/** A holder's question for a grant. */
export interface GrantSubmission {
  readonly request: RouteRequest
  readonly holder: Incarnation
  /** Tells this question from earlier ones of the same holder for the same request. */
  readonly ask: number
  /** Whether another owner can be asked: then a cold request that can't be loaded soon is refused at once. */
  readonly canRedirect: boolean
}

/** How an owner answered a request for a grant. */
export type GrantResponse =
  | { readonly kind: "granted"; readonly grant: Grant }
  | { readonly kind: "refused"; readonly code: ErrorCode; readonly message: string }

/** A grant that its holder gives back. */
export interface GrantReturn {
  /** Empty when the answer was lost: whatever was granted for the question is given back. */
  readonly id: string
  /** The question that the grant answered; 0 for one whose id is known. */
  readonly ask: number
  readonly endpoint: string
  readonly request: string
  readonly result: GrantResult
}

/** Formats a request for a grant. Times go as durations, since clocks differ. */
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

/** Parses a request for a grant against the receiver's clock. */
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

/** Formats an owner's answer. */
export function formatGrantResponse(answer: GrantResponse, time: HybridTime): GrantReply {
  switch (answer.kind) {
    case "granted":
      return { time, grant: answer.grant, refusalCode: "", refusalMessage: "" }
    case "refused":
      return {
        time,
        grant: undefined,
        refusalCode: answer.code,
        refusalMessage: answer.message,
      }
  }
}

/** Parses an owner's answer. */
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
export function parseMemberReply(answer: MemberAnswer): MemberReply {
  const announced = answer.announced.map(parseAnnounced)
  const { epoch } = answer
  switch (answer.kind) {
    case "accepted":
      return { kind: "accepted" }
    case "holdings":
      return { kind: "holdings", epoch, grants: answer.grants.map(parseGrant), announced }
    case "sealed":
      return { kind: "sealed", epoch, announced }
    default:
      return { kind: "refused", minimumEpoch: epoch }
  }
}
