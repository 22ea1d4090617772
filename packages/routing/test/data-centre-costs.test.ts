import { expect } from "chai"
import { choosePlacement, DataCentreCosts } from "@galenaway/routing"
import { replayDataCentres } from "./data-centre-replay.js"
import { buildEngine, buildMetadata, buildView } from "./support.js"

const TRANSFER_MS = 40
const DEMAND_SHARE = 0.7
/** Running requests that cost more than the hop to another data centre, and less than its price. */
const BUSY_COUNT = 6

function buildLoads(a: number, b: number, c: number) {
  return [
    { dataCentre: "a", fill: a },
    { dataCentre: "b", fill: b },
    { dataCentre: "c", fill: c },
  ]
}

function createCosts(...loads: readonly ReturnType<typeof buildLoads>[]): DataCentreCosts {
  const costs = new DataCentreCosts("a", TRANSFER_MS)
  for (const load of loads) costs.update(load)
  return costs
}

it("requests stay in a data centre that has room, whatever room others have", () => {
  const costs = createCosts(buildLoads(0.9, 0.1, 0.2))
  expect(["a", "b", "c"].map((name) => costs.getCost(name))).to.deep.equal([
    0,
    TRANSFER_MS,
    TRANSFER_MS,
  ])
})

it("the data centre with the most room gets the requests of a full one", () => {
  const costs = createCosts(buildLoads(1, 0.5, 0.4))
  expect(["a", "b", "c"].map((name) => costs.getCost(name))).to.deep.equal([0, TRANSFER_MS, 0])
})

// Without hysteresis, requests would change their data centre with each new set of figures.
it("requests go on to the same data centre until it fills up or their own is relieved", () => {
  const first = buildLoads(1, 0.5, 0.4)
  expect(createCosts(first, buildLoads(0.85, 0.2, 0.85)).overflowTarget).to.equal("c")
  expect(createCosts(first, buildLoads(0.75, 0.5, 0.4)).overflowTarget).to.equal(undefined)
  expect(createCosts(first, buildLoads(1, 0.6, 0.9)).overflowTarget).to.equal("b")
})

it("requests stay when all data centres are full, or nothing is known of the others", () => {
  expect(createCosts(buildLoads(1, 1, 1)).overflowTarget).to.equal(undefined)
  expect(createCosts([{ dataCentre: "a", fill: 2 }] as never).overflowTarget).to.equal(undefined)
})

it("replay: peaks that follow one another are served in time with fewer requests between data centres", () => {
  const local = replayDataCentres("local", DEMAND_SHARE)
  const cheapest = replayDataCentres("cheapest", DEMAND_SHARE)
  const costs = replayDataCentres("costs", DEMAND_SHARE)
  if (process.env.GALENAWAY_VERBOSE !== undefined) console.log({ local, cheapest, costs })
  expect(costs.lateShare).to.be.at.most(cheapest.lateShare)
  expect(costs.lateShare).to.be.lessThan(local.lateShare / 2)
  expect(costs.crossingShare).to.be.lessThan(cheapest.crossingShare / 2)
})

it("replay: a data centre that loses its engines is served by the others", () => {
  const cheapest = replayDataCentres("cheapest", 0.55, 1)
  const costs = replayDataCentres("costs", 0.55, 1)
  if (process.env.GALENAWAY_VERBOSE !== undefined) console.log({ cheapest, costs })
  expect(costs.lateShare).to.be.at.most(cheapest.lateShare + 0.01)
})

it("an engine of another data centre is used when its load makes up for the price, not before", () => {
  const local = buildEngine("e1", "dc-a")
  const remote = buildEngine("e2", "dc-b")
  const view = {
    ...buildView([local, remote]),
    getDataCentreCost: (name: string) => (name === "dc-b" ? TRANSFER_MS : 0),
  }
  for (const { id } of [local, remote]) view.residency.add(id, "m/a", 1)
  const choose = () => {
    const placement = choosePlacement(view, buildMetadata(), new Set(), 0)
    return placement.kind === "none" ? undefined : placement.endpoint.id
  }
  for (let i = 0; i < BUSY_COUNT; i++) view.health.onSend(local.id, 0, 0)
  expect(choose()).to.equal(local.id)
  for (let i = 0; i < local.slots; i++) view.health.onSend(local.id, 0, 0)
  expect(choose()).to.equal(remote.id)
})
