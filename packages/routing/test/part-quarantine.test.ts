import { expect } from "chai"
import fc from "fast-check"
import { PartQuarantine, type PartState } from "@galenaway/routing"

const SEED = 23
const TEN_MINUTES_MS = 600_000
const TRIAL_TIMEOUT_MS = 30_000

it("states merge to the same result in any order, as often as they come", () => {
  const state = fc.record({
    part: fc.constantFrom("a", "b"),
    generation: fc.integer({ min: 1, max: 6 }),
    endCount: fc.constant(3),
  })
  const list = (states: readonly PartState[]) => {
    const quarantine = new PartQuarantine()
    for (const next of states) quarantine.merge(next, 0)
    return ["a", "b"].map((part) => quarantine.has(part))
  }
  fc.assert(
    fc.property(fc.array(state, { maxLength: 12 }), (states) => {
      expect(list([...states].reverse().concat(states))).to.deep.equal(list(states))
    }),
    { seed: SEED, numRuns: 300 },
  )
})

it("an older quarantine doesn't come back after a release", () => {
  const quarantine = new PartQuarantine()
  const held = quarantine.add("a", 3, 0)
  quarantine.clear("a", 1)
  expect(quarantine.merge(held, 2)).to.equal(false)
  expect(quarantine.has("a")).to.equal(false)
  expect(quarantine.add("a", 3, 3).generation).to.equal(held.generation + 2)
})

it("a quarantined part is tried once after ten minutes, and later after each failed trial", () => {
  const quarantine = new PartQuarantine()
  quarantine.add("a", 3, 0)
  expect(quarantine.acquireTrial("a", TEN_MINUTES_MS - 1)).to.equal(false)
  expect(quarantine.acquireTrial("a", TEN_MINUTES_MS)).to.equal(true)
  expect(quarantine.acquireTrial("a", TEN_MINUTES_MS + TRIAL_TIMEOUT_MS - 1)).to.equal(false)
  quarantine.add("a", 1, TEN_MINUTES_MS)
  expect(quarantine.getTrialWait("a", TEN_MINUTES_MS)).to.equal(2 * TEN_MINUTES_MS)
})

it("the quarantine keeps a bounded number of parts, the released ones go first", () => {
  const quarantine = new PartQuarantine()
  quarantine.add("held", 3, 0)
  for (let i = 0; i < 300; i++) {
    quarantine.add(`p${i}`, 3, i)
    quarantine.clear(`p${i}`, i)
  }
  expect(quarantine.listStates().length).to.be.at.most(128)
  expect(quarantine.has("held")).to.equal(true)
})
