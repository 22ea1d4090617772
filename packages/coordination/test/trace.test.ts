import { expect } from "chai"
import type { Fencing } from "@galenaway/core"
import { VARIANTS } from "./support/variants.js"
import { RULES, type Rules } from "./support/steps.js"
import { World } from "./support/world.js"

/** The steps of a counterexample that the model checker gives for the variant of the same name. */
interface Trace {
  readonly variant: string
  readonly start?: readonly string[]
  readonly fencing?: Fencing
  readonly run: (world: World) => void
}

/** The owner decides an eviction, and stops before it sends the order. */
function decideEviction(world: World): void {
  world.run({ kind: "evict", who: "owner" })
  world.drain("eviction-announced")
  world.drain("acknowledged")
}

/** Another member becomes the owner and asks what its predecessor left. */
function succeed(world: World): string {
  world.run({ kind: "suspect", who: world.owner })
  world.run({ kind: "read", who: "owner" })
  return world.owner
}

function hearAll(world: World): void {
  for (const label of ["holdings-asked", "holdings-reported", "witness-briefed"]) world.drain(label)
}

function grantAndExecute(world: World): void {
  world.run({ kind: "grant", who: "owner" })
  world.drain("grant-arrived")
  world.drain("unload")
}

function grantAfterTakeOver(world: World): void {
  decideEviction(world)
  succeed(world)
  hearAll(world)
  grantAndExecute(world)
}

const TRACES: readonly Trace[] = [
  { variant: "no announcement", run: grantAfterTakeOver },
  {
    variant: "no acknowledgement",
    run: (world) => {
      world.run({ kind: "evict", who: "owner" })
      succeed(world)
      hearAll(world)
      grantAndExecute(world)
    },
  },
  {
    variant: "late grants",
    run: (world) => {
      world.run({ kind: "grant", who: "owner" })
      succeed(world)
      hearAll(world)
      decideEviction(world)
      world.drain("grant-arrived")
      world.drain("unload")
    },
  },
  {
    variant: "any witness",
    start: ["a", "b", "c", "d", "e"],
    run: (world) => {
      decideEviction(world)
      for (const who of world.document.ownerships[0]?.witnesses ?? [])
        world.run({ kind: "suspect", who })
      const successor = succeed(world)
      world.drain(`holdings-asked ${successor}>${successor}`)
      world.drain("holdings-reported")
      grantAndExecute(world)
    },
  },
  {
    variant: "time frees a pin",
    run: (world) => {
      world.run({ kind: "grant", who: "owner" })
      world.drain("grant-arrived")
      world.run({ kind: "retry", who: "owner" })
      decideEviction(world)
      world.drain("unload")
    },
  },
  {
    variant: "lone predecessor trusted",
    start: ["a"],
    run: (world) => {
      world.run({ kind: "join", who: "b" })
      decideEviction(world)
      succeed(world)
      for (const label of ["holdings-asked b>b", "holdings-reported"]) world.drain(label)
      grantAndExecute(world)
    },
  },
  { variant: "fence not awaited", fencing: "checked", run: grantAfterTakeOver },
  {
    variant: "restart clears predecessors",
    run: (world) => {
      decideEviction(world)
      succeed(world)
      hearAll(world)
      world.run({ kind: "restart" })
      world.run({ kind: "report", who: "owner" })
      world.run({ kind: "load", who: "owner" })
      grantAndExecute(world)
    },
  },
  {
    variant: "announcements without numbers",
    run: (world) => {
      const names = ["a", "b", "c"]
      world.run({ kind: "evict", who: "owner" })
      for (const name of names)
        world.run({ kind: "repeat", message: `eviction-announced ${world.owner}>${name}` })
      world.drain("eviction-announced")
      for (const name of names)
        world.run({ kind: "deliver", message: `acknowledged ${name}>${world.owner}` })
      for (const label of ["unload", "eviction-settled"]) world.drain(label)
      world.run({ kind: "load", who: "owner" })
      world.run({ kind: "evict", who: "owner" })
      world.drain("acknowledged")
      succeed(world)
      hearAll(world)
      grantAndExecute(world)
    },
  },
  {
    variant: "gone witness counted",
    run: (world) => {
      const [witness = ""] = world.document.ownerships[0]?.witnesses ?? []
      world.run({ kind: "seal", who: "owner" })
      world.drain(`seal-asked ${world.owner}>${witness}`)
      world.drain("use")
      world.run({ kind: "evict", who: "owner" })
      world.run({ kind: "lose-member", who: witness })
      for (const label of ["member-gone", "eviction-announced", "acknowledged", "unload"])
        world.drain(label)
    },
  },
  {
    variant: "no seal",
    run: (world) => {
      for (const who of ["a", "b", "c"]) world.run({ kind: "seal", who })
      world.drain("seal-asked")
      world.drain("use")
      decideEviction(world)
      world.drain("unload")
    },
  },
]

function countViolations(
  { start = ["a", "b", "c"], fencing = "ignored", run }: Trace,
  rules: Rules,
) {
  const world = new World(start, fencing, rules)
  run(world)
  return world.violations
}

for (const trace of TRACES)
  it(`refuses the counterexample of ${trace.variant}`, () => {
    const variant = VARIANTS[trace.variant] ?? RULES
    const counts = [countViolations(trace, variant), countViolations(trace, RULES)]
    expect(counts).to.deep.equal([1, 0])
  })
