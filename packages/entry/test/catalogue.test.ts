import { expect } from "chai"
import { encodeRevision, type StorePort } from "@galenaway/core"
import {
  ConfigurationWatcher,
  type ConfigurationWatcherDependencies,
  EndpointDirectory,
  OperatorCatalogue,
  ReadFreshness,
  SkipLog,
} from "@galenaway/entry"
import { createManualClock, LeaseStore } from "@galenaway/fakes"
import { createLog } from "@galenaway/observe"
import { VersionTable } from "@galenaway/routing"
import { buildEntry, buildItem, format, log } from "./support.js"

const DRAIN_LIMIT_MS = 2000

it("a configuration of a lower version never replaces a higher one", () => {
  const catalogue = createCatalogue()
  catalogue.apply(buildItem("op/config", { version: 7 }, 10), "watch")
  catalogue.apply(buildItem("op/config", { version: 5 }, 11), "peer")
  expect(catalogue.version).to.equal(7)
})

it("an item that can't be decoded doesn't replace the one in force", () => {
  const catalogue = createCatalogue()
  catalogue.apply(buildItem("op/config", { version: 7 }, 10), "watch")
  catalogue.apply(buildItem("op/config", {}, 11), "watch")
  expect(catalogue.version).to.equal(7)
  expect(catalogue.listItems()).to.have.length(1)
})

it("an adapter version in the store becomes the newest version of its adapter", () => {
  const catalogue = createCatalogue()
  catalogue.apply(buildItem("op/version/m.a", { adapter: "m/a", version: 3 }, 10), "watch")
  expect(catalogue.versions.getNewest("m/a")).to.equal(3)
})

it("a leaving endpoint takes no new work and stays listed", () => {
  const { directory } = createDirectory()
  directory.apply([buildEntry("e", 1)], 1)
  directory.apply([buildEntry("e", 2, { phase: "leaving" })], 2)
  expect(directory.listLive("s")).to.deep.equal([])
  expect(directory.listAll()).to.have.length(1)
})

it("a read of the registrations with a lower revision is ignored", () => {
  const { directory } = createDirectory()
  directory.apply([], 5)
  directory.apply([buildEntry("e", 1)], 4)
  expect(directory.listAll()).to.deep.equal([])
})

it("entries that lapsed in an outage are kept for two seconds after it", async () => {
  const { directory, clock } = createDirectory()
  directory.apply([buildEntry("e", 1), buildEntry("f", 2)], 2)
  directory.onOutage()
  directory.apply([buildEntry("f", 2)], 3)
  expect(directory.listLive("s")).to.have.length(2)
  await clock.advance(1999)
  directory.apply([buildEntry("f", 2)], 4)
  expect(directory.listLive("s")).to.have.length(2)
  await clock.advance(1)
  directory.apply([buildEntry("f", 2)], 5)
  expect(directory.listLive("s").map(({ id }) => id)).to.deep.equal(["f"])
})

it("without an outage a missing entry is gone at once", () => {
  const { directory } = createDirectory()
  const gone: string[] = []
  directory.on("gone", ({ id }) => gone.push(id))
  directory.apply([buildEntry("e", 1)], 1)
  directory.apply([], 2)
  expect(directory.listAll()).to.deep.equal([])
  expect(gone).to.deep.equal(["e"])
})

it("an endpoint that restarts under the same id is reported as started", () => {
  const { directory } = createDirectory()
  const started: (number | undefined)[] = []
  directory.on("started", ({ startedAt }) => started.push(startedAt))
  directory.apply([buildEntry("e", 1, { startedAt: 100 })], 1)
  directory.apply([buildEntry("e", 2, { startedAt: 100 })], 2)
  directory.apply([buildEntry("e", 3, { startedAt: 200 })], 3)
  expect(started).to.deep.equal([100, 200])
})

it("a registration that can't be decoded is skipped and the others are kept", () => {
  const { directory } = createDirectory()
  directory.apply([buildItem("list/x", {}, 1), buildEntry("e", 2)], 2)
  expect(directory.listAll().map(({ id }) => id)).to.deep.equal(["e"])
})

