import { formatAdapter, type Grant } from "@galenaway/core"
import {
  addMember,
  createDocument,
  createMember,
  createOwner,
  formatDocument,
  planOwnership,
  removeMember,
  updateMember,
  updateOwner,
  type Member,
  type MemberState,
  type Ownership,
  type OwnerState,
  type OwnershipDocument,
} from "@galenaway/coordination"

/** Measures the time of each state update and ownership plan of the coordination package, at two fleet sizes. */
const NANOS_PER_MICRO = 1000
const WARM_UP_CALLS = 200
const ROUND_COUNT = 5
const SIZES = [
  { members: 4, endpoints: 16, calls: 2000, plans: 200 },
  { members: 330, endpoints: 940, calls: 2000, plans: 5 },
] as const
const HELD_GRANT_COUNT = 64
const HELD_ADAPTER = formatAdapter({ base: "reef-8b", adapter: "x", version: "v1" })
const EVICTED_ADAPTER = formatAdapter({ base: "reef-8b", adapter: "y", version: "v1" })

for (const size of SIZES) measureSize(size)

function measureSize({ members, endpoints, calls, plans }: (typeof SIZES)[number]): void {
  const document = createOwnershipDocument(members, endpoints)
  const [ownership] = document.ownerships
  if (!ownership) throw new Error("the document has no endpoint")
  const [, removedMember] = document.members
  const ids = document.ownerships.map(({ endpoint }) => endpoint)
  const owner = createOwnerWithGrants(ownership, document)
  const member = createMemberWithGrants(document)
  const grant = createGrant("grant-new", ownership)
  console.log(
    `${members} members, ${endpoints} endpoints, ${formatDocument(document).length} bytes`,
  )
  printCost("updateOwner, grant and return", calls, () => {
    const { state } = updateOwner(owner, { kind: "granted", grant, holder: "m1" })
    updateOwner(state, { kind: "grant-returned", grant: grant.id })
  })
  printCost("updateOwner, eviction announced", calls, () => {
    updateOwner(owner, { kind: "eviction-wanted", adapter: EVICTED_ADAPTER })
  })
  printCost("updateMember, grant and end", calls, () => {
    const { state } = updateMember(member, { kind: "grant-arrived", grant })
    updateMember(state, { kind: "grant-ended", endpoint: grant.endpoint, grant: grant.id })
  })
  printCost("planOwnership, nothing changed", plans, () => {
    planOwnership(document, ids, "m0")
  })
  printCost("planOwnership, a member gone", plans, () => {
    planOwnership(removeMember(document, removedMember?.incarnation ?? "", "m0"), ids, "m0")
  })
}

function printCost(name: string, calls: number, call: () => void): void {
  for (let index = 0; index < Math.min(calls, WARM_UP_CALLS); index++) call()
  const rounds = Array.from({ length: ROUND_COUNT }, () => measureMicros(calls, call)).sort(
    (a, b) => a - b,
  )
  const [best = 0] = rounds
  const median = rounds[Math.floor(ROUND_COUNT / 2)] ?? 0
  const worst = rounds.at(-1) ?? 0
  const figures = [best, median, worst].map((micros) => micros.toFixed(1).padStart(10)).join("")
  console.log(
    `  ${name.padEnd(34)}${figures}  µs a call (best, median, worst of ${ROUND_COUNT} rounds)`,
  )
}

function measureMicros(calls: number, call: () => void): number {
  const before = process.hrtime.bigint()
  for (let index = 0; index < calls; index++) call()
  return Number(process.hrtime.bigint() - before) / NANOS_PER_MICRO / calls
}

function createOwnershipDocument(members: number, endpoints: number): OwnershipDocument {
  const entries = Array.from({ length: members }, (_, index): Member => {
    const incarnation = `m${index}`
    const peerAddress = "10.0.0.1:7000"
    return { incarnation, instance: incarnation, dataCentre: "dc-1", peerAddress, phase: "live" }
  })
  const ids = Array.from({ length: endpoints }, (_, index) => `engine-${index}`)
  return planOwnership(entries.reduce(addMember, createDocument("dc-1")), ids, "m0")
}

function createOwnerWithGrants(ownership: Ownership, { members }: OwnershipDocument): OwnerState {
  const incarnations = members.map(({ incarnation }) => incarnation)
  const { epoch } = ownership
  const reported = incarnations.reduce(
    (state, member) =>
      updateOwner(state, { kind: "holdings-reported", member, epoch, grants: [], announced: [] })
        .state,
    createOwner(ownership, "checked", incarnations).state,
  )
  const briefed = [...ownership.witnesses, ownership.owner].reduce(
    (state, witness) => updateOwner(state, { kind: "witness-briefed", witness, epoch }).state,
    reported,
  )
  return Array.from({ length: HELD_GRANT_COUNT }, (_, index) =>
    createGrant(`grant-${index}`, ownership),
  ).reduce(
    (state, grant) => updateOwner(state, { kind: "granted", grant, holder: "m1" }).state,
    briefed,
  )
}

function createMemberWithGrants({ ownerships }: OwnershipDocument): MemberState {
  const seen = ownerships.reduce(
    (state, ownership) => updateMember(state, { kind: "ownership-seen", ownership }).state,
    createMember("m1"),
  )
  return ownerships
    .slice(0, HELD_GRANT_COUNT)
    .map((ownership, index) => createGrant(`held-${index}`, ownership))
    .reduce((state, grant) => updateMember(state, { kind: "grant-arrived", grant }).state, seen)
}

function createGrant(id: string, { endpoint, owner, epoch }: Ownership): Grant {
  return { id, request: id, endpoint, adapter: HELD_ADAPTER, owner, epoch }
}
