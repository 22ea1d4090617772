import { expect } from "chai"
import { formatAdapter, type AdapterKey, type Grant } from "@galenaway/core"
import {
  canGrant,
  createOwner,
  updateOwner,
  type OwnerEffect,
  type OwnerEvent,
  type OwnerState,
  type Ownership,
  type Predecessor,
} from "@galenaway/coordination"

const X = formatAdapter({ base: "reef-8b", adapter: "x", version: "v1" })
const Y = formatAdapter({ base: "reef-8b", adapter: "y", version: "v1" })
const PREDECESSOR: Predecessor = { owner: "a", epoch: 1, witnesses: ["w1", "w2"] }

function createOwnership(epoch: number, predecessors: readonly Predecessor[] = []): Ownership {
  return { endpoint: "engine-0", owner: "b", epoch, witnesses: ["w1", "w2"], predecessors }
}

function applyAll(state: OwnerState, ...events: OwnerEvent[]): OwnerState {
  return events.reduce((before, event) => updateOwner(before, event).state, state)
}

function reportHoldings(
  member: string,
  announced: readonly [AdapterKey, number][] = [],
  grants: readonly Grant[] = [],
): OwnerEvent {
  const list = announced.map(([adapter, epoch]) => ({ adapter, epoch, announcement: 1 }))
  return { kind: "holdings-reported", member, epoch: 2, grants, announced: list }
}

function createGrant(adapter: AdapterKey, epoch: number): Grant {
  const id = `grant-${adapter}-${epoch}`
  return { id, request: id, endpoint: "engine-0", adapter, owner: "b", epoch }
}

const MEMBERS = ["b", "w1", "w2"]
const reports = MEMBERS.map((member) => reportHoldings(member))
const briefingReplies = MEMBERS.map((witness): OwnerEvent => ({
  kind: "witness-briefed",
  witness,
  epoch: 2,
}))
const createActive = () =>
  applyAll(
    createOwner(createOwnership(2), "ignored", MEMBERS).state,
    ...reports,
    ...briefingReplies,
  )
const takeOver = (predecessors = [PREDECESSOR], fencing: "checked" | "ignored" = "ignored") =>
  createOwner(createOwnership(2, predecessors), fencing, [...MEMBERS, "a"]).state
const acknowledge = (witness: string, announcement = 1): OwnerEvent => ({
  kind: "acknowledged",
  witness,
  adapter: X,
  epoch: 2,
  announcement,
})
const listKinds = (effects: readonly OwnerEffect[]) => effects.map(({ kind }) => kind)
const evictX: OwnerEvent = { kind: "eviction-wanted", adapter: X }

it("orders an eviction after the last acknowledgement", () => {
  const state = applyAll(createActive(), evictX, acknowledge("w1"), acknowledge("w2"))
  const { effects } = updateOwner(state, acknowledge("b"))
  expect(effects).to.deep.equal([{ kind: "unload", adapter: X, announcement: 1, fencingNumber: 2 }])
  expect(state.evictions.get(X)?.step).to.equal("announced")
})

it("blocks the eviction of a granted adapter", () => {
  const grant = createGrant(X, 2)
  const state = applyAll(createActive(), { kind: "granted", grant, holder: "w1" })
  expect(listKinds(updateOwner(state, evictX).effects)).to.deep.equal(["eviction-blocked"])
  const returned = applyAll(state, { kind: "grant-returned", grant: grant.id })
  expect(listKinds(updateOwner(returned, evictX).effects)).to.include("announce")
})

it("refuses a grant while the eviction is under way", () => {
  const state = applyAll(createActive(), evictX)
  const grant = createGrant(X, 2)
  expect(() => updateOwner(state, { kind: "granted", grant, holder: "w1" })).to.throw("evicted")
  expect([canGrant(state, X), canGrant(state, Y)]).to.deep.equal([false, true])
})

it("counts no acknowledgement of an earlier announcement", () => {
  const first = applyAll(createActive(), evictX, { kind: "eviction-abandoned", adapter: X })
  const state = applyAll(first, evictX, acknowledge("w1"), acknowledge("w2"), acknowledge("b"))
  expect(state.evictions.get(X)?.pendingWitnesses.size).to.equal(3)
})

it("grants after the report of one witness of the predecessor, except its suspects", () => {
  const before = takeOver()
  const after = applyAll(before, reportHoldings("w1", [[X, 1]]))
  expect([canGrant(before, Y), canGrant(after, Y), canGrant(after, X)]).to.deep.equal([
    false,
    true,
    false,
  ])
})

it("ignores the report of a member that is no witness of the predecessor", () => {
  expect(canGrant(applyAll(takeOver(), reportHoldings("b")), Y)).to.equal(false)
})