it("a peer's list is applied only before the first read of the store", () => {
  const { directory } = createDirectory()
  directory.applyFromPeer([buildEntry("p", 1)])
  expect(directory.listAll()).to.have.length(1)
  directory.apply([buildEntry("e", 2)], 2)
  directory.applyFromPeer([buildEntry("p", 1)])
  expect(directory.listAll().map(({ id }) => id)).to.deep.equal(["e"])
})

it("a newer configuration is fetched from the peer that reported it while the store is down", async () => {
  const store = createFailingStore()
  const fetched: string[] = []
  const catalogue = createCatalogue()
  const fetchFromPeer = (peer: string) => {
    fetched.push(peer)
    return Promise.resolve([buildItem("op/config", { version: 9 }, 3), buildEntry("e", 4)])
  }
  const watcher = createWatcher({ store: store.port, catalogue, fetchFromPeer })
  watcher.start()
  await Promise.resolve()
  await new Promise((resolve) => setImmediate(resolve))
  const handled = watcher.onPeerVersion(9, "p")
  void watcher.onPeerVersion(9, "q")
  await new Promise((resolve) => setImmediate(resolve))
  watcher.stop()
  await handled
  expect(catalogue.version).to.equal(9)
  expect(fetched).to.deep.equal(["p"])
  expect(store.reads).to.equal(1)
})

/** Creates a watcher that finds nothing at peers and has no news of them. */
function createWatcher(
  deps: Pick<ConfigurationWatcherDependencies, "store" | "catalogue"> &
    Partial<ConfigurationWatcherDependencies>,
): ConfigurationWatcher {
  const clock = createManualClock()
  return new ConfigurationWatcher({
    format,
    freshness: new ReadFreshness(clock, DRAIN_LIMIT_MS),
    clock,
    log,
    limitMs: 2000,
    fetchFromPeer: () => Promise.resolve([]),
    isConfirming: () => false,
    ...deps,
  })
}

function createFailingStore() {
  const state = {
    reads: 0,
    port: {
      onRestore: () => undefined,
      readRange: () => {
        state.reads++
        return Promise.reject(new Error("store down"))
      },
    } as unknown as StorePort,
  }
  return state
}

it("an item that is skipped again and again is logged once for each reason", () => {
  const { lines, countingLog } = createCountingLog()
  const clock = createManualClock()
  const directory = new EndpointDirectory(format, clock, countingLog)
  for (let revision = 1; revision <= 100; revision++)
    directory.apply([buildItem("list/x", {}, revision)], revision)
  expect(lines).to.have.length(1)
  expect(lines[0]).to.contain("list/x").and.to.contain("no id")
  directory.apply([buildEntry("x", 101)], 101)
  directory.apply([buildItem("list/x", {}, 102)], 102)
  expect(lines).to.have.length(2)
  const catalogue = new OperatorCatalogue(format, new VersionTable(1000), clock, countingLog)
  for (let revision = 1; revision <= 100; revision++)
    catalogue.apply(buildItem("op/x", {}, revision), "read")
  expect(lines).to.have.length(3)
})

it("the reasons of skipped items are kept for a limited number of keys", () => {
  const { lines, countingLog } = createCountingLog()
  const skipLog = new SkipLog(countingLog, "skipped")
  for (let index = 0; index < 3000; index++) skipLog.write(String(index), "odd")
  skipLog.write("2999", "odd")
  expect(lines).to.have.length(3000)
  skipLog.write("0", "odd")
  expect(lines).to.have.length(3001)
})

function createCountingLog() {
  const lines: string[] = []
  const destination = { write: (line: string) => void lines.push(line) }
  const countingLog = createLog("warn", { instance: "i", dataCentre: "dc" }, destination)
  return { lines, countingLog }
}

function createCatalogue(): OperatorCatalogue {
  return new OperatorCatalogue(format, new VersionTable(1000), createManualClock(), log)
}

function createDirectory() {
  const clock = createManualClock()
  return { directory: new EndpointDirectory(format, clock, log), clock }
}

it("a configuration that is written after a restore is applied though its revision is lower, an older one isn't", () => {
  const catalogue = createCatalogue()
  catalogue.apply(buildItem("op/config", { version: 7 }, encodeRevision(2, 900)), "watch")
  catalogue.apply(buildItem("op/config", { version: 5 }, encodeRevision(3, 40)), "read")
  expect(catalogue.version).to.equal(7)
  expect(catalogue.listItems().map(({ revision }) => revision)).to.deep.equal([
    encodeRevision(2, 900),
  ])
  catalogue.apply(buildItem("op/config", { version: 8 }, encodeRevision(3, 41)), "read")
  expect(catalogue.version).to.equal(8)
})

