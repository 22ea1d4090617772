import type { Millis } from "@galenaway/core"
import { expect } from "chai"
import { createRandom, QuotaFleet } from "./quota-fleet.js"

const INSTANCES = 66
const RATE_PER_S = 100_000
const QUOTA = { unit: "tokens", ratePerS: RATE_PER_S, burst: RATE_PER_S, plainTokens: 1 } as const
/** The slack isn't used. */
const BOUNDS = { windowMs: 8000, excess: 0.1, slack: 0 }
/** Time after which the first allocator grants everything. */
const START_MS = 10_000
const RUN_MS = 15_000
const STEP_MS = 10
const COSTS = [100, 1000, 4000]

/** Chooses the instance of a request by a random number and the time. */
type Arrival = (random: number, now: Millis) => number

const toOne: Arrival = () => 0
const spread: Arrival = (random) => Math.floor(random * INSTANCES)
const skewed: Arrival = (random) => Math.floor(random ** 3 * INSTANCES)
/** Four data centres of 16 instances each, one of which has all the load for 3 s. */
const moving: Arrival = (random, now) => (Math.floor(now / 3000) % 4) * 16 + Math.floor(random * 16)

/** Sends requests at a share of the quota. Returns the shares that were granted and refused. */
function measureUse(arrival: Arrival, load: number, meanCost: number) {
  const random = createRandom(5)
  const fleet = new QuotaFleet(INSTANCES, QUOTA, random, BOUNDS)
  fleet.advance(START_MS)
  let due = 0
  while (fleet.now < START_MS + RUN_MS) {
    fleet.advance(STEP_MS)
    due += (load * RATE_PER_S * STEP_MS) / 1000
    while (due >= meanCost) {
      due -= meanCost
      fleet.send(arrival(random(), fleet.now), meanCost * (0.5 + random()))
    }
  }
  const granted = fleet.granted.reduce((sum, { cost }) => sum + cost, 0)
  const quota = (RATE_PER_S * RUN_MS) / 1000
  const worstExcess = fleet.computeWorstExcess()
  return { granted: granted / quota, refused: fleet.refusedUnits / quota, worstExcess }
}

function checkPattern(arrival: Arrival): void {
  for (const cost of COSTS) {
    const within = measureUse(arrival, 0.95, cost)
    expect(within.refused, `refused of ${cost}`).to.be.at.most(0.001)
    const above = measureUse(arrival, 2, cost)
    expect(above.granted, `granted of ${cost}`).to.be.at.least(0.95)
    expect(above.worstExcess, `beyond the bound with ${cost}`).to.be.at.most(0)
  }
}

// Guards against shares that stay where the demand is no more.
it("a quota can be used at one instance", () => {
  checkPattern(toOne)
})

it("a quota can be used over 66 instances", () => {
  checkPattern(spread)
})

it("a quota can be used where a few instances have most of the demand", () => {
  checkPattern(skewed)
})

it("a quota can be used where the demand moves between data centres", () => {
  checkPattern(moving)
})

// Guards against a small account that is refused because each instance has too small a share for one request.
it("a quota of a few requests per second can be used over 66 instances", () => {
  const random = createRandom(2)
  const quota = { unit: "requests", ratePerS: 5, burst: 5, plainTokens: 1 } as const
  const fleet = new QuotaFleet(INSTANCES, quota, random, BOUNDS)
  fleet.advance(START_MS)
  for (let i = 0; i < 60; i++) {
    fleet.send(Math.floor(random() * INSTANCES), 1)
    fleet.advance(210)
  }
  expect(fleet.refusedUnits).to.equal(0)
  expect(fleet.granted).to.have.lengthOf(60)
})
