import { expect } from "chai"
import { InstanceMonitor, SlowInstances } from "@galenaway/entry"
import { noopMetrics } from "@galenaway/observe"
import { log } from "./support.js"

const MEMBERS = ["i", "a", "b", "c", "d", "e", "f", "g"]
const INTERVAL_MS = 250

function createMonitor(slowPeers: readonly string[]) {
  let now = 0
  const clock = { now: () => now, wallNow: () => now }
  const slowInstances = new SlowInstances()
  let notifiedCount = 0
  const monitor = new InstanceMonitor({
    self: "i",
    slowInstances,
    clock,
    log,
    metrics: noopMetrics,
    cores: 0.25,
    readProcessorMs: () => 0,
    listMembers: () => MEMBERS,
    findShortestObjective: () => 500,
    notifyPeers: () => notifiedCount++,
  })
  const sample = (latenessMs: number) => {
    now += INTERVAL_MS + latenessMs
    slowInstances.onPublished("a", slowPeers, now)
    monitor.sample()
  }
  return { monitor, sample, countNotified: () => notifiedCount }
}

it("an instance whose event loop is late moves its callers and takes a break in its turn", () => {
  const { monitor, sample, countNotified } = createMonitor([])
  let breakCount = 0
  for (let i = 0; i < 100; i++) {
    sample(80)
    if (monitor.isUnready) breakCount++
  }
  expect(monitor.isMovingCallers).to.equal(true)
  expect(breakCount).to.be.greaterThan(0)
  expect(countNotified()).to.equal(1)
})

it("an instance that isn't late moves nobody", () => {
  const { monitor, sample } = createMonitor([])
  for (let i = 0; i < 100; i++) sample(1)
  expect([monitor.isMovingCallers, monitor.isUnready]).to.deep.equal([false, false])
})

// If all slow instances left, the others would get more than they can serve.
it("no instance moves callers when most of its data centre are slow", () => {
  const { monitor, sample } = createMonitor(["a", "b", "c", "d"])
  for (let i = 0; i < 100; i++) {
    sample(80)
    expect([monitor.isMovingCallers, monitor.isUnready]).to.deep.equal([false, false])
  }
  expect(monitor.isSlow).to.equal(true)
})

it("what owners published is forgotten when they are silent", () => {
  const slowInstances = new SlowInstances()
  slowInstances.onPublished("a", ["b"], 0)
  expect([...(slowInstances.listAll(2000) ?? [])]).to.deep.equal(["b"])
  expect(slowInstances.listAll(4000)).to.equal(undefined)
})

it("an owner lists its followers as slow until they report otherwise or leave", () => {
  const slowInstances = new SlowInstances()
  for (const id of ["a", "b", "c"]) slowInstances.onReport(id, true)
  slowInstances.onReport("a", false)
  slowInstances.removeFollower("b")
  expect(slowInstances.listFollowers()).to.deep.equal(["c"])
})