it("a restored list keeps endpoints that it lacks for two seconds, and holds back those that were gone", async () => {
  const { directory, clock } = createDirectory()
  directory.apply([buildEntry("e", 1, { startedAt: 5 }), buildEntry("f", 2)], 3)
  directory.apply([buildEntry("f", 2), buildEntry("g", 4)], 4)
  const copy = [buildEntry("e", encodeRevision(1, 1), { startedAt: 5 })]
  const list = () => directory.listLive("s").map(({ id }) => id)
  directory.apply(copy, encodeRevision(1, 2))
  expect(list()).to.deep.equal(["f", "g"])
  await clock.advance(1999)
  directory.apply(copy, encodeRevision(1, 3))
  expect(list()).to.deep.equal(["f", "g"])
  await clock.advance(1)
  directory.apply(copy, encodeRevision(1, 4))
  expect(list()).to.deep.equal([])
  await clock.advance(3000)
  directory.apply(copy, encodeRevision(1, 5))
  expect(list()).to.deep.equal(["e"])
})

it("an endpoint that has started again doesn't return to its earlier process with a restored list", () => {
  const { directory } = createDirectory()
  directory.apply([buildEntry("e", 9, { startedAt: 8, address: "127.0.0.1:8" })], 9)
  directory.apply([buildEntry("e", encodeRevision(1, 3), { startedAt: 5 })], encodeRevision(1, 3))
  expect(directory.find("e")?.address).to.equal("127.0.0.1:8")
})

it("a restored store is read again at once, without the end of the running watch", async () => {
  const clock = createManualClock()
  const store = new LeaseStore(() => clock.now())
  store.put("op/config", { version: 1 })
  const catalogue = createCatalogue()
  const freshness = new ReadFreshness(clock, DRAIN_LIMIT_MS)
  const watcher = createWatcher({ store, catalogue, freshness })
  store.watchRange = () => new Promise(() => undefined)
  watcher.start()
  await new Promise((resolve) => setImmediate(resolve))
  expect(catalogue.version).to.equal(1)
  const copy = store.takeCopy()
  expect(freshness.consistency).to.equal("stale")
  store.restore(copy)
  store.put("op/config", { version: 2 })
  await new Promise((resolve) => setImmediate(resolve))
  watcher.stop()
  expect(catalogue.version).to.equal(2)
  expect(freshness.consistency).to.equal("latest")
  await clock.advance(5000)
  expect(freshness.consistency).to.equal("stale")
})

it("an instance that starts before a restored store has the newest configuration fetches it from a peer", async () => {
  const store = new LeaseStore(() => 0)
  store.put("op/config", { version: 3 })
  const catalogue = createCatalogue()
  const items = [buildItem("op/config", { version: 9 }, encodeRevision(0, 30))]
  const watcher = createWatcher({
    store,
    catalogue,
    fetchFromPeer: () => Promise.resolve(items),
  })
  watcher.start()
  await new Promise((resolve) => setImmediate(resolve))
  expect(catalogue.version).to.equal(3)
  const handled = watcher.onPeerVersion(9, "p")
  await new Promise((resolve) => setImmediate(resolve))
  watcher.stop()
  await handled
  expect(catalogue.version).to.equal(9)
})

it("an instance that starts in a later era takes a newer configuration of an earlier era from a peer", () => {
  const catalogue = createCatalogue()
  catalogue.apply(buildItem("op/config", { version: 3 }, encodeRevision(3, 40)), "read")
  catalogue.apply(buildItem("op/config", { version: 9 }, encodeRevision(2, 900)), "peer p")
  expect(catalogue.version).to.equal(9)
  catalogue.apply(buildItem("op/config", { version: 8 }, encodeRevision(3, 41)), "read")
  expect(catalogue.version).to.equal(9)
  catalogue.apply(buildItem("op/config", { version: 10 }, encodeRevision(3, 42)), "watch")
  expect(catalogue.version).to.equal(10)
})
