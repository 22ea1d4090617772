import { expect } from "chai"
import fc from "fast-check"
import type { EngineState, HeldAdapter } from "@galenaway/core"
import { AdapterSlots } from "@galenaway/policy"

const SLOTS = 3

it("a load takes a free slot, then evicts what was used least recently", () => {
  const places = createPlaces(["a", "b", "c"])
  for (const [at, adapter] of ["b", "a", "c"].entries()) places.onUse(adapter, "i", 0, at)
  expect(places.planLoad("d", undefined, 1000)).to.deep.equal({ kind: "evict", victim: "b" })
})

it("an adapter in use is not evicted", () => {
  const places = createPlaces(["a", "b", "c"])
  for (const adapter of ["a", "b", "c"]) places.onUse(adapter, "i", 1, 0)
  expect(places.planLoad("d", undefined, 1000).kind).to.equal("full")
  places.onUse("c", "i", 0, 1000)
  expect(places.planLoad("d", undefined, 2000)).to.deep.equal({ kind: "evict", victim: "c" })
})

it("uses of an instance that is gone hold nothing", () => {
  const places = createPlaces(["a", "b", "c"])
  for (const adapter of ["a", "b", "c"]) places.onUse(adapter, "i", 1, 0)
  places.removeHolder("i")
  expect(places.planLoad("d", undefined, 1000).kind).to.equal("evict")
})

it("an unload that waits for requests counts as one order", () => {
  const places = createPlaces(["a"])
  places.onUnloadAccepted("a")
  places.onUnloadAccepted("a")
  places.onUnloaded("a")
  expect(places.sequence).to.equal(1)
})

it("an older version in use is left alone, an unused one makes way for the newer", () => {
  const places = createPlaces(["a"])
  places.onUse("a", "i", 1, 0)
  expect(places.planLoad("a", 2, 1000).kind).to.equal("in-use")
  places.onUse("a", "i", 0, 1000)
  expect(places.planLoad("a", 2, 2000)).to.deep.equal({ kind: "evict", victim: "a" })
})

it("orders without an answer hold one slot for each count that they name", () => {
  const places = createPlaces(["a"])
  places.onUnresolved(true, 0)
  places.onUnresolved(true, 0)
  expect(places.countTakenSlots(0)).to.equal(2)
  places.onLoadAccepted("b", undefined, 0)
  expect(places.countTakenSlots(0)).to.equal(2)
})

it("an order from before a restart holds a slot until it can't be carried out any more", () => {
  const places = createPlaces([])
  places.onLoadAccepted("a", undefined, 0)
  places.onUnresolved(true, 0)
  places.applyState(buildState([], 0), 10)
  expect(places.countTakenSlots(10)).to.equal(1)
  expect(places.countTakenSlots(20_000)).to.equal(0)
})

/** An engine that carries orders out at once, or leaves them unanswered and carries them out later. */
class LateEngine {
  readonly held = new Set<string>()
  most = 0
  private sequence = 0
  private readonly late: { readonly run: () => void; readonly expected: number }[] = []

  order(expected: number, isLate: boolean, run: () => void): boolean | undefined {
    if (isLate) {
      this.late.push({ run, expected })
      return undefined
    }
    return this.carryOut(expected, run)
  }

  carryOutLate(): void {
    const next = this.late.shift()
    if (next) this.carryOut(next.expected, next.run)
  }

  report(): EngineState {
    return buildState([...this.held], this.sequence)
  }

  private carryOut(expected: number, run: () => void): boolean {
    if (expected !== this.sequence) return false
    this.sequence++
    run()
    this.most = Math.max(this.most, this.held.size)
    return true
  }
}

it("no history of late orders takes more slots than there are", () => {
  const step = fc.record({
    adapter: fc.constantFrom("a", "b", "c", "d", "e", "f"),
    isLate: fc.boolean(),
    late: fc.nat(2),
  })
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 120 }), (steps) => {
      const engine = new LateEngine()
      const places = new AdapterSlots(SLOTS, SLOTS)
      let now = 0
      for (const { adapter, isLate, late } of steps) {
        now += 300
        takeStep(places, engine, adapter, isLate, now)
        for (let i = 0; i < late; i++) engine.carryOutLate()
      }
      expect(engine.most).to.be.at.most(SLOTS)
    }),
    { seed: 4, numRuns: 2000 },
  )
})

function takeStep(
  places: AdapterSlots,
  engine: LateEngine,
  adapter: string,
  isLate: boolean,
  now: number,
): void {
  const step = places.planLoad(adapter, undefined, now)
  if (step.kind === "load") {
    const answer = engine.order(places.sequence, isLate, () => engine.held.add(adapter))
    if (answer === undefined) places.onUnresolved(true, now)
    else if (answer) {
      places.onLoadAccepted(adapter, undefined, now)
      places.onArrived(adapter)
    } else places.applyState(engine.report(), now)
  } else if (step.kind === "evict") {
    const { victim } = step
    const answer = engine.order(places.sequence, isLate, () => engine.held.delete(victim))
    if (answer === undefined) places.onUnresolved(false, now)
    else if (answer) places.onUnloaded(victim)
    else places.applyState(engine.report(), now)
  }
}

function createPlaces(held: readonly string[]): AdapterSlots {
  const places = new AdapterSlots(SLOTS, SLOTS)
  places.applyState(buildState(held, 0), 0)
  return places
}

function buildState(held: readonly string[], sequence: number): EngineState {
  const adapters: HeldAdapter[] = held.map((adapter) => ({ adapter, version: 1 }))
  return { models: ["m"], adapters, arriving: [], sequence, isBusy: false }
}
