import { expect } from "chai"
import fc from "fast-check"
import type { EngineState, HeldAdapter } from "@galenaway/core"
import { AdapterSlots } from "@galenaway/policy"

const SLOTS = 3

it("a load takes a free slot, then evicts what was used least recently", () => {
  const slots = createSlots(["a", "b", "c"])
  for (const [at, adapter] of ["b", "a", "c"].entries()) slots.onUse(adapter, "i", 0, at)
  expect(slots.planLoad("d", undefined, 1000)).to.deep.equal({ kind: "evict", victim: "b" })
})

it("an adapter in use is not evicted", () => {
  const slots = createSlots(["a", "b", "c"])
  for (const adapter of ["a", "b", "c"]) slots.onUse(adapter, "i", 1, 0)
  expect(slots.planLoad("d", undefined, 1000).kind).to.equal("full")
  slots.onUse("c", "i", 0, 1000)
  expect(slots.planLoad("d", undefined, 2000)).to.deep.equal({ kind: "evict", victim: "c" })
})

it("uses of a removed instance don't prevent an eviction", () => {
  const slots = createSlots(["a", "b", "c"])
  for (const adapter of ["a", "b", "c"]) slots.onUse(adapter, "i", 1, 0)
  slots.removeHolder("i")
  expect(slots.planLoad("d", undefined, 1000).kind).to.equal("evict")
})

it("an unload that waits for requests counts as one order", () => {
  const slots = createSlots(["a"])
  slots.onUnloadAccepted("a")
  slots.onUnloadAccepted("a")
  slots.onUnloaded("a")
  expect(slots.sequence).to.equal(1)
})

it("an older version in use is kept, an unused one is evicted for the newer", () => {
  const slots = createSlots(["a"])
  slots.onUse("a", "i", 1, 0)
  expect(slots.planLoad("a", 2, 1000).kind).to.equal("in-use")
  slots.onUse("a", "i", 0, 1000)
  expect(slots.planLoad("a", 2, 2000)).to.deep.equal({ kind: "evict", victim: "a" })
})

it("unanswered orders use one slot for each expected sequence", () => {
  const slots = createSlots(["a"])
  slots.onUnresolved(true, 0)
  slots.onUnresolved(true, 0)
  expect(slots.countTakenSlots(0)).to.equal(2)
  slots.onLoadAccepted("b", undefined, 0)
  expect(slots.countTakenSlots(0)).to.equal(2)
})

it("an unanswered order from before a restart uses a slot until the engine can no longer execute it", () => {
  const slots = createSlots([])
  slots.onLoadAccepted("a", undefined, 0)
  slots.onUnresolved(true, 0)
  slots.applyState(buildState([], 0), 10)
  expect(slots.countTakenSlots(10)).to.equal(1)
  expect(slots.countTakenSlots(20_000)).to.equal(0)
})

/** A simulated engine that executes orders at once, or leaves them unanswered and executes them later. */
class DelayedEngine {
  readonly held = new Set<string>()
  maxHeld = 0
  private sequence = 0
  private readonly delayed: { readonly run: () => void; readonly expected: number }[] = []

  order(expected: number, isLate: boolean, run: () => void): boolean | undefined {
    if (isLate) {
      this.delayed.push({ run, expected })
      return undefined
    }
    return this.execute(expected, run)
  }

  executeDelayed(): void {
    const next = this.delayed.shift()
    if (next) this.execute(next.expected, next.run)
  }

  report(): EngineState {
    return buildState([...this.held], this.sequence)
  }

  private execute(expected: number, run: () => void): boolean {
    if (expected !== this.sequence) return false
    this.sequence++
    run()
    this.maxHeld = Math.max(this.maxHeld, this.held.size)
    return true
  }
}

it("no history of delayed orders uses more slots than the engine has", () => {
  const step = fc.record({
    adapter: fc.constantFrom("a", "b", "c", "d", "e", "f"),
    isLate: fc.boolean(),
    delayedCount: fc.nat(2),
  })
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 120 }), (steps) => {
      const engine = new DelayedEngine()
      const slots = new AdapterSlots(SLOTS, SLOTS)
      let now = 0
      for (const { adapter, isLate, delayedCount } of steps) {
        now += 300
        applyStep(slots, engine, adapter, isLate, now)
        for (let i = 0; i < delayedCount; i++) engine.executeDelayed()
      }
      expect(engine.maxHeld).to.be.at.most(SLOTS)
    }),
    { seed: 4, numRuns: 2000 },
  )
})

