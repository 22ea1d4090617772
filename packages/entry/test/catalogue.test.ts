import { expect } from "chai"
import type { StorePort } from "@galenaway/core"
import {
  ConfigurationWatcher,
  EndpointDirectory,
  OperatorCatalogue,
  SkipLog,
} from "@galenaway/entry"
import { createManualClock } from "@galenaway/fakes"
import { createLog } from "@galenaway/observe"
import { VersionTable } from "@galenaway/routing"
import { buildEntry, buildItem, format, log } from "./support.js"

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
  const watcher = new ConfigurationWatcher(store.port, format, catalogue, log, (peer) => {
    fetched.push(peer)
    return Promise.resolve([buildItem("op/config", { version: 9 }, 3), buildEntry("e", 4)])
  })
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

function createFailingStore() {
  const state = {
    reads: 0,
    port: {
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
