import { expect } from "chai"
import fc from "fast-check"
import { createHybridClock, MAX_DRIFT_MS, mergeEvents } from "@galenaway/observe"
import {
  ACTIONS,
  createClock,
  createTestRecorder,
  findViolation,
  type History,
  runHistory,
  SEED,
} from "./history.js"

const RUNS = { seed: SEED, numRuns: 500 }

it("merged events follow their causes even if clocks are skewed and jump", () => {
  fc.assert(
    fc.property(ACTIONS, (actions) => {
      const history = runHistory(actions)
      expect(findViolation(orderByHybridTime(history), history)).to.equal(undefined)
      expect(orderByHybridTime(history)).to.have.length(history.events.length)
    }),
    RUNS,
  )
})

it("wall clocks alone put effects before causes on the same histories", () => {
  const isOrdered = fc.property(ACTIONS, (actions) => {
    const history = runHistory(actions)
    return findViolation(orderByWallClock(history), history) === undefined
  })
  expect(fc.check(isOrdered, RUNS).failed).to.equal(true)
})

it("the ring keeps the latest events and no more than its limit", () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 20 }), fc.nat({ max: 60 }), (limit, count) => {
      const recorder = createTestRecorder(createClock(), "entry-1", limit)
      const notes = Array.from({ length: count }, (_, index) => `${index}`)
      for (const note of notes) recorder.record({ kind: "request-done", note })
      expect(recorder.listEvents().map(({ note }) => note)).to.deep.equal(notes.slice(-limit))
    }),
    RUNS,
  )
})

it("a time beyond the drift bound is refused and one within it is merged", () => {
  const clock = createClock()
  const hybrid = createHybridClock(clock)
  const wall = clock.wallNow() + MAX_DRIFT_MS
  expect(hybrid.merge({ wall: wall + 1, counter: 0 })).to.equal(false)
  expect(hybrid.tick().wall).to.equal(clock.wallNow())
  expect(hybrid.merge({ wall, counter: 0 })).to.equal(true)
  expect(hybrid.tick().wall).to.equal(wall)
})

it("without the drift bound one wrong clock advances the others", () => {
  const clock = createClock()
  const hybrid = createHybridClock(clock, Infinity)
  const wall = clock.wallNow() + 10 * MAX_DRIFT_MS
  hybrid.merge({ wall, counter: 0 })
  expect(hybrid.tick().wall).to.equal(wall)
})

it("a peer's wrong clock is recorded once and not for each message", () => {
  const clock = createClock()
  const recorder = createTestRecorder(clock)
  const time = { wall: clock.wallNow() + 2 * MAX_DRIFT_MS, counter: 0 }
  for (let message = 0; message < 5; message++) recorder.merge(time)
  expect(recorder.listEvents().map(({ kind }) => kind)).to.deep.equal(["clock-refused"])
})

it("a malformed time is refused", () => {
  const hybrid = createHybridClock(createClock())
  expect(hybrid.merge({ wall: NaN, counter: 0 })).to.equal(false)
  expect(hybrid.merge({ wall: 1, counter: NaN })).to.equal(false)
  expect(hybrid.merge({ wall: 1, counter: 2 ** 32 })).to.equal(false)
})

function orderByHybridTime(history: History): readonly string[] {
  return mergeEvents(history.lists).map(({ note }) => note ?? "")
}

function orderByWallClock({ events }: History): readonly string[] {
  return [...events].sort((a, b) => a.wall - b.wall).map(({ name }) => name)
}
