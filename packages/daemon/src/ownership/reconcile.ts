import type { DataCentre, EndpointId, Incarnation } from "@galenaway/core"
import {
  addMember,
  type Member,
  type OwnershipDocument,
  planOwnership,
  removeMember,
  removePredecessors,
  type ResolvedPredecessor,
  setMemberPhase,
} from "@galenaway/coordination"

/** The observed state that an ownership document should reflect. */
export interface ReconcileInput {
  /** This instance's entry with its intended phase, or undefined once it has left. */
  readonly self: Member | undefined
  readonly selfIncarnation: Incarnation
  /** The endpoints of the document's data centre. */
  readonly endpoints: readonly EndpointId[]
  /** Endpoints owned by this instance that need a new epoch. */
  readonly renewals: ReadonlySet<EndpointId>
  /** Predecessors to be removed, since their grants and orders are resolved. */
  readonly resolutions: readonly ResolvedPredecessor[]
  /** Whether a member's process has ended and none of its orders can be in flight. */
  canRemove(member: Member): boolean
  /** Whether a live member should be marked as suspect. */
  isSuspect(member: Member): boolean
  /**
   * Whether this instance may assign endpoints of a data centre in which no live
   * member runs.
   */
  canTakeOver(dataCentre: DataCentre): boolean
}

/**
 * Updates a document to the observed state: adds this instance as a member,
 * removes members that have ended, marks silent ones as suspect, and assigns
 * the endpoints to live members. Returns the same object if nothing changes.
 */
export function reconcileDocument(
  document: OwnershipDocument,
  input: ReconcileInput,
): OwnershipDocument {
  const author = input.selfIncarnation
  let next = reconcileSelfMember(document, input)
  for (const member of next.members) {
    if (member.incarnation === author) continue
    if (input.canRemove(member)) next = removeMember(next, member.incarnation, author)
    else if (member.phase === "live" && input.isSuspect(member))
      next = setMemberPhase(next, member.incarnation, "suspect", author)
  }
  next = removePredecessors(next, input.resolutions, author)
  if (!canPlanOwnership(next, input)) return next
  return planOwnership(next, input.endpoints, author, input.renewals)
}

function reconcileSelfMember(
  document: OwnershipDocument,
  input: ReconcileInput,
): OwnershipDocument {
  const { self, selfIncarnation } = input
  if (!self) return removeMember(document, selfIncarnation, selfIncarnation)
  const listed = document.members.find((each) => each.incarnation === selfIncarnation)
  if (!listed) return addMember(document, self)
  return listed.phase === self.phase
    ? document
    : setMemberPhase(document, selfIncarnation, self.phase, selfIncarnation)
}

/**
 * Endpoints are assigned to members of their own data centre. Members of other
 * data centres are eligible only if `canTakeOver` permits it.
 */
function canPlanOwnership(document: OwnershipDocument, input: ReconcileInput): boolean {
  const { dataCentre } = document
  const hasLocalMember = document.members.some(
    (member) => member.dataCentre === dataCentre && member.phase === "live",
  )
  return hasLocalMember || input.canTakeOver(dataCentre)
}
