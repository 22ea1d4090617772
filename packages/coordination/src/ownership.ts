import type { EndpointId, Incarnation } from "@galenaway/core"
import { hashText } from "@galenaway/policy"
import type { Member, Ownership, OwnershipDocument, Predecessor } from "./document.js"
import { updateDocument } from "./membership.js"

/**
 * The number of members, besides the owner, that must acknowledge an eviction;
 * fewer if there are not enough members.
 */
export const WITNESS_COUNT = 2
/**
 * An owner has at most this many times the mean number of endpoints, or the
 * mean rounded up if that is more.
 */
const LOAD_FACTOR = 1.25

/**
 * Assigns an owner and witnesses to each endpoint of the document's data
 * centre. Owners are live members of the same data centre, or of any data
 * centre if that has none; witnesses are live members. Call it after each change of
 * membership, and with `renewals` for endpoints whose owner needs a new epoch.
 * Live owners keep their endpoints up to the load bound. Returns the same
 * document if nothing changes.
 */
export function planOwnership(
  document: OwnershipDocument,
  endpoints: readonly EndpointId[],
  author: Incarnation,
  renewals: ReadonlySet<EndpointId> = new Set(),
): OwnershipDocument {
  const live = document.members.filter(({ phase }) => phase === "live")
  if (live.length === 0) return document
  const owners = chooseOwners(document, endpoints, live)
  const epoch = document.epoch + 1
  const listed = new Set(endpoints)
  const before = new Map(document.ownerships.map((ownership) => [ownership.endpoint, ownership]))
  const planned = [...listed].flatMap((endpoint) => {
    const owner = owners.get(endpoint)
    if (owner === undefined) return []
    const plan = { endpoint, owner, epoch, isRenewed: renewals.has(endpoint) }
    return [planEndpoint(document, live, before.get(endpoint), plan)]
  })
  const unlisted = document.ownerships.filter(
    (ownership) => !listed.has(ownership.endpoint) && isRetained(document, ownership),
  )
  const ownerships = [...planned, ...unlisted]
  const isSame =
    ownerships.length === document.ownerships.length &&
    ownerships.every((ownership) => before.get(ownership.endpoint) === ownership)
  return isSame ? document : updateDocument(document, author, { ownerships })
}

/** Finds the ownership of an endpoint, undefined if the document has none. */
export function findOwnership(
  document: OwnershipDocument,
  endpoint: EndpointId,
): Ownership | undefined {
  return document.ownerships.find((ownership) => ownership.endpoint === endpoint)
}

interface EndpointPlan {
  readonly endpoint: EndpointId
  readonly owner: Incarnation
  readonly epoch: number
  readonly isRenewed: boolean
}

function planEndpoint(
  document: OwnershipDocument,
  live: readonly Member[],
  before: Ownership | undefined,
  plan: EndpointPlan,
): Ownership {
  const { endpoint, owner, epoch, isRenewed } = plan
  const others = live.filter(({ incarnation }) => incarnation !== owner)
  if (before?.owner === owner && !isRenewed && hasWitnesses(before, others)) return before
  const kept = before?.owner === owner ? before.witnesses : []
  return {
    endpoint,
    owner,
    epoch,
    witnesses: chooseWitnesses(document, endpoint, others, kept),
    predecessors: listPredecessors(document, before),
  }
}

function hasWitnesses({ witnesses }: Ownership, others: readonly Member[]): boolean {
  const isLive = (witness: Incarnation) => others.some(({ incarnation }) => incarnation === witness)
  return witnesses.length === Math.min(WITNESS_COUNT, others.length) && witnesses.every(isLive)
}

function chooseWitnesses(
  document: OwnershipDocument,
  endpoint: EndpointId,
  others: readonly Member[],
  kept: readonly Incarnation[],
): readonly Incarnation[] {
  const rankKept = ({ incarnation }: Member) => (kept.includes(incarnation) ? 0 : 1)
  const rankLocal = ({ dataCentre }: Member) => (dataCentre === document.dataCentre ? 0 : 1)
  return rankMembers(endpoint, others)
    .sort((a, b) => rankKept(a) - rankKept(b) || rankLocal(a) - rankLocal(b))
    .slice(0, WITNESS_COUNT)
    .map(({ incarnation }) => incarnation)
}

function listPredecessors(
  { members }: OwnershipDocument,
  before: Ownership | undefined,
): readonly Predecessor[] {
  if (!before) return []
  const { owner, epoch, witnesses, predecessors } = before
  const isMember = members.some(({ incarnation }) => incarnation === owner)
  return isMember ? [...predecessors, { owner, epoch, witnesses }] : predecessors
}

/**
 * Returns whether to keep the ownership of an unlisted endpoint. The endpoint may
 * be listed again, so its ownership stays while an order to it may be in flight.
 */
function isRetained({ members }: OwnershipDocument, { owner, predecessors }: Ownership): boolean {
  return predecessors.length > 0 || members.some(({ incarnation }) => incarnation === owner)
}

/**
 * Chooses owners by rendezvous hashing with bounded loads. Current owners keep
 * their endpoints up to the bound.
 */
function chooseOwners(
  document: OwnershipDocument,
  endpoints: readonly EndpointId[],
  live: readonly Member[],
): ReadonlyMap<EndpointId, Incarnation> {
  const local = live.filter(({ dataCentre }) => dataCentre === document.dataCentre)
  const candidates = local.length > 0 ? local : live
  const mean = endpoints.length / candidates.length
  const bound = Math.max(Math.ceil(mean), Math.floor(LOAD_FACTOR * mean))
  const owners = selectKeptOwners(document, endpoints, candidates, bound)
  const loads = new Map<Incarnation, number>()
  for (const owner of owners.values()) loads.set(owner, (loads.get(owner) ?? 0) + 1)
  for (const endpoint of endpoints.filter((id) => !owners.has(id)).sort()) {
    const hasCapacity = ({ incarnation }: Member) => (loads.get(incarnation) ?? 0) < bound
    const owner = rankMembers(endpoint, candidates).find(hasCapacity)?.incarnation
    if (owner === undefined) continue
    owners.set(endpoint, owner)
    loads.set(owner, (loads.get(owner) ?? 0) + 1)
  }
  return owners
}

function selectKeptOwners(
  document: OwnershipDocument,
  endpoints: readonly EndpointId[],
  candidates: readonly Member[],
  bound: number,
): Map<EndpointId, Incarnation> {
  const listed = new Set(endpoints)
  const kept = new Map<EndpointId, Incarnation>()
  for (const { incarnation } of candidates)
    document.ownerships
      .filter(({ owner, endpoint }) => owner === incarnation && listed.has(endpoint))
      .map(({ endpoint }) => endpoint)
      .sort((a, b) => scoreMember(b, incarnation) - scoreMember(a, incarnation))
      .slice(0, bound)
      .forEach((endpoint) => kept.set(endpoint, incarnation))
  return kept
}

function rankMembers(endpoint: EndpointId, members: readonly Member[]): Member[] {
  return members
    .map((member) => ({ member, score: scoreMember(endpoint, member.incarnation) }))
    .sort((a, b) => b.score - a.score || (a.member.incarnation < b.member.incarnation ? -1 : 1))
    .map(({ member }) => member)
}

function scoreMember(endpoint: EndpointId, incarnation: Incarnation): number {
  return hashText(`${endpoint} ${incarnation}`)
}
