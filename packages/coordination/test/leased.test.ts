import { expect } from "chai"
import { encodeRevision } from "@galenaway/core"
import {
  computeAuthorityTimes,
  type LiveInstance,
  OrderAuthority,
  type OwnerRecord,
  planClaims,
  planHandovers,
  SuspensionDetector,
} from "@galenaway/coordination"

const LEASE_MS = 3000
const times = computeAuthorityTimes(LEASE_MS)
const engines = ["e1", "e2", "e3", "e4"].map((id) => ({ id, dataCentre: "dc" }))

it("instances with the same view claim every engine exactly once", () => {
  const live = ["a", "b", "c"].map((id) => buildInstance(id))
  const claims = live.flatMap((self) => planClaims(self, live, engines, new Map()))
  expect(claims.map(({ endpoint }) => endpoint).sort()).to.deep.equal(["e1", "e2", "e3", "e4"])
  const counts = live.map(({ id }) => claims.filter(({ owner }) => owner.id === id).length)
  expect(Math.max(...counts)).to.be.at.most(2)
})

it("a data centre has only as many owners as its engines need", () => {
  const live = [...Array(40).keys()].map((index) => buildInstance(`i${index}`))
  const many = [...Array(24).keys()].map((index) => ({ id: `e${index}`, dataCentre: "dc" }))
  const claims = live.flatMap((self) => planClaims(self, live, many, new Map()))
  expect(claims).to.have.length(24)
  expect(new Set(claims.map(({ owner }) => owner.id)).size).to.equal(3)
  const few = live.flatMap((self) => planClaims(self, live, many.slice(0, 4), new Map()))
  expect(new Set(few.map(({ owner }) => owner.id)).size).to.equal(2)
})

it("an engine stays with its owner while the owner is live", () => {
  const live = ["a", "b"].map((id) => buildInstance(id))
  const records = new Map(engines.map(({ id }) => [id, buildRecord(id, "b")]))
  expect(live.flatMap((self) => planClaims(self, live, engines, records))).to.deep.equal([])
})

it("a restarted process claims the engines of its earlier incarnation", () => {
  const self = buildInstance("a", "a2")
  const records = new Map([["e1", buildRecord("e1", "a")]])
  const claims = planClaims(self, [self], engines.slice(0, 1), records)
  expect(claims).to.deep.equal([{ endpoint: "e1", owner: self, before: records.get("e1") }])
})

it("an instance of the same data centre owns an engine if there is one", () => {
  const local = buildInstance("z", "z", "dc")
  const remote = buildInstance("a", "a", "elsewhere")
  expect(planClaims(remote, [local, remote], engines, new Map())).to.deep.equal([])
  expect(planClaims(local, [local, remote], engines, new Map())).to.have.length(4)
})

it("a stopping instance claims nothing and hands its engines over", () => {
  const self = { ...buildInstance("a"), isStopping: true }
  const other = buildInstance("b")
  const records = new Map(engines.map(({ id }) => [id, buildRecord(id, "a")]))
  expect(planClaims(self, [self, other], engines, records)).to.deep.equal([])
  const handovers = planHandovers(self, [self, other], engines, records)
  expect(handovers.map(({ owner }) => owner.id)).to.deep.equal(["b", "b", "b", "b"])
})

it("orders need a recently requested confirmation", () => {
  const { authority, records } = createAuthority()
  expect(authority.getToken("e1", 0)).to.equal(undefined)
  authority.confirm(records, 100)
  expect(authority.getToken("e1", 100 + times.confirmationValidMs - 1)).to.equal(7)
  expect(authority.getToken("e1", 100 + times.confirmationValidMs)).to.equal(undefined)
})

