import { expect } from "chai"
import { computeAuthorityTimes, OrderAuthority, SuspensionDetector } from "@galenaway/coordination"
import {
  FLEET_PREFIX,
  formatInstance,
  formatInstanceKey,
  formatOwner,
  formatOwnerKey,
  Ownership,
  PeerLinks,
  type PeerLinksDependencies,
  type RegisteredInstance,
} from "@galenaway/entry"
import { createManualClock, LeaseStore, type ManualClock } from "@galenaway/fakes"
import { log } from "./support.js"

const MICROTASK_TURN_COUNT = 50
const LEASE_MS = 3000
const STARTUP_DELAY_MS = 2500
/** Longer than the gap between two checks that doesn't count as a pause. */
const PAUSE_MS = 1000
/** Time after which ownership is confirmed again, and the interval at which that is checked, with a margin. */
const CONFIRM_INTERVAL_MS = 1000
const CONFIRM_POLL_MS = 200
/** Time after which an owner that isn't listed counts as gone. */
const FORGET_OWNER_MS = 400

it("a restarted instance reclaims only its own engine before it is listed", async () => {
  const { ownership, store, gained } = createOwnership()
  await putOwner(store, "own", buildInstance("i", "earlier"))
  await putOwner(store, "other", buildInstance("j", "j1"))
  ownership.start()
  await runMicrotasks()
  ownership.stop()
  expect(gained).to.deep.equal(["own"])
  expect(ownership.getToken("own")).to.equal(undefined)
  expect(ownership.findOwner("other")).to.equal(undefined)
})

it("an instance that stops last keeps its engines until another one can take them", async () => {
  const { ownership, store, gained, lost } = createOwnership()
  await putOwner(store, "own", buildInstance("i", "earlier"))
  await putInstance(store, { ...buildInstance("j", "j1"), isStopping: true })
  ownership.start()
  await runMicrotasks()
  expect(gained).to.deep.equal(["own"])
  const handover = ownership.handOver()
  await runMicrotasks()
  expect(lost).to.deep.equal([])
  await putInstance(store, buildInstance("j", "j2"))
  ownership.readNow()
  await handover
  expect(lost).to.deep.equal(["own"])
  expect(ownership.findOwner("own")?.incarnation).to.equal("j2")
  ownership.stop()
})

// Each instance without engines would read the store whenever its event loop is late.
it("an instance that owns no engine confirms nothing after a pause", async () => {
  const { ownership, store, clock } = createOwnership()
  const prefixes: string[] = []
  const readRange = store.readRange.bind(store)
  store.readRange = (prefix) => {
    prefixes.push(prefix)
    return readRange(prefix)
  }
  await clock.advance(PAUSE_MS)
  ownership.start()
  await runMicrotasks()
  ownership.stop()
  expect(prefixes).to.deep.equal([FLEET_PREFIX])
})

for (const isHandedOver of [false, true])
  it(`an engine is handed over for use at once only after this instance's own wait as a new owner, waited ${String(isHandedOver)}`, async () => {
    const { ownership, store, gained, clock } = createOwnership()
    await putOwner(store, "own", buildInstance("k", "k1"))
    await pollAfterStartup(ownership, clock)
    expect(gained).to.include("own")
    await putInstance(store, buildInstance("j", "j1"))
    // The claim was written before the last wait for an owner that is gone.
    const restMs = LEASE_MS - FORGET_OWNER_MS
    await clock.advance(isHandedOver ? restMs : restMs - 1)
    ownership.readNow()
    await runMicrotasks()
    await ownership.handOver()
    ownership.stop()
    const { items } = await store.readRange(formatOwnerKey("own"))
    expect(items[0]?.value).to.deep.equal(formatOwner(buildInstance("j", "j1"), isHandedOver, 0))
  })

it("an instance that ends before another one can take its engines stops waiting", async () => {
  const { ownership, store, lost } = createOwnership()
  await putOwner(store, "own", buildInstance("i", "earlier"))
  ownership.start()
  await runMicrotasks()
  const handover = ownership.handOver()
  await runMicrotasks()
  ownership.stop()
  await handover
  expect(lost).to.deep.equal([])
})

it("an owner record that can't be parsed is replaced and delays no other claim", async () => {
  const { ownership, store, gained, clock } = createOwnership()
  store.put(formatOwnerKey("own"), "[".repeat(100))
  await pollAfterStartup(ownership, clock)
  ownership.stop()
  expect(gained).to.have.members(["own", "other"])
  const { items } = await store.readRange(formatOwnerKey("own"))
  expect(items[0]?.value).to.deep.equal(formatOwner(buildInstance("i", "now"), false, 0))
})

it("an owner record whose revision can't be read delays no other claim", async () => {
  const { ownership, store, gained, clock } = createOwnership()
  store.put(formatOwnerKey("own"), "x")
  const readRange = store.readRange.bind(store)
  store.readRange = async (prefix) => {
    const { items, revision } = await readRange(prefix)
    const isOwn = (key: string) => key === formatOwnerKey("own")
    const undecodable = { value: Buffer.alloc(0), revision: 0 }
    return {
      items: items.map((item) => (isOwn(item.key) ? { ...item, ...undecodable } : item)),
      revision,
    }
  }
  await pollAfterStartup(ownership, clock)
  ownership.stop()
  expect(gained).to.deep.equal(["other"])
})

