import { expect } from "chai"
import type { Registration } from "@galenaway/core"
import { EndpointHealth, type EndpointOutcome } from "@galenaway/routing"

it("an endpoint is excluded after several broken requests in a row", () => {
  const health = new EndpointHealth()
  endRequests(health, 3, "broken", 0)
  expect(health.isUsable("e", 0)).to.equal(false)
})

it("occasional application errors don't exclude an endpoint", () => {
  const health = new EndpointHealth()
  for (let i = 0; i < 50; i++) endRequests(health, 1, i % 7 === 0 ? "error" : "answered", i)
  expect(health.isUsable("e", 50)).to.equal(true)
})

it("an excluded endpoint gets one probe request and is usable again when it succeeds", () => {
  const health = new EndpointHealth()
  endRequests(health, 3, "silent", 0)
  expect(health.isUsable("e", 700)).to.equal(true)
  health.onSend("e", 0, 700)
  expect(health.isUsable("e", 701)).to.equal(false)
  health.onEnd("e", "answered", 750)
  expect(health.isUsable("e", 751)).to.equal(true)
})

it("a failed probe doubles the backoff", () => {
  const health = new EndpointHealth()
  endRequests(health, 3, "broken", 0)
  endRequests(health, 1, "broken", 700)
  expect(health.isUsable("e", 1700)).to.equal(false)
  expect(health.isUsable("e", 2000)).to.equal(true)
})

it("reported load counts only while it is recent", () => {
  const health = new EndpointHealth()
  health.onLoad("e", { running: 5, waiting: 2, slots: 8 }, 0)
  expect(health.countRunning("e", 500)).to.equal(7)
  expect(health.countRunning("e", 1500)).to.equal(0)
})

it("a reset of a restarted endpoint clears its failures and keeps its requests in flight", () => {
  const health = new EndpointHealth()
  health.onSend("e", 0, 0)
  endRequests(health, 3, "broken", 0)
  health.reset("e")
  expect(health.isUsable("e", 0)).to.equal(true)
  expect(health.countInFlight("e")).to.equal(1)
})

it("an endpoint in a pause gets nothing, not even a probe request", () => {
  const health = new EndpointHealth()
  endRequests(health, 3, "broken", 0)
  expect(health.onPause("e", 5000, 0)).to.equal(true)
  expect(health.onPause("e", 100, 10)).to.equal(false)
  expect(health.isUsable("e", 4999)).to.equal(false)
  expect(health.getPause("e", 4000)).to.equal(1000)
  expect(health.isUsable("e", 5000)).to.equal(true)
})

it("a pause ends when the endpoint starts again, and after five minutes at the latest", () => {
  const health = new EndpointHealth()
  health.onPause("e", Number.MAX_VALUE, 0)
  expect(health.getPause("e", 0)).to.equal(300_000)
  health.reset("e")
  expect(health.isUsable("e", 0)).to.equal(true)
})

it("the shortest pause counts only while all endpoints are in one", () => {
  const health = new EndpointHealth()
  const endpoints = [createRegistration("e"), createRegistration("f")]
  health.onPause("e", 300, 0)
  expect(health.findShortestPause(endpoints, 0)).to.equal(undefined)
  health.onPause("f", 200, 0)
  expect(health.findShortestPause(endpoints, 0)).to.equal(200)
  expect(health.findShortestPause(endpoints, 200)).to.equal(undefined)
  expect(health.findShortestPause([], 0)).to.equal(undefined)
})

function createRegistration(id: string): Registration {
  return { id, service: "s", address: "h:1", dataCentre: "dc", slots: 1, phase: "live" }
}

function endRequests(
  health: EndpointHealth,
  count: number,
  outcome: EndpointOutcome,
  now: number,
): void {
  for (let i = 0; i < count; i++) {
    health.onSend("e", 0, now)
    health.onEnd("e", outcome, now)
  }
}

it("the silence of an endpoint ends with bytes of any answer", () => {
  const health = new EndpointHealth()
  expect(health.getSilence("e", 10)).to.equal(undefined)
  health.onBytes("e", 10)
  expect(health.getSilence("e", 250)).to.equal(240)
})

it("an engine's pace is the newest that any instance has seen, and counts less the older it is", () => {
  const { times } = new EndpointHealth()
  expect(times.estimatePace("e", 0)).to.equal(undefined)
  expect(times.getLastPace("e")).to.equal(undefined)
  for (let at = 1; at <= 100; at++) times.onPace("e", 100, at)
  times.onReport("e", { running: 1, waiting: 0, slots: 8, pacePercent: 250 }, 200)
  times.onPace("e", 50, 150)
  expect(times.getLastPace("e")).to.deep.equal({ percent: 250, at: 200 })
  expect(times.estimatePace("e", 200)).to.be.closeTo(2.5, 0.01)
  expect(times.estimatePace("e", 500)).to.be.within(1.5, 2)
  expect(times.estimatePace("e", 10_000)).to.be.within(1, 1.2)
})