it("a successor's first order comes after the last of an owner that can't confirm", () => {
  const { authority, records } = createAuthority()
  const lastConfirmed = 1000
  authority.confirm(records, lastConfirmed)
  const claimedAt = lastConfirmed + 1
  const successor = new OrderAuthority(times)
  const claimed = { ...buildRecord("e1", "b"), revision: 8 }
  successor.add(claimed, false, claimedAt)
  let lastOrderEnds = 0
  let firstOrder = Infinity
  for (let now = lastConfirmed; now < claimedAt + 2 * LEASE_MS; now += 10) {
    successor.confirm(new Map([["e1", claimed]]), now)
    if (authority.getToken("e1", now) !== undefined) lastOrderEnds = now + times.orderTimeoutMs
    if (successor.getToken("e1", now) !== undefined) firstOrder = Math.min(firstOrder, now)
  }
  expect(lastOrderEnds).to.be.greaterThan(0)
  expect(firstOrder).to.be.greaterThan(lastOrderEnds)
})

it("a record that another process has written ends the ownership", () => {
  const { authority } = createAuthority()
  const lost = authority.confirm(new Map([["e1", { ...buildRecord("e1", "b"), revision: 8 }]]), 0)
  expect(lost).to.deep.equal(["e1"])
  expect(authority.getToken("e1", 0)).to.equal(undefined)
})

it("another instance's read confirms, an older read is ignored, a newer owner ends the ownership", () => {
  const { authority, records } = createAuthority()
  expect(authority.confirmByPeer(records, 0)).to.equal(true)
  expect(authority.getToken("e1", 1)).to.equal(7)
  const older = new Map([["e1", { ...buildRecord("e1", "z"), revision: 6 }]])
  expect(authority.confirmByPeer(older, 5000)).to.equal(false)
  expect(authority.confirmByPeer(new Map(), 5000)).to.equal(false)
  expect(authority.getToken("e1", 5001)).to.equal(undefined)
  const newer = new Map([["e1", { ...buildRecord("e1", "z"), revision: 8 }]])
  expect(authority.confirmByPeer(newer, 5000)).to.equal(true)
  expect(authority.getToken("e1", 5001)).to.equal(undefined)
})

it("in an outage the records of all other instances confirm, unless one has a newer owner", () => {
  const { authority, records } = createAuthority()
  expect(authority.confirmInOutage([records, new Map()], 100)).to.equal(true)
  expect(authority.getToken("e1", 101)).to.equal(7)
  const newer = new Map([["e1", { ...buildRecord("e1", "b"), revision: 8 }]])
  expect(authority.confirmInOutage([records, newer], 5000)).to.equal(false)
  expect(authority.getToken("e1", 5001)).to.equal(undefined)
})

it("a read that was sent before a claim doesn't end it", () => {
  const { authority } = createAuthority()
  const before = new Map([["e1", { ...buildRecord("e1", "z"), revision: 6 }]])
  expect(authority.confirm(before, 0)).to.deep.equal([])
  expect(authority.getToken("e1", 1)).to.equal(7)
})

it("a suspended process orders nothing before it has confirmed again", () => {
  const { authority, records } = createAuthority()
  authority.confirm(records, 0)
  authority.suspend()
  expect(authority.getToken("e1", 1)).to.equal(undefined)
  authority.confirm(records, 2)
  expect(authority.getToken("e1", 3)).to.equal(7)
})

it("an event loop gap, a suspended clock and a step of the wall clock are detected", () => {
  const clock = { mono: 0, wall: 1000 }
  const detector = new SuspensionDetector({ now: () => clock.mono, wallNow: () => clock.wall }, 250)
  const advance = (mono: number, wall: number) => {
    clock.mono += mono
    clock.wall += wall
    return detector.check()
  }
  expect(advance(25, 25)).to.equal(false)
  expect(advance(300, 300)).to.equal(true)
  expect(advance(25, 2025)).to.equal(true)
  expect(advance(25, 25)).to.equal(false)
  expect(advance(25, -1975)).to.equal(true)
})

