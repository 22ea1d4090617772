import { expect } from "chai"
import { EndpointHealth, type EndpointOutcome } from "@galenaway/routing"

it("an endpoint that breaks several requests in a row is left out", () => {
  const health = new EndpointHealth()
  endRequests(health, 3, "broken", 0)
  expect(health.isUsable("e", 0)).to.equal(false)
})

it("errors of the application alone leave an endpoint in", () => {
  const health = new EndpointHealth()
  for (let i = 0; i < 50; i++) endRequests(health, 1, i % 7 === 0 ? "error" : "answered", i)
  expect(health.isUsable("e", 50)).to.equal(true)
})

it("an endpoint that was left out gets one trial request and then its share", () => {
  const health = new EndpointHealth()
  endRequests(health, 3, "silent", 0)
  expect(health.isUsable("e", 700)).to.equal(true)
  health.onSend("e", 0, 700)
  expect(health.isUsable("e", 701)).to.equal(false)
  health.onEnd("e", "answered", 750)
  expect(health.isUsable("e", 751)).to.equal(true)
})

it("a failed trial doubles the pause", () => {
  const health = new EndpointHealth()
  endRequests(health, 3, "broken", 0)
  endRequests(health, 1, "broken", 700)
  expect(health.isUsable("e", 1700)).to.equal(false)
  expect(health.isUsable("e", 2000)).to.equal(true)
})

it("told load counts only while it is fresh", () => {
  const health = new EndpointHealth()
  health.onLoad("e", { running: 5, waiting: 2, slots: 8 }, 0)
  expect(health.countRunning("e", 500)).to.equal(7)
  expect(health.countRunning("e", 1500)).to.equal(0)
})

it("a fresh start of an endpoint forgets its failures and keeps its requests", () => {
  const health = new EndpointHealth()
  health.onSend("e", 0, 0)
  endRequests(health, 3, "broken", 0)
  health.reset("e")
  expect(health.isUsable("e", 0)).to.equal(true)
  expect(health.countInFlight("e")).to.equal(1)
})

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