type Misread = "none" | "accepted" | "already-done" | "conflict"
/** Which answers to loads may be late copies of earlier ones. */
type MisreadWhen = "always" | "nothing-unresolved"

// LIMIT: the late copy of an order's answer was taken for the answer to the next order.
it("misread answers to loads use no slot too many while every order is counted, otherwise they do", () => {
  expect(findExcess("nothing-unresolved")).to.equal(false)
  expect(findExcess("always")).to.equal(true)
})

/** Returns whether one of many random histories with misread answers uses more slots than the engine has. */
function findExcess(when: MisreadWhen): boolean {
  const step = fc.record({
    adapter: fc.constantFrom("a", "b", "c", "d", "e", "f"),
    isLate: fc.nat(3).map((value) => value === 0),
    delayedCount: fc.nat(2),
    misread: fc.constantFrom<Misread>("none", "none", "accepted", "already-done", "conflict"),
  })
  const property = fc.property(fc.array(step, { minLength: 20, maxLength: 120 }), (steps) => {
    const owner = new MisreadingOwner(when)
    for (const { adapter, isLate, delayedCount, misread } of steps) {
      owner.load(adapter, isLate, misread)
      for (let i = 0; i < delayedCount; i++) owner.engine.executeDelayed()
    }
    return owner.engine.maxHeld <= SLOTS
  })
  return fc.check(property, { seed: 5, numRuns: 4000 }).failed
}

/** An owner that reads some answers to its loads as others. */
class MisreadingOwner {
  readonly engine = new DelayedEngine()
  private readonly slots = new AdapterSlots(SLOTS, SLOTS)
  private isUncertain = false
  private now = 0

  constructor(private readonly when: MisreadWhen) {}

  load(adapter: string, isLate: boolean, misread: Misread): void {
    this.now += 300
    const { engine, slots, now } = this
    const plan = slots.planLoad(adapter, undefined, now)
    if (plan.kind !== "load" && plan.kind !== "evict") return
    const isLoad = plan.kind === "load"
    const isExecuted = engine.order(slots.sequence, isLate, () => {
      if (plan.kind === "load") engine.held.add(adapter)
      else engine.held.delete(plan.victim)
    })
    if (isExecuted === undefined) {
      this.isUncertain = true
      slots.onUnresolved(isLoad, now)
      return
    }
    const isShared = isLoad && (this.when === "always" || !this.isUncertain)
    if (!isShared) this.isUncertain = false
    const truth = isExecuted ? "accepted" : "conflict"
    const answer = isShared && misread !== "none" ? misread : truth
    if (answer === "conflict") slots.applyState(engine.report(), now)
    else if (plan.kind === "evict") slots.onUnloaded(plan.victim)
    else if (answer === "already-done") slots.onHeld(adapter, undefined)
    else {
      slots.onLoadAccepted(adapter, undefined, now)
      slots.onArrived(adapter)
    }
  }
}

function applyStep(
  slots: AdapterSlots,
  engine: DelayedEngine,
  adapter: string,
  isLate: boolean,
  now: number,
): void {
  const plan = slots.planLoad(adapter, undefined, now)
  if (plan.kind === "load") {
    const answer = engine.order(slots.sequence, isLate, () => engine.held.add(adapter))
    if (answer === undefined) slots.onUnresolved(true, now)
    else if (answer) {
      slots.onLoadAccepted(adapter, undefined, now)
      slots.onArrived(adapter)
    } else slots.applyState(engine.report(), now)
  } else if (plan.kind === "evict") {
    const { victim } = plan
    const answer = engine.order(slots.sequence, isLate, () => engine.held.delete(victim))
    if (answer === undefined) slots.onUnresolved(false, now)
    else if (answer) slots.onUnloaded(victim)
    else slots.applyState(engine.report(), now)
  }
}

function createSlots(held: readonly string[]): AdapterSlots {
  const slots = new AdapterSlots(SLOTS, SLOTS)
  slots.applyState(buildState(held, 0), 0)
  return slots
}

function buildState(held: readonly string[], sequence: number): EngineState {
  const adapters: HeldAdapter[] = held.map((adapter) => ({ adapter, version: 1 }))
  return { models: ["m"], adapters, arriving: [], sequence, isBusy: false }
}