function createAuthority() {
  const authority = new OrderAuthority(times)
  const record = buildRecord("e1", "a")
  authority.add(record, true, 0)
  return { authority, records: new Map([["e1", record]]) }
}

function buildInstance(id: string, incarnation = id, dataCentre = "dc"): LiveInstance {
  return { id, incarnation, dataCentre, isStopping: false }
}

function buildRecord(endpoint: string, owner: string): OwnerRecord {
  return {
    endpoint,
    owner,
    incarnation: owner,
    revision: 7,
    isHandedOver: false,
    isRestored: false,
  }
}

it("a record of an earlier era is valid until its last confirmation ends, and isn't confirmed again", () => {
  const { authority, records } = createAuthority()
  authority.confirm(records, 100)
  authority.freezeEarlier(1)
  expect(authority.listFrozen()).to.deep.equal(["e1"])
  const restored = { ...buildRecord("e1", "a"), revision: encodeRevision(1, 7), isRestored: true }
  expect(authority.confirm(new Map([["e1", restored]]), 1000)).to.deep.equal([])
  expect(authority.confirmByPeer(new Map([["e1", restored]]), 1000)).to.equal(true)
  expect(authority.confirmInOutage([records], 1000)).to.equal(true)
  expect(authority.getToken("e1", 100 + times.confirmationValidMs - 1)).to.equal(7)
  expect(authority.getToken("e1", 100 + times.confirmationValidMs)).to.equal(undefined)
})

it("an engine claimed again soon after its last confirmation gets orders without a pause, with a higher token", () => {
  const limit = times.takeOverMs - times.confirmationValidMs
  for (const claimedAfterMs of [limit - 1, limit]) {
    const { authority, records } = createAuthority()
    authority.confirm(records, 0)
    authority.freezeEarlier(1)
    const record = { ...buildRecord("e1", "a"), revision: encodeRevision(1, 5) }
    authority.renew(record, 9000, claimedAfterMs)
    authority.confirm(new Map([["e1", record]]), claimedAfterMs)
    const token = claimedAfterMs < limit ? record.revision : undefined
    expect(authority.getToken("e1", claimedAfterMs)).to.equal(token)
    authority.confirm(new Map([["e1", record]]), 9000)
    expect(authority.getToken("e1", 9000)).to.equal(record.revision)
    expect(record.revision).to.be.greaterThan(records.get("e1")?.revision ?? Infinity)
  }
})

it("an engine that was claimed shortly before the restore still waits for its takeover", () => {
  const authority = new OrderAuthority(times)
  authority.add(buildRecord("e1", "a"), false, 0)
  authority.confirm(new Map([["e1", buildRecord("e1", "a")]]), 0)
  authority.freezeEarlier(1)
  const record = { ...buildRecord("e1", "a"), revision: encodeRevision(1, 5) }
  authority.renew(record, 9000, 10)
  authority.confirm(new Map([["e1", record]]), times.takeOverMs)
  expect(authority.getToken("e1", times.takeOverMs - 1)).to.equal(undefined)
  expect(authority.getToken("e1", times.takeOverMs)).to.equal(record.revision)
})

it("a pause of the process ends the permission by a record of an earlier era too", () => {
  const { authority, records } = createAuthority()
  authority.confirm(records, 100)
  authority.freezeEarlier(1)
  authority.suspend()
  expect(authority.getToken("e1", 101)).to.equal(undefined)
})

it("a process claims a restored record of its own again, and leaves those of live owners", () => {
  const self = buildInstance("a")
  const restore = (owner: string) => ({ ...buildRecord("e1", owner), isRestored: true })
  const plan = (owner: string) =>
    planClaims(
      self,
      [self, buildInstance("b")],
      [{ id: "e1", dataCentre: "dc" }],
      new Map([["e1", restore(owner)]]),
    )
  expect(plan("a")).to.deep.equal([{ endpoint: "e1", owner: self, before: restore("a") }])
  expect(plan("b")).to.deep.equal([])
})
