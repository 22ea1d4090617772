import { expect } from "chai"
import type { EndpointId } from "@galenaway/core"
import {
  chooseEndpoint,
  choosePlacement,
  explainPlacement,
  explainService,
  type ServiceView,
} from "@galenaway/routing"
import { createRandom } from "./replay-events.js"
import { buildEngine, buildMetadata, buildView } from "./support.js"

const ENGINES = ["e1", "e2", "e3", "e4"].map((id) => buildEngine(id))
const COST_MS = 30
const DRAW_COUNT = 2000

it("the shares of an explanation are those with which endpoints are drawn", () => {
  const view = buildServiceView()
  view.health.onLoad("e1", { running: 6, waiting: 2, slots: 8, pacePercent: 200 }, 0)
  view.health.onLoad("e2", { running: 2, waiting: 0, slots: 8, pacePercent: 100 }, 0)
  const { rule, candidates } = explainService(view, COST_MS, 0)
  expect(rule).to.equal("completion")
  const random = createRandom(9)
  const counts = new Map<EndpointId, number>()
  for (let draw = 0; draw < DRAW_COUNT; draw++) {
    const id = chooseEndpoint(view, COST_MS, new Set(), 0, random())?.endpoint.id ?? ""
    counts.set(id, (counts.get(id) ?? 0) + 1)
  }
  for (const { endpoint, share } of candidates)
    expect((counts.get(endpoint) ?? 0) / DRAW_COUNT).to.be.closeTo(share, 0.05)
})

it("an explanation by load names the one endpoint that is chosen", () => {
  const view = buildServiceView()
  view.health.onSend("e1", 0, 0)
  const { rule, candidates } = explainService(view, COST_MS, 0)
  const chosen = candidates.filter(({ verdict }) => verdict === "chosen")
  expect(rule).to.equal("load")
  expect(chosen.map(({ endpoint }) => endpoint)).to.deep.equal([
    chooseEndpoint(view, COST_MS, new Set(), 0, 0)?.endpoint.id,
  ])
})

it("an explanation of a model request has the chosen engine and why others aren't", () => {
  const view = buildView(ENGINES)
  view.residency.add("e1", "m/a", 1)
  view.residency.add("e2", "m/a", 1)
  view.health.onQueueWait("e2", 200, 0)
  view.health.onPause("e3", 1000, 0)
  for (let count = 0; count < 3; count++) view.health.onEnd("e4", "broken", 0)
  const metadata = buildMetadata()
  const { placement, candidates } = explainPlacement(view, metadata, 1)
  expect(placement).to.deep.equal(choosePlacement(view, metadata, new Set(), 1))
  expect(candidates.map(({ endpoint, verdict }) => [endpoint, verdict])).to.deep.equal([
    ["e1", "chosen"],
    ["e2", "possible"],
    ["e3", "paused"],
    ["e4", "excluded"],
  ])
})

it("an engine without the adapter needs a load, and one without the base model can't serve", () => {
  const view = buildView(ENGINES.slice(0, 3))
  view.residency.add("e1", "m/a", 1)
  view.residency.update("e3", "owner", [], [], 0)
  const { candidates } = explainPlacement(view, buildMetadata(), 1)
  expect(candidates.map(({ verdict }) => verdict)).to.deep.equal([
    "chosen",
    "needs-load",
    "cannot-serve",
  ])
})

function buildServiceView(): ServiceView {
  const { health } = buildView(ENGINES)
  return { endpoints: ENGINES, health, localDataCentre: "dc-a", meanCostMs: COST_MS }
}
