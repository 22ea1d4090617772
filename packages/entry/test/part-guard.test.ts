import { expect } from "chai"
import type { Registration, RequestMetadata } from "@galenaway/core"
import { listRequestParts, PartGuard, type PartReport } from "@galenaway/entry"
import { createManualClock } from "@galenaway/fakes"
import { createMetrics } from "@galenaway/observe"
import type { PartState } from "@galenaway/routing"
import { ENGINE, log } from "./support.js"

const TEN_MINUTES_MS = 600_000
/** Longer than the guards of a sender and a receiver collect evidence. */
const BATCHES_MS = 100
const CALLER = "caller"
const FATAL = "fatal"
const PROMPT = [CALLER, FATAL]

it("ends that different instances saw are put together, and all instances refuse the part", async () => {
  const fleet = createFleet(3)
  for (const [index, { guard }] of fleet.members.entries()) {
    await endEngine(fleet, guard, `e${index}`)
    await settle(fleet)
  }
  for (const { guard } of fleet.members) {
    expect(guard.check(PROMPT)).to.deep.include({ kind: "quarantined", part: FATAL })
    expect(guard.check([CALLER])).to.deep.equal({ kind: "allowed" })
  }
  expect(fleet.stored.at(-1)).to.deep.equal({ part: FATAL, generation: 1, endCount: 3 })
})

it("a broken connection whose engine goes on is no evidence", async () => {
  const fleet = createFleet(1)
  fleet.isListening = true
  const [{ guard }] = fleet.members
  for (let i = 0; i < 5; i++) {
    await endEngine(fleet, guard, `e${i}`)
    await settle(fleet)
  }
  expect(guard.check(PROMPT)).to.deep.equal({ kind: "allowed" })
})

it("a suspected part is sent once at a time until an answer is sound", async () => {
  const fleet = createFleet(2)
  const [first, second] = fleet.members
  for (const id of ["e0", "e1"]) {
    await endEngine(fleet, first.guard, id)
    await settle(fleet)
  }
  for (const { guard } of [first, second]) {
    expect(guard.check(PROMPT)).to.deep.equal({ kind: "allowed" })
    const attempt = guard.start(ENGINE, PROMPT, () => undefined)
    expect(guard.check(PROMPT)).to.deep.equal({ kind: "suspected" })
    attempt.onEnd()
  }
  second.guard.start(ENGINE, PROMPT, () => undefined).onComplete()
  await settle(fleet)
  first.guard.start(ENGINE, PROMPT, () => undefined)
  expect(first.guard.check(PROMPT)).to.deep.equal({ kind: "allowed" })
})

it("requests that wait at engines are ended when their part is quarantined, other requests aren't", () => {
  const fleet = createFleet(1)
  const [{ guard }] = fleet.members
  const aborted: string[] = []
  guard.start(ENGINE, PROMPT, () => aborted.push("waiting"))
  guard.start(ENGINE, [CALLER], () => aborted.push("sound"))
  guard.onStored([{ part: FATAL, generation: 1, endCount: 3 }])
  expect(aborted).to.deep.equal(["waiting"])
})

it("an instance that starts waits for the stored states before it sends a prompt", () => {
  const fleet = createFleet(1, false)
  const [{ guard }] = fleet.members
  expect(guard.check(PROMPT)).to.deep.equal({ kind: "suspected" })
  expect(guard.check([])).to.deep.equal({ kind: "allowed" })
  guard.onStored([{ part: FATAL, generation: 1, endCount: 3 }])
  expect(guard.check(PROMPT)).to.deep.include({ kind: "quarantined" })
  const [{ guard: unread }] = createFleet(1, false).members
  expect(unread.check(PROMPT)).to.deep.equal({ kind: "suspected" })
})

it("an operator's release reaches all instances and the store", async () => {
  const fleet = createFleet(3)
  for (const { guard } of fleet.members)
    guard.onStored([{ part: FATAL, generation: 1, endCount: 3 }])
  expect(fleet.members[1].guard.clear(FATAL)).to.equal(true)
  expect(fleet.members[1].guard.clear(FATAL)).to.equal(false)
  await settle(fleet)
  for (const { guard } of fleet.members)
    expect(guard.check(PROMPT)).to.deep.equal({ kind: "allowed" })
  expect(fleet.stored.at(-1)).to.deep.include({ part: FATAL, generation: 2 })
})

