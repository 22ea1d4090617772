import { expect } from "chai"
import type { HeldAdapter } from "@galenaway/core"
import { type EngineSnapshot, PublishedEngines } from "@galenaway/entry"
import { createManualClock } from "@galenaway/fakes"
import { Residency } from "@galenaway/routing"

/** Longer than the interval after which an engine is sent completely. */
const COMPLETE_AFTER_MS = 6000

it("a load is published as a change, not as the whole list of the engine", () => {
  const { engines } = createEngines()
  const held = buildAdapters(10)
  const first = engines.publish(buildSnapshot(held))
  expect(first).to.deep.equal({
    kind: "complete",
    news: { endpoint: "e", models: ["m"], adapters: held, slowdownPercent: 100 },
  })
  const [, ...kept] = held
  const loaded = { adapter: "m/new", version: 3 }
  expect(engines.publish(buildSnapshot([...kept, loaded]))).to.deep.equal({
    kind: "change",
    change: { endpoint: "e", loaded: [loaded], evicted: ["m/a0"] },
  })
})

it("a changed speed is published with all adapters of the engine", () => {
  const { engines } = createEngines()
  const adapters = buildAdapters(2)
  engines.publish(buildSnapshot(adapters))
  const message = engines.publish({ ...buildSnapshot(adapters), slowdown: 1.5 })
  const news = { endpoint: "e", models: ["m"], adapters, slowdownPercent: 150 }
  expect(message).to.deep.equal({ kind: "complete", news })
})

it("a new version of an adapter is published as a load", () => {
  const { engines } = createEngines()
  engines.publish(buildSnapshot([{ adapter: "m/a", version: 1 }]))
  const loaded = [{ adapter: "m/a", version: 2 }]
  expect(engines.publish(buildSnapshot(loaded))).to.deep.equal({
    kind: "change",
    change: { endpoint: "e", loaded, evicted: [] },
  })
})

it("an engine is published completely when it lost its model, changed its owner, or after some time", async () => {
  const { engines, clock } = createEngines()
  const isChange = (snapshot: EngineSnapshot) => engines.publish(snapshot).kind === "change"
  const snapshot = buildSnapshot(buildAdapters(2))
  expect(isChange(snapshot)).to.equal(false)
  expect(isChange(snapshot)).to.equal(true)
  expect(isChange({ ...snapshot, models: [] })).to.equal(false)
  expect(isChange(snapshot)).to.equal(false)
  engines.remove("e")
  expect(isChange(snapshot)).to.equal(false)
  await clock.advance(COMPLETE_AFTER_MS)
  expect(isChange(snapshot)).to.equal(false)
})

it("a follower that applies every change holds what the engine holds", () => {
  const { engines } = createEngines()
  const residency = new Residency()
  let held = buildAdapters(4)
  for (let i = 0; i < 20; i++) {
    const message = engines.publish(buildSnapshot(held))
    if (message.kind === "change")
      residency.change("e", message.change.loaded, message.change.evicted, 0)
    else residency.update("e", "owner", message.news.models, message.news.adapters, 0)
    const contents = residency.getContents("e")
    expect([...(contents?.adapters.keys() ?? [])]).to.have.members(
      held.map(({ adapter }) => adapter),
    )
    held = [...held.slice(1 + (i % 2)), { adapter: `m/b${String(i)}`, version: 1 }]
  }
})

it("a change is ignored when the last contents aren't the owner's", () => {
  const residency = new Residency()
  residency.update("e", "registration", ["m"], [], 0)
  residency.change("e", [{ adapter: "m/a", version: 1 }], [], 0)
  expect(residency.listHolders("m/a")).to.deep.equal([])
})

function createEngines() {
  const clock = createManualClock()
  return { engines: new PublishedEngines(clock), clock }
}

function buildAdapters(count: number): readonly HeldAdapter[] {
  return Array.from({ length: count }, (_, i) => ({ adapter: `m/a${String(i)}`, version: 1 }))
}

function buildSnapshot(adapters: readonly HeldAdapter[]): EngineSnapshot {
  return { endpoint: "e", models: ["m"], adapters, slowdown: 1 }
}