it("an instance whose address can't be connected to is no peer, and stops no claims", async () => {
  const { ownership, store, gained, clock } = createOwnership()
  const addresses = ["", "127.0.0.1:99999", "http://127.0.0.1:1", "127.0.0.1"]
  for (const [index, peerAddress] of addresses.entries()) {
    const odd = { ...buildInstance(`odd-${String(index)}`, "odd"), peerAddress }
    await putInstance(store, odd)
    await putOwner(store, `engine-${String(index)}`, odd)
  }
  const deps = { self: "i", ownership, clock, log, owner: {}, handlers: {} }
  const links = new PeerLinks(deps as unknown as PeerLinksDependencies)
  await pollAfterStartup(ownership, clock)
  ownership.stop()
  links.stop()
  expect(gained).to.have.members(["own", "other"])
  expect([...ownership.instances.keys()]).to.deep.equal([])
})

it("after a restore an owner claims its engines again, and others wait before they take over", async () => {
  const { ownership, store, gained, lost, clock } = createOwnership()
  await putOwner(store, "own", buildInstance("i", "earlier"))
  ownership.start()
  await runMicrotasks()
  expect(gained).to.deep.equal(["own"])
  const copy = store.takeCopy()
  await putOwner(store, "other", buildInstance("j", "j1"))
  store.restore(copy)
  await runMicrotasks()
  const { items } = await store.readRange(formatOwnerKey("own"))
  expect(items[0]?.value).to.deep.equal(formatOwner(buildInstance("i", "now"), false, 1))
  ownership.readNow()
  await runMicrotasks()
  expect((await store.readRange(formatOwnerKey("other"))).items).to.deep.equal([])
  await clock.advance(STARTUP_DELAY_MS)
  ownership.readNow()
  await runMicrotasks()
  ownership.stop()
  expect(gained).to.deep.equal(["own", "other"])
  expect(lost).to.deep.equal([])
})

it("an owner whose claim a restore has lost doesn't replace a claim that another instance made since", async () => {
  const { ownership, store, gained, lost, clock } = createOwnership()
  await putOwner(store, "own", buildInstance("i", "earlier"))
  const copy = store.takeCopy()
  ownership.start()
  await runMicrotasks()
  expect(gained).to.deep.equal(["own"])
  store.restore(copy)
  await putOwner(store, "own", buildInstance("j", "j1"), 1)
  await runMicrotasks()
  await clock.advance(CONFIRM_INTERVAL_MS)
  await new Promise((resolve) => setTimeout(resolve, CONFIRM_POLL_MS))
  ownership.stop()
  expect(lost).to.deep.equal(["own"])
  const { items } = await store.readRange(formatOwnerKey("own"))
  expect(items[0]?.value).to.deep.equal(formatOwner(buildInstance("j", "j1"), false, 1))
})

/** Starts reading and claiming, and waits until claims after the startup delay are written. */
async function pollAfterStartup(ownership: Ownership, clock: ManualClock): Promise<void> {
  ownership.start()
  await runMicrotasks()
  for (const ms of [STARTUP_DELAY_MS, FORGET_OWNER_MS]) {
    await clock.advance(ms)
    ownership.readNow()
    await runMicrotasks()
  }
}

function createOwnership() {
  const clock = createManualClock()
  const store = new LeaseStore(() => clock.now())
  const ownership = new Ownership(buildInstance("i", "now"), {
    store,
    authority: new OrderAuthority(computeAuthorityTimes(LEASE_MS)),
    suspension: new SuspensionDetector(clock, 250),
    clock,
    log,
    listEngines: () => ["own", "other"].map((id) => ({ id, dataCentre: "dc" })),
    isAlive: () => false,
    getReadConsistency: () => "stale",
    onStated: () => undefined,
    fetchOwnerReports: () => Promise.resolve([]),
    onListed: () => undefined,
    onParts: () => undefined,
  })
  const gained: string[] = []
  const lost: string[] = []
  ownership.on("gained", (endpoint) => gained.push(endpoint))
  ownership.on("lost", (endpoint) => lost.push(endpoint))
  return { ownership, store, clock, gained, lost }
}

function buildInstance(id: string, incarnation: string): RegisteredInstance {
  return { id, incarnation, dataCentre: "dc", peerAddress: "127.0.0.1:1", isStopping: false }
}

async function putOwner(
  store: LeaseStore,
  endpoint: string,
  owner: RegisteredInstance,
  era = 0,
): Promise<void> {
  const put = { key: formatOwnerKey(endpoint), value: formatOwner(owner, false, era) }
  await store.runTransaction({ conditions: [], puts: [put], removals: [] })
}

async function putInstance(store: LeaseStore, instance: RegisteredInstance): Promise<void> {
  const put = { key: formatInstanceKey(instance.id), value: formatInstance(instance) }
  await store.runTransaction({ conditions: [], puts: [put], removals: [] })
}

async function runMicrotasks(): Promise<void> {
  for (let i = 0; i < MICROTASK_TURN_COUNT; i++) await Promise.resolve()
}
