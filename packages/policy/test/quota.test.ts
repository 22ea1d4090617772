import { expect } from "chai"
import fc from "fast-check"
import { createRandom, QuotaFleet } from "./quota-fleet.js"

const QUOTA = { unit: "requests", ratePerS: 100, burst: 300, plainTokens: 1 } as const
/** Tighter than the default, so that a violation isn't hidden by what the bound allows. */
const BOUNDS = { windowMs: 8000, excess: 0.04, slack: 0 }
const INSTANCES = 4
const SLOW_PART = 0.02
/** Time after which the first allocator grants everything. */
const START_MS = 10_000
const MAX_STEP_MS = 5000
const RUNS = 500

const instance = fc.nat(INSTANCES - 1)
const step = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("senders" as const),
      senders: fc.oneof(fc.constant([0, 1, 2, 3]), fc.constant([]), fc.tuple(instance)),
      cost: fc.integer({ min: 1, max: 4 }),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("cut" as const), instance }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("pause" as const),
      instance,
      ms: fc.nat(15_000),
      isFrozen: fc.boolean(),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("restart" as const), instance }) },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant("owner" as const), waitMs: fc.nat(4000) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("quota" as const),
      factor: fc.constantFrom(0.25, 0.5, 1, 2),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("release" as const), count: fc.nat(200) }),
  },
)
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never

it("no window exceeds the bound whatever is cut, paused, restarted or changed", () => {
  const history = fc.record({
    seed: fc.integer(),
    steps: fc.array(fc.tuple(step, fc.nat(MAX_STEP_MS)), { minLength: 10, maxLength: 40 }),
  })
  fc.assert(
    fc.property(history, ({ seed, steps }) => {
      const fleet = new QuotaFleet(INSTANCES, QUOTA, createRandom(seed), BOUNDS, SLOW_PART)
      fleet.advance(START_MS)
      for (const [event, ms] of steps) {
        applyStep(fleet, event)
        fleet.advance(ms)
      }
      expect(fleet.computeWorstExcess()).to.be.at.most(0)
    }),
    { seed: 7, numRuns: RUNS },
  )
})

function applyStep(fleet: QuotaFleet, event: Step): void {
  switch (event.kind) {
    case "senders":
      fleet.flood(event.senders, event.cost)
      return
    case "cut":
      fleet.toggleCut(event.instance)
      return
    case "pause":
      fleet.pause(event.instance, event.ms, event.isFrozen)
      return
    case "restart":
      fleet.restart(event.instance)
      return
    case "owner":
      fleet.startAllocator(event.waitMs)
      return
    case "quota":
      fleet.setQuota({
        ...QUOTA,
        ratePerS: QUOTA.ratePerS * event.factor,
        burst: QUOTA.burst * event.factor,
      })
      return
    case "release":
      for (const request of fleet.granted.slice(-event.count)) request.release()
  }
}
