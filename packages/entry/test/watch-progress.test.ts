import { expect } from "chai"
import { encodeRevision } from "@galenaway/core"
import { WatchProgress } from "@galenaway/entry"
import { createManualClock } from "@galenaway/fakes"

const LIMIT_MS = 2000

it("a watch is overdue when neither the store nor a peer has confirmed anything for too long", async () => {
  const { progress, clock } = createProgress()
  progress.onAnswer(10, [4], 0)
  await clock.advance(1400)
  expect(progress.isOverdue(0)).to.equal(false)
  progress.onPeer({ revision: 30, lastChange: 4, at: 1200 })
  await clock.advance(1200)
  expect(progress.isOverdue(0)).to.equal(false)
  await clock.advance(100)
  expect(progress.isOverdue(0)).to.equal(true)
  expect(progress.isOverdue(1300)).to.equal(false)
})

it("a peer's confirmation advances the revision if no change is missing", () => {
  const { progress } = createProgress()
  progress.onAnswer(10, [4], 0)
  progress.onPeer({ revision: 30, lastChange: 10, at: 5 })
  expect(progress.state).to.deep.equal({ revision: 30, lastChange: 4, at: 5 })
  progress.onPeer({ revision: 20, lastChange: 10, at: 1 })
  expect(progress.state).to.deep.equal({ revision: 30, lastChange: 4, at: 5 })
})

it("a watch is overdue soon after a peer has a change that it lacks", async () => {
  const { progress, clock } = createProgress()
  progress.onAnswer(10, [4], 0)
  progress.onPeer({ revision: 30, lastChange: 11, at: 5 })
  expect(progress.state?.revision).to.equal(10)
  expect(progress.isOverdue(0)).to.equal(false)
  await clock.advance(200)
  progress.onPeer({ revision: 31, lastChange: 12, at: 6 })
  expect(progress.isOverdue(0)).to.equal(true)
  expect(progress.isOverdue(200)).to.equal(false)
  progress.onAnswer(11, [11], 200)
  expect(progress.isBehind).to.equal(true)
  progress.onAnswer(12, [12], 200)
  expect(progress.isBehind).to.equal(false)
})

it("a peer's state of an earlier era, or before the first read, confirms nothing", () => {
  const { progress } = createProgress()
  progress.onPeer({ revision: 30, lastChange: 0, at: 5 })
  expect(progress.state).to.equal(undefined)
  progress.onAnswer(encodeRevision(1, 2), [], 0)
  progress.onPeer({ revision: encodeRevision(0, 900), lastChange: 0, at: 5 })
  expect(progress.state?.at).to.equal(0)
})

function createProgress() {
  const clock = createManualClock()
  return { progress: new WatchProgress(clock, LIMIT_MS), clock }
}
