import type { DataCentre, EndpointId, Incarnation } from "@galenaway/core"
import type { Member, MemberPhase, Ownership, OwnershipDocument } from "./document.js"

/**
 * An earlier ownership that the endpoint's owner has resolved, so that the
 * document can omit it.
 */
export interface ResolvedPredecessor {
  readonly endpoint: EndpointId
  readonly epoch: number
}

/** Creates the first document of a data centre, without members or ownerships. */
export function createDocument(dataCentre: DataCentre): OwnershipDocument {
  return { dataCentre, epoch: 0, author: "", members: [], ownerships: [] }
}

/**
 * Adds a member, with the member itself as the author. Returns the same
 * document if it is already listed.
 */
export function addMember(document: OwnershipDocument, member: Member): OwnershipDocument {
  if (document.members.some(({ incarnation }) => incarnation === member.incarnation))
    return document
  return updateDocument(document, member.incarnation, { members: [...document.members, member] })
}

/**
 * Removes a member whose process is known to have ended, and its entries among
 * the predecessors. Returns the same document if it isn't listed.
 */
export function removeMember(
  document: OwnershipDocument,
  incarnation: Incarnation,
  author: Incarnation,
): OwnershipDocument {
  const members = document.members.filter((member) => member.incarnation !== incarnation)
  if (members.length === document.members.length) return document
  const ownerships = document.ownerships.map((ownership) =>
    filterPredecessors(ownership, ({ owner }) => owner !== incarnation),
  )
  return updateDocument(document, author, { members, ownerships })
}

/** Sets a member's phase. Returns the same document for an unknown member or an unchanged phase. */
export function setMemberPhase(
  document: OwnershipDocument,
  incarnation: Incarnation,
  phase: MemberPhase,
  author: Incarnation,
): OwnershipDocument {
  const before = document.members.find((member) => member.incarnation === incarnation)
  if (!before || before.phase === phase) return document
  const members = document.members.map((member) =>
    member === before ? { ...member, phase } : member,
  )
  return updateDocument(document, author, { members })
}

/**
 * Removes predecessors that the endpoint's owner has reported as resolved, to
 * keep the document small. Omitting this call is safe. Returns the same
 * document if no predecessor is removed.
 */
export function removePredecessors(
  document: OwnershipDocument,
  entries: readonly ResolvedPredecessor[],
  author: Incarnation,
): OwnershipDocument {
  const resolved = new Set(entries.map(({ endpoint, epoch }) => `${endpoint} ${epoch}`))
  const ownerships = document.ownerships.map((ownership) =>
    filterPredecessors(ownership, ({ epoch }) => !resolved.has(`${ownership.endpoint} ${epoch}`)),
  )
  const isSame = ownerships.every((ownership, index) => ownership === document.ownerships[index])
  return isSame ? document : updateDocument(document, author, { ownerships })
}

/** Applies a change and increments the epoch. */
export function updateDocument(
  document: OwnershipDocument,
  author: Incarnation,
  change: Partial<Pick<OwnershipDocument, "members" | "ownerships">>,
): OwnershipDocument {
  return { ...document, ...change, epoch: document.epoch + 1, author }
}

function filterPredecessors(
  ownership: Ownership,
  isKept: (predecessor: Ownership["predecessors"][number]) => boolean,
): Ownership {
  const predecessors = ownership.predecessors.filter(isKept)
  return predecessors.length === ownership.predecessors.length
    ? ownership
    : { ...ownership, predecessors }
}
