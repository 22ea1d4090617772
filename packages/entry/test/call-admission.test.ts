import { expect } from "chai"
import {
  type AdmissionOptions,
  type AdmissionOutcome,
  type Call,
  CallAdmission,
  chooseRetryAfterMs,
  type ForwardContext,
} from "@galenaway/entry"
import { createManualClock } from "@galenaway/fakes"
import { EndpointHealth, PaceTable } from "@galenaway/routing"
import { ENGINE } from "./support.js"

const OBJECTIVE_MS = 500
const CANDIDATE = { endpoint: ENGINE, waitMs: 0 }

it("a granted call is sent as one that can be on time, with what the engine has to read", async () => {
  const { admission } = createAdmission(() => ({ kind: "granted", unreadTokens: 700 }))
  expect(await admission.admit(CANDIDATE)).to.deep.equal({
    kind: "admitted",
    destination: { endpoint: ENGINE, waitMs: 0, isLate: false, unreadTokens: 700 },
  })
})

it("a call that three engines refused counts as late, and the least busy one is asked again", async () => {
  const waits = new Map([
    ["e1", 900],
    ["e2", 300],
    ["e3", 600],
  ])
  const { admission, asked } = createAdmission((id, { isLate }) =>
    isLate ? { kind: "granted" } : { kind: "refused", waitMs: waits.get(id) ?? 0 },
  )
  for (const id of waits.keys()) {
    expect(admission.isInTime(0)).to.equal(true)
    const result = await admission.admit({ endpoint: { ...ENGINE, id }, waitMs: 0 })
    expect(result.kind).to.equal("busy")
  }
  expect(admission.isInTime(0)).to.equal(false)
  const late = await admission.admitLate()
  expect(late).to.deep.include({ kind: "admitted" })
  expect(asked.at(-1)).to.equal("e2")
})

it("a call that can't be late either is overloaded, with the wait of the refusal", async () => {
  const { admission } = createAdmission(() => ({ kind: "refused", waitMs: 800 }))
  await admission.admit(CANDIDATE)
  expect(await admission.admitLate()).to.deep.equal({ kind: "overloaded", waitMs: 800 })
})

it("a call past its objective asks only as a late one", async () => {
  const { admission, asked, clock } = createAdmission(() => ({ kind: "granted" }))
  await clock.advance(OBJECTIVE_MS)
  expect(await admission.admit(CANDIDATE)).to.deep.equal({ kind: "busy" })
  expect(asked).to.deep.equal([])
  expect((await admission.admitLate()).kind).to.equal("admitted")
})

it("an adapter is in use while its call waits, and not after it", async () => {
  const { admission, uses } = createAdmission(() => {
    expect(uses).to.deep.equal(["add m/a"])
    return { kind: "granted" }
  })
  await admission.admit(CANDIDATE)
  expect(uses).to.deep.equal(["add m/a", "remove m/a"])
})

it("the wait of a refusal counts in the choice of an engine until it has passed", async () => {
  const { admission, health } = createAdmission(() => ({ kind: "refused", waitMs: 400 }))
  await admission.admit(CANDIDATE)
  expect([0, 300, 500].map((now) => health.getQueueWait("e", now))).to.deep.equal([400, 100, 0])
})

it("clients of an overloaded service return after the wait, spread, within a third of their time", () => {
  const choose = (waitMs: number, random: number) =>
    chooseRetryAfterMs(waitMs, OBJECTIVE_MS, 6000, random)
  expect(choose(600, 0)).to.equal(600)
  expect(choose(600, 0.5)).to.equal(900)
  expect(choose(0, 0)).to.equal(OBJECTIVE_MS / 2)
  expect(choose(5000, 0.5)).to.equal(2000)
})

function createAdmission(decide: (engine: string, options: AdmissionOptions) => AdmissionOutcome) {
  const clock = createManualClock()
  const health = new EndpointHealth()
  const uses: string[] = []
  const asked: string[] = []
  const context = {
    clock,
    health,
    paces: new PaceTable(),
    uses: {
      add: (_endpoint: string, adapter: string) => uses.push(`add ${adapter}`),
      remove: (_endpoint: string, adapter: string) => uses.push(`remove ${adapter}`),
    },
    links: {
      admit: (endpoint: string, options: AdmissionOptions) => {
        asked.push(endpoint)
        return Promise.resolve(decide(endpoint, options))
      },
    },
  }
  const call = {
    facts: { adapter: "m/a", promptTokens: 100 },
    route: { objectiveMs: OBJECTIVE_MS },
    priority: 0,
    service: "s",
    arrivedAt: 0,
    deadline: 6000,
  }
  const admission = new CallAdmission(context as unknown as ForwardContext, call as unknown as Call)
  return { admission, asked, uses, health, clock }
}
