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

/** What an instance knows that an ownership document should reflect. */
export interface ReconcileInput {
  /** This instance, with the phase that it wants. Undefined once it has left. */
  readonly self: Member | undefined
  readonly selfIncarnation: Incarnation
  /** The endpoints of the document's data centre. */
  readonly endpoints: readonly EndpointId[]
  /** Endpoints of this instance that need a new epoch. */
  readonly renewals: ReadonlySet<EndpointId>
  /** Earlier ownerships that no longer matter. */
  readonly resolutions: readonly ResolvedPredecessor[]
  canRemove(member: Member): boolean
  isSuspect(member: Member): boolean
  /** Whether this instance may give the endpoints to a member of another data centre. */
  canTakeOver(dataCentre: DataCentre): boolean
}

/**
 * Brings a document in line with what this instance knows: itself as a
 * member, members that are gone taken out, silent ones suspected, endpoints
 * owned by live members. Returns the same document when it already is.
 */
export function reconcileDocument(
  document: OwnershipDocument,
  knowledge: ReconcileInput,
): OwnershipDocument {
  const author = knowledge.selfIncarnation
  let next = reconcileSelfMember(document, knowledge)
  for (const member of next.members) {
    if (member.incarnation === author) continue
    if (knowledge.canRemove(member)) next = removeMember(next, member.incarnation, author)
    else if (member.phase === "live" && knowledge.isSuspect(member))
      next = setMemberPhase(next, member.incarnation, "suspect", author)
  }
  next = removePredecessors(next, knowledge.resolutions, author)
  if (!canPlanOwnership(next, knowledge)) return next
  return planOwnership(next, knowledge.endpoints, author, knowledge.renewals)
}

function reconcileSelfMember(
  document: OwnershipDocument,
  knowledge: ReconcileInput,
): OwnershipDocument {
  const { self, selfIncarnation } = knowledge
  if (!self) return removeMember(document, selfIncarnation, selfIncarnation)
  const listed = document.members.find((each) => each.incarnation === selfIncarnation)
  if (!listed) return addMember(document, self)
  return listed.phase === self.phase
    ? document
    : setMemberPhase(document, selfIncarnation, self.phase, selfIncarnation)
}

/** Endpoints go to their own data centre's members; to another's only when none of their own is live for a while. */
function canPlanOwnership(document: OwnershipDocument, knowledge: ReconcileInput): boolean {
  const { dataCentre } = document
  const hasOwnMember = document.members.some(
    (member) => member.dataCentre === dataCentre && member.phase === "live",
  )
  return hasOwnMember || knowledge.canTakeOver(dataCentre)
}
