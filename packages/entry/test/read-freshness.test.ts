import { expect } from "chai"
import type { ReadConsistency, StorePort } from "@galenaway/core"
import { DirectoryPoller, EndpointDirectory, ReadFreshness } from "@galenaway/entry"
import { createManualClock, flushPromises } from "@galenaway/fakes"
import { buildEntry, format, log } from "./support.js"

const DRAIN_LIMIT_MS = 2000

it("a stale read is recent if it isn't older than a linearizable one of half the limit ago", async () => {
  const clock = createManualClock()
  const freshness = new ReadFreshness(clock, DRAIN_LIMIT_MS)
  expect(freshness.isRecent(1000)).to.equal(false)
  freshness.onStated({ revision: 10, at: 0 })
  await clock.advance(900)
  freshness.onStated({ revision: 20, at: 900 })
  expect(freshness.isRecent(9)).to.equal(false)
  expect(freshness.isRecent(10)).to.equal(true)
  await clock.advance(200)
  expect(freshness.isRecent(19)).to.equal(false)
  expect(freshness.isRecent(20)).to.equal(true)
  expect(freshness.newest).to.deep.equal({ revision: 20, at: 900 })
  await clock.advance(900)
  expect(freshness.isRecent(1000)).to.equal(false)
  expect(freshness.newest).to.equal(undefined)
})

// DRAIN: an endpoint's leaving wasn't noticed while stale reads were seconds behind.
it("an endpoint that leaves is found although stale reads are behind", async () => {
  const { poller, directory, reads, freshness } = createPoller()
  poller.start()
  await flushPromises()
  expect(reads).to.deep.equal(["stale", "latest"])
  expect(directory.listLive("s")).to.deep.equal([])
  poller.stop()
  expect(freshness.newest?.revision).to.equal(9)
})

it("a stale read that a peer's news shows to be recent is enough", async () => {
  const { poller, directory, reads, freshness } = createPoller()
  freshness.onStated({ revision: 5, at: 0 })
  poller.start()
  await flushPromises()
  poller.stop()
  expect(reads).to.deep.equal(["stale"])
  expect(directory.listLive("s")).to.have.length(1)
})

/** Creates a poller on a store whose stale reads list an endpoint as live at revision 5, which leaves at revision 9. */
function createPoller() {
  const clock = createManualClock()
  const directory = new EndpointDirectory(format, clock, log)
  const freshness = new ReadFreshness(clock, DRAIN_LIMIT_MS)
  const reads: ReadConsistency[] = []
  const store: Partial<StorePort> = {
    readRange: (_prefix, consistency) => {
      reads.push(consistency)
      return Promise.resolve(
        consistency === "stale"
          ? { items: [buildEntry("e", 5)], revision: 5 }
          : { items: [buildEntry("e", 9, { phase: "leaving" })], revision: 9 },
      )
    },
  }
  const poller = new DirectoryPoller(
    store as StorePort,
    format.registrationPrefix,
    directory,
    freshness,
    clock,
    DRAIN_LIMIT_MS,
    log,
  )
  return { poller, directory, reads, freshness }
}
