import { expect } from "chai"
import {
  addMember,
  createDocument,
  findOwnership,
  formatDocument,
  parseDocument,
  planOwnership,
  removeMember,
  removePredecessors,
  setMemberPhase,
  type Member,
  type OwnershipDocument,
} from "@galenaway/coordination"

const ENDPOINTS = Array.from({ length: 13 }, (_, index) => `engine-${index}`)
const LOAD_FACTOR = 1.25

function createMemberEntry(incarnation: string, dataCentre = "dc-1"): Member {
  const instance = `instance-${incarnation}`
  return { incarnation, instance, dataCentre, peerAddress: "127.0.0.1:1", phase: "live" }
}

function buildDocument(members: readonly Member[], endpoints = ENDPOINTS): OwnershipDocument {
  return planOwnership(members.reduce(addMember, createDocument("dc-1")), endpoints, "a")
}

const createThreeMembers = () => ["a", "b", "c"].map((name) => createMemberEntry(name))

it("plans no change for an unchanged membership", () => {
  const document = buildDocument(createThreeMembers())
  expect(planOwnership(document, ENDPOINTS, "b")).to.equal(document)
})

it("keeps every owner under the load bound", () => {
  const members = Array.from({ length: 7 }, (_, index) => createMemberEntry(`m${index}`))
  const document = members.reduce(
    (before, member) => planOwnership(addMember(before, member), ENDPOINTS, "a"),
    createDocument("dc-1"),
  )
  const loads = members.map(
    ({ incarnation }) => document.ownerships.filter(({ owner }) => owner === incarnation).length,
  )
  expect(Math.max(...loads)).to.be.at.most(Math.ceil((LOAD_FACTOR * 13) / 7))
  expect(document.ownerships).to.have.length(13)
})

it("moves only the endpoints of a member that is gone", () => {
  const before = buildDocument(createThreeMembers())
  const after = planOwnership(removeMember(before, "b", "a"), ENDPOINTS, "a")
  const moved = after.ownerships.filter(
    ({ endpoint, owner }) => findOwnership(before, endpoint)?.owner !== owner,
  )
  expect(moved.map(({ endpoint }) => findOwnership(before, endpoint)?.owner)).to.satisfy(
    (owners: string[]) => owners.length > 0 && owners.every((owner) => owner === "b"),
  )
  expect(after.ownerships.flatMap(({ predecessors }) => predecessors)).to.satisfy(
    (entries: { owner: string }[]) => entries.every(({ owner }) => owner !== "b"),
  )
})

it("keeps a suspect owner as predecessor through two successors", () => {
  const suspect = planOwnership(
    setMemberPhase(buildDocument([createMemberEntry("a")]), "a", "suspect", "b"),
    ENDPOINTS,
    "b",
  )
  const second = planOwnership(addMember(suspect, createMemberEntry("b")), ENDPOINTS, "b")
  const leaving = setMemberPhase(second, "b", "leaving", "b")
  const third = planOwnership(addMember(leaving, createMemberEntry("c")), ENDPOINTS, "c")
  const owners = third.ownerships[0]?.predecessors.map(({ owner }) => owner)
  expect([third.ownerships[0]?.owner, owners]).to.deep.equal(["c", ["a", "b"]])
})

it("replaces a suspect witness under a new epoch", () => {
  const members = ["a", "b", "c", "d"].map((name) => createMemberEntry(name))
  const before = buildDocument(members, ["engine-0"])
  const [witness = ""] = before.ownerships[0]?.witnesses ?? []
  const after = planOwnership(setMemberPhase(before, witness, "suspect", "a"), ["engine-0"], "a")
  expect(after.ownerships[0]?.witnesses).to.have.length(2).and.not.include(witness)
  expect(after.ownerships[0]?.epoch).to.equal(after.epoch)
  expect(after.ownerships[0]?.owner).to.equal(before.ownerships[0]?.owner)
})

it("prefers members of the endpoint's data centre", () => {
  const remote = buildDocument([createMemberEntry("x", "dc-2"), createMemberEntry("y", "dc-2")])
  const near = planOwnership(addMember(remote, createMemberEntry("a")), ENDPOINTS, "a")
  expect(new Set(remote.ownerships.map(({ owner }) => owner))).to.deep.equal(new Set(["x", "y"]))
  expect(new Set(near.ownerships.map(({ owner }) => owner))).to.deep.equal(new Set(["a"]))
})

it("renews the epoch of an endpoint on demand", () => {
  const before = buildDocument(createThreeMembers())
  const after = planOwnership(before, ENDPOINTS, "a", new Set(["engine-3"]))
  const changed = after.ownerships.filter((entry) => !before.ownerships.includes(entry))
  expect(changed.map(({ endpoint, epoch }) => [endpoint, epoch])).to.deep.equal([
    ["engine-3", before.epoch + 1],
  ])
})

it("keeps the ownership of an unlisted endpoint while its owner may act", () => {
  const before = buildDocument(createThreeMembers())
  const { owner = "" } = findOwnership(before, "engine-3") ?? {}
  const listed = ENDPOINTS.filter((endpoint) => endpoint !== "engine-3")
  const unlisted = planOwnership(before, listed, "a")
  const gone = planOwnership(removeMember(unlisted, owner, "a"), listed, "a")
  expect(findOwnership(unlisted, "engine-3")).to.equal(findOwnership(before, "engine-3"))
  expect(findOwnership(gone, "engine-3")).to.equal(undefined)
})

it("removes resolved predecessors", () => {
  const renewed = planOwnership(
    buildDocument(createThreeMembers()),
    ENDPOINTS,
    "a",
    new Set(["engine-3"]),
  )
  const { predecessors = [] } = findOwnership(renewed, "engine-3") ?? {}
  const [{ epoch } = { epoch: 0 }] = predecessors
  const after = removePredecessors(renewed, [{ endpoint: "engine-3", epoch }], "a")
  expect(findOwnership(after, "engine-3")?.predecessors).to.deep.equal([])
})

it("reads back a formatted document", () => {
  const document = buildDocument(createThreeMembers())
  expect(parseDocument(formatDocument(document))).to.deep.equal(document)
})

it("refuses a document of another shape", () => {
  const broken = { ...createDocument("dc-1"), epoch: -1 }
  expect(() => parseDocument(JSON.stringify(broken))).to.throw("malformed")
  expect(() => parseDocument("{")).to.throw("malformed")
})
