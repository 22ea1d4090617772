import { expect } from "chai"
import fc from "fast-check"
import type { Fencing } from "@galenaway/core"
import { NAIVE_PROTOCOL, VARIANTS } from "./support/variants.js"
import { PROTOCOL, type Protocol, type SimulationStep } from "./support/protocol.js"
import { Simulation } from "./support/simulation.js"

const SEED = 20261204
const RUN_COUNT = 3000
const VARIANT_RUN_COUNT = 20_000
const MIN_STEP_COUNT = 100
const MAX_STEP_COUNT = 200
const NAMES = ["a", "b", "c", "d"]
const FENCINGS: readonly Fencing[] = ["ignored", "checked"]

// The current owner is listed twice, so that it takes more steps.
const instance = fc.constantFrom(...NAMES, "owner", "owner")
const message = fc.nat(50)
const frequentStepKind = fc.constantFrom(
  "grant",
  "load",
  "evict",
  "read",
  "retry",
  "time-out",
  "report",
)
const rareStepKind = fc.constantFrom("seal", "suspect", "recover", "lose-member", "join")
const step: fc.Arbitrary<SimulationStep> = fc.oneof(
  { weight: 14, arbitrary: fc.record({ kind: fc.constant("deliver" as const), message }) },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constantFrom("repeat" as const, "lose" as const), message }),
  },
  { weight: 7, arbitrary: fc.record({ kind: frequentStepKind, instance }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("end" as const), instance }) },
  { weight: 2, arbitrary: fc.record({ kind: rareStepKind, instance }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constantFrom("restart" as const, "renew" as const, "resolve" as const),
    }),
  },
)
interface History {
  readonly fencing: Fencing
  readonly members: readonly string[]
  readonly steps: readonly SimulationStep[]
}
const histories: fc.Arbitrary<History> = fc.record({
  fencing: fc.constantFrom(...FENCINGS),
  members: fc.constantFrom(["a"], ["a", "b"], NAMES),
  steps: fc.array(step, { minLength: MIN_STEP_COUNT, maxLength: MAX_STEP_COUNT, size: "max" }),
})

function runHistory(
  { fencing, members, steps }: History,
  protocol: Protocol = PROTOCOL,
): Simulation {
  const simulation = new Simulation(members, fencing, protocol)
  for (const each of steps) simulation.run(each)
  return simulation
}

it("evicts nothing in use over random histories", () => {
  let evictions = 0
  let uses = 0
  const property = fc.property(histories, (history) => {
    const simulation = runHistory(history)
    evictions += simulation.evictions
    uses += simulation.uses
    return simulation.violations === 0
  })
  fc.assert(property, { seed: SEED, numRuns: RUN_COUNT })
  expect(Math.min(evictions, uses)).to.be.greaterThan(0)
})

/** Random histories rarely find these faults; trace.test.ts covers them. */
const RARELY_FOUND = [
  "restart clears predecessors",
  "announcements without numbers",
  "fence not awaited",
]
const SEARCHED_VARIANTS = Object.entries({ ...VARIANTS, "naive owner": NAIVE_PROTOCOL }).filter(
  ([name]) => !RARELY_FOUND.includes(name),
)

for (const [name, protocol] of SEARCHED_VARIANTS)
  it(`finds an eviction in use with ${name}`, () => {
    let violations = 0
    const property = fc.property(histories, (history) => {
      violations += runHistory(history, protocol).violations
      return violations === 0
    })
    fc.check(property, { seed: SEED, numRuns: VARIANT_RUN_COUNT, endOnFailure: true })
    expect(violations).to.be.greaterThan(0)
  })
