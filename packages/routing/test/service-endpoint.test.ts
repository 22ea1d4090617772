import { expect } from "chai"
import type { EndpointId, Registration } from "@galenaway/core"
import { chooseEndpoint, EndpointHealth, type ServiceView } from "@galenaway/routing"
import { createRandom } from "./replay-events.js"
import { replayServiceCalls, type ServiceChooser, type ServiceLoad } from "./service-replay.js"

const NO_ENDPOINTS: ReadonlySet<EndpointId> = new Set()
const COST_MS = 30
/** Four endpoints, one at 0.55 of the usual speed, 2.5 times slower in 15% of the time. */
const UNEVEN: ServiceLoad = {
  instances: 66,
  speeds: [0.55, 1.2, 1.2, 1.2],
  utilization: 0.6,
  objectiveMs: 150,
  reportsPace: true,
  slowMs: 60,
  seed: 1,
}
const SEEDS = [1, 2, 3]

const chooseByRule: ServiceChooser = ({ view, costMs, excluded, now, random }) =>
  chooseEndpoint(view, costMs, excluded, now, random())?.endpoint.id

const chooseByLoad: ServiceChooser = ({ view, excluded, now }) =>
  findLeastLoaded(view, excluded, now)?.id

const chooseBest: ServiceChooser = ({ view, excluded, computeCompletion }) => {
  const allowed = view.endpoints.filter(({ id }) => !excluded.has(id))
  return allowed.sort((a, b) => computeCompletion(a.id) - computeCompletion(b.id))[0]?.id
}

for (const utilization of [0.4, 0.6, 0.75])
  for (const slowMs of [60, 400])
    it(`uneven endpoints at ${String(utilization)} of their capacity, slow for ${String(slowMs)} ms, lose less than half as many calls as with the lowest load`, () => {
      const load = { ...UNEVEN, utilization, slowMs }
      expect(compareLosses(load)).to.be.below(0.5)
    }).timeout(30_000)

it("uneven endpoints that don't report their pace lose less than half as many calls as with the lowest load", () => {
  const load = { ...UNEVEN, utilization: 0.75, reportsPace: false }
  expect(compareLosses(load)).to.be.below(0.5)
}).timeout(30_000)

it("an endpoint at half of the speed of the others gets less than half as many calls", () => {
  const { callShares } = replayServiceCalls(UNEVEN, chooseByRule)
  const [slow = 1, ...others] = callShares
  for (const share of others) expect(slow).to.be.below(0.5 * share)
}).timeout(30_000)

it("without reports of the pace, queues, refusals and clear differences the endpoint is the one with the lowest load", () => {
  const random = createRandom(5)
  for (let round = 0; round < 500; round++) {
    const { view, excluded, now } = buildRandomView(random)
    const choice = chooseEndpoint(view, COST_MS, excluded, now, random())
    expect(choice?.endpoint).to.equal(findLeastLoaded(view, excluded, now))
    expect(choice?.rule ?? "load").to.equal("load")
  }
})

it("instances with the same figures don't all choose the same endpoint", () => {
  const view = buildView(4)
  for (const { id } of view.endpoints)
    view.health.onLoad(id, { running: 2, waiting: 0, slots: 6, pacePercent: 100 }, 0)
  const random = createRandom(3)
  const chosen = new Set<EndpointId | undefined>()
  for (let instance = 0; instance < 40; instance++)
    chosen.add(chooseEndpoint(view, COST_MS, NO_ENDPOINTS, 0, random())?.endpoint.id)
  expect(chosen.size).to.equal(4)
})

it("a slow pace counts less the older its report is", () => {
  const view = buildView(2)
  const report = { running: 1, waiting: 0, slots: 6, pacePercent: 100 }
  for (let at = 0; at < 100; at++) view.health.onLoad("e0", report, at)
  view.health.onLoad("e0", { ...report, pacePercent: 250 }, 100)
  const { times } = view.health
  expect(times.estimateFactor("e0", 100)).to.be.closeTo(2.5, 0.01)
  expect(times.estimateFactor("e0", 400)).to.be.within(1.5, 2)
  expect(times.estimateFactor("e0", 5000)).to.be.within(1, 1.2)
})

it("an endpoint that was very slow gets calls again some time after its last answer", () => {
  const view = buildView(3)
  for (const { id } of view.endpoints) {
    const isSlow = id === "e0"
    const pacePercent = isSlow ? 900 : 100
    for (let at = 1; at <= 20; at++) {
      view.health.onLoad(id, { running: isSlow ? 30 : 1, waiting: 0, slots: 6, pacePercent }, at)
      view.health.times.onCall(id, isSlow ? 900 : COST_MS, COST_MS, at)
    }
  }
  const random = createRandom(11)
  const countSlow = (now: number) => {
    const chosen = Array.from(
      { length: 300 },
      () => chooseEndpoint(view, COST_MS, NO_ENDPOINTS, now, random())?.endpoint.id,
    )
    return chosen.filter((id) => id === "e0").length
  }
  expect(countSlow(20)).to.equal(0)
  expect(countSlow(40_000)).to.be.above(30)
})

