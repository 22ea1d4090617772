import { expect } from "chai"
import { choosePlacement, EngineSpeeds } from "@galenaway/routing"
import { buildEngine, buildMetadata, buildView } from "./support.js"

const INSTANCE_COUNT = 66
const ENGINE_COUNT = 64
/** Requests that one instance sends, and the events of each. */
const REQUEST_COUNT = 180
const EVENT_COUNT = 16
const EVENT_MS = 40
/** One engine of four takes this much longer. */
const SLOW_FACTOR = 1.8

// Guards against figures that only engines with many requests of one instance would get.
it("owners learn the speeds of engines from the few requests of many instances", () => {
  const owner = replayRequests((engine) => (engine % 4 === 0 ? SLOW_FACTOR : 1))
  const mean = (3 + SLOW_FACTOR) / 4
  for (let engine = 0; engine < ENGINE_COUNT; engine++) {
    const expected = (engine % 4 === 0 ? SLOW_FACTOR : 1) / mean
    expect(owner.getSlowdown(String(engine)), String(engine)).to.be.closeTo(expected, 0.2)
  }
})

it("nothing is published of engines that are equal", () => {
  const owner = replayRequests(() => 1)
  for (let engine = 0; engine < ENGINE_COUNT; engine++)
    expect(owner.getSlowdown(String(engine))).to.equal(1)
})

it("a pause counts as a few events at most", () => {
  const speeds = new EngineSpeeds()
  for (let i = 0; i < 10; i++) speeds.onEvent("a", "s", EVENT_MS)
  speeds.onEvent("b", "s", 100 * EVENT_MS)
  expect(speeds.takeSample("b")).to.deep.equal({ slowdown: 4, count: 1 })
  expect(speeds.takeSample("b")).to.equal(undefined)
})

it("of two holders the faster engine is chosen, and slow ones get requests when it is busy", () => {
  const engines = ["e1", "e2"].map((id) => buildEngine(id))
  const view = buildView(engines)
  for (const { id } of engines) view.residency.add(id, "m/a", 1)
  const choose = () => choosePlacement(view, buildMetadata(), new Set(), 0)
  view.health.speeds.onPublished("e1", SLOW_FACTOR)
  expect(choose()).to.deep.include({ endpoint: engines[1] })
  view.health.onQueueWait("e2", 1000, 0)
  expect(choose()).to.deep.include({ endpoint: engines[0] })
})

/** Replays the requests of all instances to engines in turn, and returns the table of their owner. */
function replayRequests(getFactor: (engine: number) => number): EngineSpeeds {
  const owner = new EngineSpeeds()
  for (let instance = 0; instance < INSTANCE_COUNT; instance++) {
    const speeds = new EngineSpeeds()
    for (let request = 0; request < REQUEST_COUNT; request++) {
      const engine = (instance * 7 + request * 13) % ENGINE_COUNT
      for (let event = 0; event < EVENT_COUNT; event++)
        speeds.onEvent(String(engine), "s", EVENT_MS * getFactor(engine))
      const sample = speeds.takeSample(String(engine))
      if (sample && owner.onSample(String(engine), sample))
        owner.onPublished(String(engine), owner.getLearned(String(engine)))
    }
  }
  return owner
}
