import { expect } from "chai"
import { UnreadySchedule, canMoveCallers, InstanceLoad, isOwnTurn } from "@galenaway/policy"
import { replayFleet } from "./fleet-replay.js"

const OBJECTIVE_MS = 500
const MEMBERS = Array.from({ length: 17 }, (_, index) => `entry-${index}`)
/** Processors of one data centre, 0.243 to 1.35 cores. */
const UNEVEN_CORES = Array.from({ length: 16 }, (_, index) => 0.243 + (index * 1.107) / 15)
const EQUAL_CORES = UNEVEN_CORES.map(() => 0.8)
const MAX_UNREADY_SHARE = 1 / 8
const UNEVEN_DEMAND = { demandShare: 0.45, swing: 0.55 }

function createLoad(latenessMs: number, utilization: number): InstanceLoad {
  const load = new InstanceLoad()
  for (let i = 0; i < 20; i++) load.record({ latenessMs, utilization }, OBJECTIVE_MS)
  return load
}

it("an instance is slow from a quarter of the objective, earlier when its processor is in use", () => {
  expect(createLoad(24, 0.5).isSlow).to.equal(false)
  expect(createLoad(26, 0.5).isSlow).to.equal(true)
  expect(createLoad(14, 0.95).isSlow).to.equal(true)
})

it("a slow instance isn't slow any more only when its delay has become small", () => {
  const load = createLoad(30, 0.5)
  const record = (latenessMs: number) => {
    for (let i = 0; i < 20; i++) load.record({ latenessMs, utilization: 0.5 }, OBJECTIVE_MS)
  }
  record(15)
  expect(load.isSlow).to.equal(true)
  record(5)
  expect(load.isSlow).to.equal(false)
})

// A process that was paused once would reject requests that it could serve in time.
it("a single late sample makes no instance slow, however late it is", () => {
  const load = createLoad(2, 0.5)
  load.record({ latenessMs: 10_000, utilization: 0.5 }, OBJECTIVE_MS)
  for (let i = 0; i < 20; i++) {
    expect(load.isSlow).to.equal(false)
    load.record({ latenessMs: 2, utilization: 0.5 }, OBJECTIVE_MS)
  }
})

it("requests are rejected only by a slow instance whose delay exceeds their objective", () => {
  expect(createLoad(90, 1).isTooSlowFor(OBJECTIVE_MS)).to.equal(false)
  expect(createLoad(110, 1).isTooSlowFor(OBJECTIVE_MS)).to.equal(true)
})

it("at most a quarter of the instances have their turn at once, and each has one", () => {
  for (let count = 4; count <= MEMBERS.length; count++) {
    const members = MEMBERS.slice(0, count)
    const seen = new Set<string>()
    for (let at = 0; at < 60_000; at += 50) {
      const turn = members.filter((id) => isOwnTurn(id, members, at))
      for (const id of turn) seen.add(id)
      expect(turn.length).to.be.at.most(count / 4)
    }
    expect(seen.size).to.equal(count)
  }
})

// Clocks that differ by less than two margins must not let two groups out at once.
it("turns don't overlap when clocks differ", () => {
  for (let at = 0; at < 60_000; at += 50) {
    const early = MEMBERS.filter((id) => isOwnTurn(id, MEMBERS, at))
    const late = MEMBERS.filter((id) => isOwnTurn(id, MEMBERS, at + 450))
    expect(new Set([...early, ...late]).size).to.be.at.most(MEMBERS.length / 4)
  }
})

it("no callers are moved when most instances are slow, or by one that isn't", () => {
  const most = { members: MEMBERS, slow: new Set(MEMBERS.slice(0, 9)) }
  const few = { members: MEMBERS, slow: new Set(MEMBERS.slice(0, 8)) }
  expect(canMoveCallers("entry-0", most)).to.equal(false)
  expect(canMoveCallers("entry-0", few)).to.equal(true)
  expect(canMoveCallers("entry-16", few)).to.equal(false)
})

it("an instance that is always slow is ready for more than seven eighths of the time", () => {
  const breaks = new UnreadySchedule("entry-0")
  const peers = { members: MEMBERS, slow: new Set(["entry-0"]) }
  let unready = 0
  const steps = 10_000
  for (let step = 0; step < steps; step++)
    if (breaks.update(peers, step * 100, step * 100)) unready++
  expect(unready).to.be.greaterThan(0)
  expect(unready / steps).to.be.lessThan(MAX_UNREADY_SHARE)
})

it("a break ends at once when most instances become slow", () => {
  const breaks = new UnreadySchedule("entry-0")
  const slow = new Set(["entry-0"])
  const startedAt = [...Array(600).keys()]
    .map((step) => step * 100)
    .find((at) => breaks.update({ members: MEMBERS, slow }, at, at))
  const at = (startedAt ?? 0) + 100
  expect(breaks.update({ members: MEMBERS, slow: new Set(MEMBERS) }, at, at)).to.equal(false)
})

it("replay: instances of unequal speed delay fewer than half as many requests as with even dealing only", () => {
  const before = replayFleet({ cores: UNEVEN_CORES, isAdaptive: false, ...UNEVEN_DEMAND })
  const after = replayFleet({ cores: UNEVEN_CORES, isAdaptive: true, ...UNEVEN_DEMAND })
  if (process.env.GALENAWAY_VERBOSE !== undefined) console.log(before, after)
  expect(after.lateShare + after.rejectedShare).to.be.lessThan(before.lateShare / 2)
  expect(after.maxUnreadyShare).to.be.lessThan(MAX_UNREADY_SHARE)
  expect(after.maxUnreadyCount).to.be.at.most(UNEVEN_CORES.length / 4)
})

// Deployments with equal instances and even demand must be served as before.
it("replay: with equal instances and even demand no caller is moved", () => {
  const options = { cores: EQUAL_CORES, demandShare: 0.5, swing: 0 }
  const before = replayFleet({ ...options, isAdaptive: false })
  const after = replayFleet({ ...options, isAdaptive: true })
  expect(after).to.deep.equal(before)
})

it("replay: an overload of all instances takes at most a quarter of them out at once", () => {
  const after = replayFleet({ cores: EQUAL_CORES, demandShare: 1.3, swing: 0, isAdaptive: true })
  expect(after.maxUnreadyCount).to.be.at.most(EQUAL_CORES.length / 4)
  expect(after.maxUnreadyShare).to.be.lessThan(MAX_UNREADY_SHARE)
})
