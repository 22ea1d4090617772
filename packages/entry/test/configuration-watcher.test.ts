import { expect } from "chai"
import type { StoreEvent, StorePort, WatchResult } from "@galenaway/core"
import {
  ConfigurationWatcher,
  type ConfigurationWatcherDependencies,
  OperatorCatalogue,
  ReadFreshness,
} from "@galenaway/entry"
import { createManualClock } from "@galenaway/fakes"
import { VersionTable } from "@galenaway/routing"
import { buildItem, format, log } from "./support.js"

const LIMIT_MS = 2000
const POLL_MS = 10
const TIMEOUT_MS = 5000

/** A call of the watcher to the store. */
type StoreCall = { readonly kind: "read" } | { readonly kind: "watch"; readonly after: number }

type WatchAnswer = WatchResult | "silent" | "failed"

// CONFIG: a watch whose connection had gone silent hid all changes until its own time was over.
it("a watch that has gone silent is renewed from its revision before a configuration is due", async () => {
  const { watcher, catalogue, clock, calls } = createWatcher([
    "silent",
    buildEvents([buildChange("op/config", { version: 2 }, 8)], 9),
    "silent",
  ])
  watcher.start()
  await waitUntil(() => calls.length === 2)
  await clock.advance(LIMIT_MS)
  await waitUntil(() => catalogue.version === 2)
  watcher.stop()
  expect(calls).to.deep.equal([
    { kind: "read" },
    { kind: "watch", after: 5 },
    { kind: "watch", after: 5 },
    { kind: "watch", after: 9 },
  ])
})

// VERSION: the adapter versions that peers knew were not asked for while a watch was silent.
it("a watch that misses an adapter version which a peer has is renewed at once", async () => {
  const version = buildChange("op/version/m.a", { adapter: "m/a", version: 7 }, 8)
  const { watcher, catalogue, clock, calls } = createWatcher([
    "silent",
    buildEvents([version], 8),
    "silent",
  ])
  watcher.start()
  await waitUntil(() => calls.length === 2)
  watcher.onPeerState({ revision: 20, lastChange: 8, at: clock.now() })
  await clock.advance(300)
  await waitUntil(() => catalogue.versions.getNewest("m/a") === 7)
  watcher.stop()
})

it("while a peer confirms that nothing has changed, a quiet watch goes on", async () => {
  const { watcher, clock, calls } = createWatcher(["silent"])
  watcher.start()
  await waitUntil(() => calls.length === 2)
  for (let step = 0; step < 5; step++) {
    await clock.advance(1000)
    watcher.onPeerState({ revision: 20 + step, lastChange: 3, at: clock.now() })
    await new Promise((resolve) => setTimeout(resolve, 120))
  }
  watcher.stop()
  expect(calls).to.have.length(2)
})

it("a watch that failed is continued from its revision, and read again only after a gap", async () => {
  const { watcher, calls } = createWatcher(["failed", { kind: "compacted" }, "silent"])
  watcher.start()
  await waitUntil(() => calls.length === 5)
  watcher.stop()
  expect(calls.map((call) => (call.kind === "watch" ? call.after : call.kind))).to.deep.equal([
    "read",
    5,
    5,
    "read",
    5,
  ])
})

it("the instance that confirms for its peers uses short watches", async () => {
  const waits: number[] = []
  const { watcher } = createWatcher(["silent"], { isConfirming: () => true }, waits)
  watcher.start()
  await waitUntil(() => waits.length === 1)
  watcher.stop()
  expect(waits[0]).to.be.lessThan(LIMIT_MS / 2)
})

/** Creates a watcher on a store that is read at revision 5 and answers the watches in turn. */
function createWatcher(
  answers: WatchAnswer[],
  deps: Partial<ConfigurationWatcherDependencies> = {},
  waits: number[] = [],
) {
  const clock = createManualClock()
  const catalogue = new OperatorCatalogue(format, new VersionTable(1000), clock, log)
  const calls: StoreCall[] = []
  const store: Partial<StorePort> = {
    onRestore: () => undefined,
    readRange: () => {
      calls.push({ kind: "read" })
      const items = [buildItem("op/config", { version: 1 }, 3)]
      return Promise.resolve({ items, revision: 5 })
    },
    watchRange: (_prefix, after, waitMs) => {
      calls.push({ kind: "watch", after })
      waits.push(waitMs)
      const answer = answers.shift() ?? "silent"
      if (answer === "failed") return Promise.reject(new Error("connection reset"))
      return answer === "silent" ? new Promise(() => undefined) : Promise.resolve(answer)
    },
  }
  const watcher = new ConfigurationWatcher({
    store: store as StorePort,
    format,
    catalogue,
    freshness: new ReadFreshness(clock, 2000),
    clock,
    log,
    limitMs: LIMIT_MS,
    fetchFromPeer: () => Promise.resolve([]),
    isConfirming: () => false,
    ...deps,
  })
  return { watcher, catalogue, clock, calls }
}

function buildEvents(events: readonly StoreEvent[], revision: number): WatchResult {
  return { kind: "events", events, revision }
}

function buildChange(key: string, value: unknown, revision: number): StoreEvent {
  return { key, revision, item: buildItem(key, value, revision) }
}

async function waitUntil(isMet: () => boolean): Promise<void> {
  const deadline = performance.now() + TIMEOUT_MS
  while (!isMet()) {
    if (performance.now() > deadline) throw new Error("the condition wasn't met in time")
    await new Promise((resolve) => setTimeout(resolve, POLL_MS))
  }
}