it("one instance tries a quarantined part after its time, and a failed trial holds it longer", async () => {
  const fleet = createFleet(2)
  for (const { guard } of fleet.members)
    guard.onStored([{ part: FATAL, generation: 1, endCount: 3 }])
  await fleet.clock.advance(TEN_MINUTES_MS)
  const [tester, other] = fleet.members
  expect(other.guard.check(PROMPT)).to.deep.include({ kind: "quarantined" })
  expect(tester.guard.check(PROMPT)).to.deep.equal({ kind: "trial" })
  await endEngine(fleet, tester.guard, "e0")
  await settle(fleet)
  expect(other.guard.listHeld()).to.have.length(1)
  expect(other.guard.listHeld()[0]).to.deep.include({ generation: 3 })
  expect(tester.guard.check(PROMPT)).to.deep.include({ kind: "quarantined" })
})

it("a trial that is answered completely releases the part everywhere", async () => {
  const fleet = createFleet(2)
  for (const { guard } of fleet.members)
    guard.onStored([{ part: FATAL, generation: 1, endCount: 3 }])
  await fleet.clock.advance(TEN_MINUTES_MS)
  const [tester, other] = fleet.members
  expect(tester.guard.check(PROMPT)).to.deep.equal({ kind: "trial" })
  tester.guard.start(ENGINE, PROMPT, () => undefined).onComplete()
  await settle(fleet)
  expect(other.guard.check(PROMPT)).to.deep.equal({ kind: "allowed" })
})

it("an adapter whose requests end engines is held in that version only, and a caller can't name it as a part", () => {
  const facts = { adapter: "m/a", sharedParts: [{ id: "aa", tokens: 1 }] }
  const list = (version?: number) => listRequestParts(facts as unknown as RequestMetadata, version)
  expect(list(3)).to.deep.equal(["adapter:m/a@3", "aa"])
  const [{ guard }] = createFleet(1).members
  guard.onStored([{ part: "adapter:m/a@3", generation: 1, endCount: 3 }])
  expect(guard.check(list(3)).kind).to.equal("quarantined")
  expect(guard.check(list(4)).kind).to.equal("allowed")
})

it("long prompts and long ids don't grow the tables", () => {
  const sharedParts = Array.from({ length: 500 }, (_, index) => ({ id: `p${index}`, tokens: 1 }))
  sharedParts.push({ id: "x".repeat(500), tokens: 1 })
  const parts = listRequestParts({ sharedParts } as unknown as RequestMetadata, undefined)
  expect(parts.length).to.equal(63)
  expect(parts.at(-1)).to.equal("p499")
})

interface Member {
  readonly guard: PartGuard
}

/** Guards of several instances whose messages reach all others. The first one is the tester. */
function createFleet(count: number, isLoaded = true) {
  const clock = createManualClock()
  const members: Member[] = []
  const stored: PartState[] = []
  const fleet = { clock, stored, isListening: false, members: members as [Member, Member] }
  for (let index = 0; index < count; index++) {
    const listOthers = () => members.filter((_, other) => other !== index)
    const guard: PartGuard = new PartGuard({
      clock,
      log,
      metrics: createMetrics(clock),
      hasEnded: () => Promise.resolve(!fleet.isListening),
      sendReport: (report: PartReport) => {
        for (const other of listOthers()) other.guard.onReport(report)
      },
      publish: (states) => {
        for (const other of listOthers())
          other.guard.onPublished(`i${index}`, guard.listSuspects(), states)
      },
      store: (state) => stored.push(state),
      isTester: () => index === 0,
    })
    if (isLoaded) guard.onStored([])
    members.push({ guard })
  }
  return fleet
}

/** Lets an engine end while it begins to answer a prompt. */
async function endEngine(
  { clock }: ReturnType<typeof createFleet>,
  guard: PartGuard,
  id: string,
): Promise<void> {
  await clock.advance(100)
  const engine: Registration = { ...ENGINE, id }
  const attempt = guard.start(engine, PROMPT, () => undefined)
  attempt.onBroken()
  attempt.onEnd()
}

/** Waits until the guards have evaluated and sent what they have. */
async function settle({ clock }: ReturnType<typeof createFleet>): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, BATCHES_MS))
  await clock.advance(100)
}
