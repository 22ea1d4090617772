import { expect } from "chai"
import { computeAuthorityTimes, OrderAuthority, SuspensionDetector } from "@galenaway/coordination"
import { formatOwner, formatOwnerKey, Ownership, type RegisteredInstance } from "@galenaway/entry"
import { createManualClock, LeaseStore } from "@galenaway/fakes"
import { log } from "./support.js"

const MICROTASK_TURN_COUNT = 50

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

function createOwnership() {
  const clock = createManualClock()
  const store = new LeaseStore(() => clock.now())
  const ownership = new Ownership(buildInstance("i", "now"), {
    store,
    authority: new OrderAuthority(computeAuthorityTimes(3000)),
    suspension: new SuspensionDetector(clock, 250),
    clock,
    log,
    listEngines: () => ["own", "other"].map((id) => ({ id, dataCentre: "dc" })),
    isAlive: () => false,
    fetchOwnerReports: () => Promise.resolve([]),
    onListed: () => undefined,
  })
  const gained: string[] = []
  ownership.on("gained", (endpoint) => gained.push(endpoint))
  return { ownership, store, gained }
}

function buildInstance(id: string, incarnation: string): RegisteredInstance {
  return { id, incarnation, dataCentre: "dc", peerAddress: "127.0.0.1:1", isStopping: false }
}

async function putOwner(
  store: LeaseStore,
  endpoint: string,
  owner: RegisteredInstance,
): Promise<void> {
  const put = { key: formatOwnerKey(endpoint), value: formatOwner(owner, false) }
  await store.runTransaction({ conditions: [], puts: [put], removals: [] })
}

async function runMicrotasks(): Promise<void> {
  for (let i = 0; i < MICROTASK_TURN_COUNT; i++) await Promise.resolve()
}
