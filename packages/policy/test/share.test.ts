import { expect } from "chai"
import fc from "fast-check"
import {
  applyOwnership,
  computeLoadShare,
  createShareTables,
  DEFAULT_POLICY,
  type OwnedEndpoint,
  type OwnershipView,
  SHARE_VIEW_LIFETIME_MS,
  type ShareTables,
} from "@galenaway/policy"

const SEED = 7
const ENDPOINTS = ["e1", "e2", "e3", "e4"]
const OWNERS = ["i1", "i2", "i3"]
const READ_EVERY_MS = 100
const { loads } = DEFAULT_POLICY

/** A change of one endpoint's owner, `afterMs` after the previous change. */
interface Change {
  readonly afterMs: number
  readonly endpoint: number
  readonly owner: number
}

const changes = fc.array(
  fc.record({
    afterMs: fc.integer({ min: 1, max: 6000 }),
    endpoint: fc.nat(ENDPOINTS.length - 1),
    owner: fc.nat(OWNERS.length - 1),
  }),
  { minLength: 1, maxLength: 12, size: "max" },
)
/** The delay of each instance's view in milliseconds. */
const lags = fc.array(fc.integer({ min: 0, max: SHARE_VIEW_LIFETIME_MS - READ_EVERY_MS }), {
  minLength: OWNERS.length,
  maxLength: OWNERS.length,
})

function buildHistory(list: readonly Change[]): { readonly at: number; view: OwnershipView }[] {
  const ownerships: OwnedEndpoint[] = ENDPOINTS.map((endpoint) => ({
    endpoint,
    owner: "i1",
    epoch: 1,
    predecessors: [],
  }))
  const first = { dataCentre: "x", epoch: 1, members: [], ownerships: [...ownerships] }
  const history: { readonly at: number; view: OwnershipView }[] = [{ at: 0, view: first }]
  let at = 0
  list.forEach(({ afterMs, endpoint, owner }, index) => {
    at += afterMs
    const epoch = index + 2
    const before = ownerships[endpoint]
    const predecessors = before ? [...before.predecessors, before] : []
    const row = { endpoint: ENDPOINTS[endpoint] ?? "", owner: OWNERS[owner] ?? "", epoch }
    ownerships[endpoint] = { ...row, predecessors }
    history.push({ at, view: { ...first, epoch, ownerships: [...ownerships] } })
  })
  return history
}

/** Returns the highest sum of the instances' values over a history that each instance reads with its delay. */
function findHighestSum(
  list: readonly Change[],
  delays: readonly number[],
  compute: (tables: ShareTables, now: number) => number,
): number {
  const history = buildHistory(list)
  const end = (history.at(-1)?.at ?? 0) + 10_000
  const instances = OWNERS.map((owner) => createShareTables(owner, ENDPOINTS.length))
  let highest = 0
  for (let now = 0; now < end; now += READ_EVERY_MS) {
    let sum = 0
    instances.forEach((tables, index) => {
      const seen = history.findLast(({ at }) => at <= now - (delays[index] ?? 0))
      if (seen) applyOwnership(tables, seen.view, now)
      sum += compute(tables, now)
    })
    highest = Math.max(highest, sum)
  }
  return highest
}

function computeRate(tables: ShareTables, now: number): number {
  return computeLoadShare(tables, loads, now).ratePerSecond
}

function computeTransit(tables: ShareTables, now: number): number {
  return computeLoadShare(tables, loads, now).inTransit
}

/** Computes the rate without the hold-back time, to show that the property can fail. */
function computeRateWithoutDelay(tables: ShareTables): number {
  const owned = [...tables.documents.values()].flatMap(({ gains }) => [...gains.keys()]).length
  return (loads.ratePerSecond * owned) / ENDPOINTS.length
}

const tolerance = 1e-9

it("keeps the sum of load shares within the rate while views differ", () => {
  const property = fc.property(changes, lags, (list, delays) => {
    return findHighestSum(list, delays, computeRate) <= loads.ratePerSecond + tolerance
  })
  fc.assert(property, { seed: SEED, numRuns: 300 })
})

it("keeps the sum of loads in transit within the limit while views differ", () => {
  const property = fc.property(changes, lags, (list, delays) => {
    return findHighestSum(list, delays, computeTransit) <= loads.inTransit
  })
  fc.assert(property, { seed: SEED, numRuns: 300 })
})

it("exceeds the load rate without the hold-back time", () => {
  const property = fc.property(changes, lags, (list, delays) => {
    return findHighestSum(list, delays, computeRateWithoutDelay) <= loads.ratePerSecond + tolerance
  })
  expect(fc.check(property, { seed: SEED, numRuns: 300 }).failed).to.equal(true)
})

it("reaches the whole load rate when ownership is stable", () => {
  const tables = createShareTables("i1", ENDPOINTS.length)
  const last = buildHistory([{ afterMs: 1, endpoint: 0, owner: 0 }]).at(-1)
  for (let now = 0; now <= 4000; now += READ_EVERY_MS)
    if (last) applyOwnership(tables, last.view, now)
  expect(computeRate(tables, 4000)).to.equal(loads.ratePerSecond)
})

it("gives no load share for endpoints that load nothing", () => {
  const tables = createShareTables("i1", 1, (endpoint) => endpoint !== "s1")
  const ownerships = ["e1", "s1"].map((endpoint) => ({
    endpoint,
    owner: "i1",
    epoch: 1,
    predecessors: [],
  }))
  applyOwnership(tables, { dataCentre: "x", epoch: 1, members: [], ownerships }, 0)
  expect(computeRate(tables, 0)).to.equal(loads.ratePerSecond)
})

it("halves the load share while a predecessor may be paused", () => {
  const tables = createShareTables("i1", 1)
  const members = [{ phase: "suspect" as const }]
  const ownerships = [
    { endpoint: "e1", owner: "i1", epoch: 2, predecessors: [{ owner: "i2", epoch: 1 }] },
  ]
  const view = { dataCentre: "x", epoch: 2, members, ownerships }
  for (let now = 0; now <= 4000; now += READ_EVERY_MS) applyOwnership(tables, view, now)
  expect(computeRate(tables, 4000)).to.equal(loads.ratePerSecond / 2)
})