it("waits for a predecessor that is its own only witness", () => {
  const lone = takeOver([{ ...PREDECESSOR, witnesses: [] }])
  const reported = applyAll(lone, ...reports)
  const gone = applyAll(reported, { kind: "member-gone", member: "a" })
  expect([canGrant(reported, X), canGrant(gone, X)]).to.deep.equal([false, true])
})

it("keeps the suspects of each predecessor until it is gone", () => {
  const older = { ...PREDECESSOR, owner: "z", epoch: 0 }
  const state = applyAll(
    takeOver([older, PREDECESSOR]),
    reportHoldings("w1", [
      [X, 0],
      [Y, 1],
    ]),
  )
  const gone = applyAll(state, { kind: "member-gone", member: "a" })
  expect([...state.suspects].sort()).to.deep.equal([X, Y])
  expect([...gone.suspects]).to.deep.equal([X])
})

it("keeps a predecessor's suspects over a restart of the endpoint", () => {
  const state = applyAll(takeOver(), reportHoldings("w1", [[X, 1]]))
  expect(canGrant(applyAll(state, { kind: "endpoint-restarted" }), X)).to.equal(false)
})

it("clears suspects when the endpoint has accepted the fencing number", () => {
  const answer: OwnerEvent = { kind: "fence-answered", fencingNumber: 2, result: "done" }
  const state = applyAll(takeOver([PREDECESSOR], "checked"), answer, reportHoldings("w1", [[X, 1]]))
  const fenced = applyAll(state, answer)
  const restarted = applyAll(fenced, { kind: "endpoint-restarted" })
  expect([state, fenced, restarted].map((each) => canGrant(each, X))).to.deep.equal([
    false,
    true,
    false,
  ])
})

it("evicts nothing before every member has reported", () => {
  const state = applyAll(takeOver(), ...reports, ...briefingReplies)
  const { effects } = updateOwner(state, evictX)
  const gone = applyAll(state, { kind: "member-gone", member: "a" })
  expect(listKinds(effects)).to.deep.equal(["eviction-blocked"])
  expect(listKinds(updateOwner(gone, evictX).effects)).to.include("announce")
})

it("takes over no grant that was returned before its holder's report", () => {
  const grant = createGrant(X, 1)
  const state = applyAll(
    takeOver(),
    { kind: "grant-returned", grant: grant.id },
    reportHoldings("w2", [], [grant, createGrant(Y, 1)]),
  )
  expect([...state.grants.keys()]).to.deep.equal([createGrant(Y, 1).id])
})

it("keeps an adapter whose unload had no reply as a suspect until the restart", () => {
  const ordered = applyAll(createActive(), evictX, ...["w1", "w2", "b"].map((w) => acknowledge(w)))
  const lost = applyAll(ordered, {
    kind: "unload-answered",
    adapter: X,
    announcement: 1,
    result: "unresolved",
  })
  const early = applyAll(lost, { kind: "endpoint-restarted" })
  const confirmed = applyAll(early, { kind: "endpoint-confirmed" })
  const { state, effects } = updateOwner(confirmed, { kind: "endpoint-restarted" })
  expect([lost, early, state].map((each) => canGrant(each, X))).to.deep.equal([false, false, true])
  expect(listKinds(effects).filter((kind) => kind === "settle")).to.have.length(3)
})

it("sends new witnesses the ordered evictions before it announces more", () => {
  const ordered = applyAll(createActive(), evictX, ...["w1", "w2", "b"].map((w) => acknowledge(w)))
  const entry = { owner: "b", epoch: 2, witnesses: ["w1", "w2"] }
  const ownership = { ...createOwnership(3, [entry]), witnesses: ["w3", "w2"] }
  const members = ["b", "w2", "w3"]
  const { state, effects } = updateOwner(ordered, {
    kind: "ownership-changed",
    ownership,
    members,
  })
  const briefing = effects.find((effect) => effect.kind === "brief-witness")
  expect(briefing).to.deep.include({ epoch: 3, adapters: [X] })
  expect(state.pendingBriefings.size).to.equal(3)
})

it("requests a new epoch when a witness has sealed the current one", () => {
  const state = applyAll(createActive(), evictX)
  const { effects } = updateOwner(state, {
    kind: "announcement-refused",
    adapter: X,
    epoch: 2,
    announcement: 1,
    minimumEpoch: 2,
  })
  expect(listKinds(effects).slice(0, 2)).to.deep.equal(["eviction-blocked", "renewal-wanted"])
})

it("orders nothing after it is deposed", () => {
  const state = applyAll(createActive(), evictX, acknowledge("w1"), acknowledge("w2"))
  const ownership = { ...createOwnership(5), owner: "c" }
  const deposed = applyAll(state, { kind: "ownership-changed", ownership, members: MEMBERS })
  expect(updateOwner(deposed, acknowledge("b")).effects).to.deep.equal([])
  expect(canGrant(deposed, Y)).to.equal(false)
})
