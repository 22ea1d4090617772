import { expect } from "chai"
import type { Fencing } from "@galenaway/core"
import { VARIANTS } from "./support/variants.js"
import { PROTOCOL, type Protocol } from "./support/protocol.js"
import { Simulation } from "./support/simulation.js"

/** The steps of the model checker's counterexample for the variant of the same name. */
interface Trace {
  readonly variant: string
  readonly members?: readonly string[]
  readonly fencing?: Fencing
  readonly run: (simulation: Simulation) => void
}

/** Runs an eviction up to the owner's decision, before the order is sent. */
function decideEviction(simulation: Simulation): void {
  simulation.run({ kind: "evict", instance: "owner" })
  simulation.deliverAll("eviction-announced")
  simulation.deliverAll("acknowledged")
}

/** Replaces the owner by another member, which requests the holdings reports. Returns its name. */
function replaceOwner(simulation: Simulation): string {
  simulation.run({ kind: "suspect", instance: simulation.owner })
  simulation.run({ kind: "read", instance: "owner" })
  return simulation.owner
}

function deliverReports(simulation: Simulation): void {
  for (const label of ["holdings-asked", "holdings-reported", "witness-briefed"])
    simulation.deliverAll(label)
}

function grantAndExecute(simulation: Simulation): void {
  simulation.run({ kind: "grant", instance: "owner" })
  simulation.deliverAll("grant-arrived")
  simulation.deliverAll("unload")
}

function grantAfterTakeOver(simulation: Simulation): void {
  decideEviction(simulation)
  replaceOwner(simulation)
  deliverReports(simulation)
  grantAndExecute(simulation)
}

const TRACES: readonly Trace[] = [
  { variant: "no announcement", run: grantAfterTakeOver },
  {
    variant: "no acknowledgement",
    run: (simulation) => {
      simulation.run({ kind: "evict", instance: "owner" })
      replaceOwner(simulation)
      deliverReports(simulation)
      grantAndExecute(simulation)
    },
  },
  {
    variant: "late grants",
    run: (simulation) => {
      simulation.run({ kind: "grant", instance: "owner" })
      replaceOwner(simulation)
      deliverReports(simulation)
      decideEviction(simulation)
      simulation.deliverAll("grant-arrived")
      simulation.deliverAll("unload")
    },
  },
  {
    variant: "any witness",
    members: ["a", "b", "c", "d", "e"],
    run: (simulation) => {
      decideEviction(simulation)
      for (const instance of simulation.document.ownerships[0]?.witnesses ?? [])
        simulation.run({ kind: "suspect", instance })
      const successor = replaceOwner(simulation)
      simulation.deliverAll(`holdings-asked ${successor}>${successor}`)
      simulation.deliverAll("holdings-reported")
      grantAndExecute(simulation)
    },
  },
  {
    variant: "time frees a pin",
    run: (simulation) => {
      simulation.run({ kind: "grant", instance: "owner" })
      simulation.deliverAll("grant-arrived")
      simulation.run({ kind: "retry", instance: "owner" })
      decideEviction(simulation)
      simulation.deliverAll("unload")
    },
  },
  {
    variant: "lone predecessor trusted",
    members: ["a"],
    run: (simulation) => {
      simulation.run({ kind: "join", instance: "b" })
      decideEviction(simulation)
      replaceOwner(simulation)
      for (const label of ["holdings-asked b>b", "holdings-reported"]) simulation.deliverAll(label)
      grantAndExecute(simulation)
    },
  },
  { variant: "fence not awaited", fencing: "checked", run: grantAfterTakeOver },
  {
    variant: "restart clears predecessors",
    run: (simulation) => {
      decideEviction(simulation)
      replaceOwner(simulation)
      deliverReports(simulation)
      simulation.run({ kind: "restart" })
      simulation.run({ kind: "report", instance: "owner" })
      simulation.run({ kind: "load", instance: "owner" })
      grantAndExecute(simulation)
    },
  },
  {
    variant: "announcements without numbers",
    run: (simulation) => {
      const names = ["a", "b", "c"]
      simulation.run({ kind: "evict", instance: "owner" })
      for (const name of names)
        simulation.run({
          kind: "repeat",
          message: `eviction-announced ${simulation.owner}>${name}`,
        })
      simulation.deliverAll("eviction-announced")
      for (const name of names)
        simulation.run({ kind: "deliver", message: `acknowledged ${name}>${simulation.owner}` })
      for (const label of ["unload", "eviction-settled"]) simulation.deliverAll(label)
      simulation.run({ kind: "load", instance: "owner" })
      simulation.run({ kind: "evict", instance: "owner" })
      simulation.deliverAll("acknowledged")
      replaceOwner(simulation)
      deliverReports(simulation)
      grantAndExecute(simulation)
    },
  },
  {
    variant: "gone witness counted",
    run: (simulation) => {
      const [witness = ""] = simulation.document.ownerships[0]?.witnesses ?? []
      simulation.run({ kind: "seal", instance: "owner" })
      simulation.deliverAll(`seal-asked ${simulation.owner}>${witness}`)
      simulation.deliverAll("use")
      simulation.run({ kind: "evict", instance: "owner" })
      simulation.run({ kind: "lose-member", instance: witness })
      for (const label of ["member-gone", "eviction-announced", "acknowledged", "unload"])
        simulation.deliverAll(label)
    },
  },
  {
    variant: "no seal",
    run: (simulation) => {
      for (const instance of ["a", "b", "c"]) simulation.run({ kind: "seal", instance })
      simulation.deliverAll("seal-asked")
      simulation.deliverAll("use")
      decideEviction(simulation)
      simulation.deliverAll("unload")
    },
  },
]

function countViolations(
  { members = ["a", "b", "c"], fencing = "ignored", run }: Trace,
  protocol: Protocol,
) {
  const simulation = new Simulation(members, fencing, protocol)
  run(simulation)
  return simulation.violations
}

for (const trace of TRACES)
  it(`refuses the counterexample of ${trace.variant}`, () => {
    const variant = VARIANTS[trace.variant] ?? PROTOCOL
    const counts = [countViolations(trace, variant), countViolations(trace, PROTOCOL)]
    expect(counts).to.deep.equal([1, 0])
  })
