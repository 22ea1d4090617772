import { expect } from "chai"
import {
  type Fleet,
  type FleetOptions,
  launchFleet,
  OPERATOR_KEY,
  readEngineTotals,
  runChurn,
} from "@galenaway/demo"

/** The time within which a change must be in force on every instance. */
const IN_FORCE_LIMIT_MS = 4000
/** The time after which a draining or leaving endpoint must get no new work. */
const LEAVING_DELAY_MS = 2000
/** The time after which an instance must have the platform's current list of endpoints. */
const LIST_LAG_MS = 1000
const POLL_INTERVAL_MS = 50

async function withFleet(
  options: Partial<FleetOptions>,
  run: (fleet: Fleet) => Promise<void>,
): Promise<void> {
  const fleet = await launchFleet({ port: 0, instances: 3, engines: 2, bookings: 1, ...options })
  try {
    await run(fleet)
  } finally {
    await fleet.setFault("platform", { down: false })
    await fleet.stop()
  }
}

function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

function callOperator(fleet: Fleet, instance: string, path: string, body?: unknown) {
  const url = fleet.instances.find(({ id }) => id === instance)?.operatorUrl ?? ""
  const headers = { authorization: `Bearer ${OPERATOR_KEY}`, "content-type": "application/json" }
  const options = body === undefined ? {} : { method: "POST", body: JSON.stringify(body) }
  return fetch(`${url}${path}`, { headers, ...options })
}

/** Drains engine-1 and returns the HTTP status of the response. */
async function drainEngine(fleet: Fleet): Promise<number> {
  const drain = { kind: "endpoint", target: "engine-1", reason: "repair", author: "ana", id: "c1" }
  return (await callOperator(fleet, "entry-1", "/v1/drain", drain)).status
}

async function readRevision(fleet: Fleet, instance: string): Promise<number> {
  const reply = await callOperator(fleet, instance, "/v1/configuration")
  return ((await reply.json()) as { revision: number }).revision
}

async function waitForRevision(fleet: Fleet, instance: string, limitMs: number): Promise<number> {
  const end = performance.now() + limitMs
  while ((await readRevision(fleet, instance)) === 0 && performance.now() < end)
    await waitMs(POLL_INTERVAL_MS)
  return readRevision(fleet, instance)
}

/** Counts the completions of engine-1 before and after a churn of 20 calls. */
async function countEngineCalls(fleet: Fleet): Promise<{ before: number; after: number }> {
  const endpoints = fleet.endpoints.filter(({ id }) => id === "engine-1")
  const count = async () => (await readEngineTotals({ ...fleet, endpoints })).completions
  const before = await count()
  const { correct } = await runChurn(fleet.url, { calls: 20, concurrency: 4, adapters: 4 })
  expect(correct).to.equal(20)
  return { before, after: await count() }
}

it("puts a change in force on an instance that is cut off from the platform", () =>
  withFleet({ hasPlatformLinks: true }, async (fleet) => {
    fleet.signal("link-entry-2", "SIGSTOP")
    await drainEngine(fleet)
    const revision = await waitForRevision(fleet, "entry-2", IN_FORCE_LIMIT_MS)
    fleet.signal("link-entry-2", "SIGCONT")
    expect(revision).to.equal(1)
  }))

it("a restarted instance has the configuration of its peers while the platform is down", () =>
  withFleet({}, async (fleet) => {
    await drainEngine(fleet)
    await fleet.setFault("platform", { down: true })
    fleet.signal("entry-3", "SIGKILL")
    await fleet.waitForEnd("entry-3")
    await fleet.restartInstance("entry-3")
    expect(await waitForRevision(fleet, "entry-3", IN_FORCE_LIMIT_MS)).to.equal(1)
  }))

it("a drained endpoint gets no new work", () =>
  withFleet({}, async (fleet) => {
    await runChurn(fleet.url, { calls: 8, concurrency: 4, adapters: 4 })
    expect(await drainEngine(fleet)).to.equal(200)
    await waitMs(LEAVING_DELAY_MS)
    const { before, after } = await countEngineCalls(fleet)
    expect(after).to.equal(before)
  }))

it("a drained endpoint gets no new work from its next owner", () =>
  withFleet({ instances: 2 }, async (fleet) => {
    await runChurn(fleet.url, { calls: 8, concurrency: 4, adapters: 4 })
    await drainEngine(fleet)
    fleet.signal("entry-1", "SIGKILL")
    await waitMs(LEAVING_DELAY_MS)
    const { before, after } = await countEngineCalls(fleet)
    expect(after).to.equal(before)
  }))

it("an endpoint that the platform lists as leaving gets no new work", () =>
  withFleet({}, async (fleet) => {
    await runChurn(fleet.url, { calls: 8, concurrency: 4, adapters: 4 })
    const listing = { id: "engine-1", dataCentre: "iloilo", phase: "leaving" }
    const body = JSON.stringify(listing)
    await fetch(`${fleet.platformUrl}/v1/catalog`, { method: "POST", body })
    await waitMs(LIST_LAG_MS + LEAVING_DELAY_MS)
    const { before, after } = await countEngineCalls(fleet)
    expect(after).to.equal(before)
  }))
