import { expect } from "chai"
import { StopSchedule } from "@galenaway/entry"
import { createManualClock } from "@galenaway/fakes"

it("an instance that doesn't stop takes and sends all requests", () => {
  const schedule = new StopSchedule(createManualClock(), 8000)
  expect(schedule.isStopping).to.equal(false)
  expect(schedule.canTake()).to.equal(true)
  expect(schedule.canSend(1e9)).to.equal(true)
})

it("requests are taken while the load balancer may send connections, and refused afterwards", async () => {
  const { clock, schedule } = beginStop(8000)
  expect(schedule.isStopping).to.equal(true)
  await clock.advance(2699)
  expect(schedule.canTake()).to.equal(true)
  await clock.advance(1)
  expect(schedule.canTake()).to.equal(false)
  expect(schedule.getMsUntilRefusal()).to.equal(0)
})

it("a request is sent only if it ends before the running requests are ended", async () => {
  const { clock, schedule } = beginStop(8000)
  expect(schedule.canSend(7399)).to.equal(true)
  expect(schedule.canSend(7400)).to.equal(false)
  await clock.advance(7000)
  expect(schedule.canSend(399)).to.equal(true)
  expect(schedule.canSend(400)).to.equal(false)
  await clock.advance(400)
  expect(schedule.canSend(0)).to.equal(false)
  expect(schedule.getMsUntilEnd()).to.equal(0)
  expect(schedule.getMsUntilKill()).to.equal(600)
})

it("a short stop limit ends the time in which requests are taken", async () => {
  const { clock, schedule } = beginStop(2000)
  await clock.advance(1399)
  expect(schedule.canTake()).to.equal(true)
  await clock.advance(1)
  expect(schedule.canTake()).to.equal(false)
})

it("a second stop signal doesn't extend a stop", async () => {
  const { clock, schedule } = beginStop(8000)
  await clock.advance(2000)
  schedule.begin()
  expect(schedule.getMsUntilRefusal()).to.equal(700)
})

function beginStop(limitMs: number) {
  const clock = createManualClock()
  const schedule = new StopSchedule(clock, limitMs)
  schedule.begin()
  return { clock, schedule }
}
