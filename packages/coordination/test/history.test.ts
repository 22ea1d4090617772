import { expect } from "chai"
import fc from "fast-check"
import type { Fencing } from "@galenaway/core"
import { NAIVE, VARIANTS } from "./support/variants.js"
import { RULES, type Rules, type Step } from "./support/steps.js"
import { World } from "./support/world.js"

const SEED = 20261204
const RUNS = 3000
const VARIANT_RUNS = 20_000
const MIN_STEPS = 100
const MAX_STEPS = 200
const NAMES = ["a", "b", "c", "d"]
const FENCINGS: readonly Fencing[] = ["ignored", "checked"]

const who = fc.constantFrom(...NAMES, "owner", "owner")
const message = fc.nat(50)
const own = fc.constantFrom("grant", "load", "evict", "read", "retry", "time-out", "report")
const rare = fc.constantFrom("seal", "suspect", "recover", "lose-member", "join")
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 14, arbitrary: fc.record({ kind: fc.constant("deliver" as const), message }) },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constantFrom("repeat" as const, "lose" as const), message }),
  },
  { weight: 7, arbitrary: fc.record({ kind: own, who }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("end" as const), who }) },
  { weight: 2, arbitrary: fc.record({ kind: rare, who }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constantFrom("restart" as const, "renew" as const, "resolve" as const),
    }),
  },
)
interface History {
  readonly fencing: Fencing
  readonly start: readonly string[]
  readonly steps: readonly Step[]
}
const histories: fc.Arbitrary<History> = fc.record({
  fencing: fc.constantFrom(...FENCINGS),
  start: fc.constantFrom(["a"], ["a", "b"], NAMES),
  steps: fc.array(step, { minLength: MIN_STEPS, maxLength: MAX_STEPS, size: "max" }),
})

function runHistory({ fencing, start, steps }: History, rules: Rules = RULES): World {
  const world = new World(start, fencing, rules)
  for (const each of steps) world.run(each)
  return world
}

it("evicts nothing in use over random histories", () => {
  let evictions = 0
  let uses = 0
  const property = fc.property(histories, (history) => {
    const world = runHistory(history)
    evictions += world.evictions
    uses += world.uses
    return world.violations === 0
  })
  fc.assert(property, { seed: SEED, numRuns: RUNS })
  expect(Math.min(evictions, uses)).to.be.greaterThan(0)
})

/** Random histories hardly meet these faults; the traces show them. */
const RARE = ["restart clears predecessors", "announcements without numbers", "fence not awaited"]
const SEARCHED = Object.entries({ ...VARIANTS, "naive owner": NAIVE }).filter(
  ([name]) => !RARE.includes(name),
)

for (const [name, rules] of SEARCHED)
  it(`finds an eviction in use with ${name}`, () => {
    let violations = 0
    const property = fc.property(histories, (history) => {
      violations += runHistory(history, rules).violations
      return violations === 0
    })
    fc.check(property, { seed: SEED, numRuns: VARIANT_RUNS, endOnFailure: true })
    expect(violations).to.be.greaterThan(0)
  })