it("absurd reports of one endpoint don't last", () => {
  const view = buildView(2)
  const report = { running: 1e300, waiting: 1e300, slots: 6, pacePercent: 1e300 }
  view.health.onLoad("e0", report, 0)
  const { times } = view.health
  expect(times.estimateFactor("e0", 0)).to.be.at.most(10)
  expect(times.estimateLoad("e0", 0)).to.be.at.most(60)
  expect(times.estimateLoad("e0", 20_000)).to.be.below(0.1)
  expect(times.estimateFactor("e0", 20_000)).to.be.below(1.1)
})

it("an endpoint that refuses a call is told apart by its expected completion", () => {
  const view = buildView(2)
  view.health.onSend("e0", 0, 0)
  view.health.onEnd("e0", "full", 1)
  expect(chooseEndpoint(view, COST_MS, NO_ENDPOINTS, 2, 0.5)?.rule).to.equal("completion")
  expect(chooseEndpoint(view, COST_MS, NO_ENDPOINTS, 60_000, 0.5)?.rule).to.equal("load")
})

it("no endpoint is chosen when all are excluded, whichever the rule", () => {
  const view = buildView(2)
  const all = new Set(["e0", "e1"])
  expect(chooseEndpoint(view, COST_MS, all, 0, 0.5)).to.equal(undefined)
  view.health.onLoad("e0", { running: 0, waiting: 0, slots: 6, pacePercent: 100 }, 0)
  expect(chooseEndpoint(view, COST_MS, all, 0, 0.5)).to.equal(undefined)
})

/** Returns the calls that the rule answers late, as a share of those that the lowest load does, both beyond a choice with perfect information. */
function compareLosses(load: ServiceLoad): number {
  const sumInTime = (choose: ServiceChooser) =>
    SEEDS.reduce((sum, seed) => sum + replayServiceCalls({ ...load, seed }, choose).inTimeShare, 0)
  const best = sumInTime(chooseBest)
  return (best - sumInTime(chooseByRule)) / (best - sumInTime(chooseByLoad))
}

/** The rule for endpoints that don't differ, written out independently of the code under test. */
function findLeastLoaded(
  { endpoints, health, localDataCentre }: ServiceView,
  excluded: ReadonlySet<EndpointId>,
  now: number,
): Registration | undefined {
  const costs = endpoints
    .filter(({ id }) => !excluded.has(id) && health.isUsable(id, now))
    .map((endpoint) => {
      const { id, slots, dataCentre } = endpoint
      const count = health.countRunning(id, now) + health.countInFlight(id) + 1
      const hop = dataCentre === localDataCentre ? 0 : 0.15
      const cost = (count / slots) * health.getSlowness(id) + hop + 4 * health.getFailureRate(id)
      return { endpoint, cost }
    })
  const lowest = Math.min(...costs.map(({ cost }) => cost))
  return costs.find(({ cost }) => cost === lowest)?.endpoint
}

function buildRandomView(random: () => number) {
  const view = buildView(2 + Math.floor(4 * random()))
  const { health } = view
  const now = 10_000
  for (const { id } of view.endpoints) {
    const running = Math.floor(7 * random())
    const waiting = Math.floor(5 * random())
    health.onLoad(id, { running, waiting, slots: 6 }, now - 2000 * random())
    for (let count = Math.floor(3 * random()); count > 0; count--) health.onSend(id, 0, now)
    for (let count = Math.floor(4 * random()); count > 0; count--) {
      health.onSend(id, 0, now)
      health.onEnd(id, random() < 0.3 ? "broken" : "answered", now)
    }
    for (let count = Math.floor(8 * random()); count > 0; count--)
      health.times.onCall(id, COST_MS * (0.9 + 0.2 * random()), COST_MS, now)
  }
  const excluded = new Set(view.endpoints.flatMap(({ id }) => (random() < 0.2 ? [id] : [])))
  return { view, excluded, now }
}

function buildView(count: number): ServiceView {
  const endpoints = Array.from({ length: count }, (_, index): Registration => {
    const dataCentre = index % 2 === 0 ? "dc-a" : "dc-b"
    const base = { id: `e${String(index)}`, service: "s", address: "127.0.0.1:1" }
    return { ...base, dataCentre, slots: 6, phase: "live" }
  })
  return { endpoints, health: new EndpointHealth(), localDataCentre: "dc-a", meanCostMs: COST_MS }
}
