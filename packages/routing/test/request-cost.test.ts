import { expect } from "chai"
import { PaceEstimator } from "@galenaway/policy"
import {
  choosePlacement,
  CostEstimator,
  DEFAULT_PLACEMENT_COSTS,
  type ModelRequest,
  type PlacementCosts,
  PlacementCostTable,
  type PlacementView,
  WorkLedger,
} from "@galenaway/routing"
import { type PlacementLoad, replayPlacements } from "./placement-replay.js"
import { createRandom } from "./replay-events.js"
import { buildEngine, buildMetadata, buildView } from "./support.js"

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8]
const LOAD: PlacementLoad = {
  instances: 4,
  engines: 6,
  adapters: 16,
  timeScale: 1,
  loadScale: 1,
  utilization: 0.6,
  outputTokens: [20, 20],
  work: "counts",
  costs: "learned",
  seed: 1,
}
/** One in five answers is fifteen times as long, and one instance sends all requests. */
const UNLIKE: PlacementLoad = {
  ...LOAD,
  instances: 1,
  adapters: 0,
  utilization: 0.8,
  outputTokens: [10, 150],
}
const REQUEST: ModelRequest = {
  service: "s",
  route: "chat",
  adapter: "m/a",
  account: undefined,
  promptTokens: 250,
  outputTokens: 100,
}
/** Time between two tokens of the answers. */
const TOKEN_MS = 40

for (const loadScale of [1, 3])
  it(`a deployment whose loads take ${String(loadScale)} times as long is placed within 10% of the best costs`, () => {
    const best = Math.min(
      ...[1 / 3, 1, 2, 3, 4.5].map((factor) =>
        sumTimes({ ...LOAD, loadScale, costs: scaleLoadCosts(factor) }),
      ),
    )
    expect(sumTimes({ ...LOAD, loadScale })).to.be.below(1.1 * best)
  }).timeout(60_000)

it("work that is estimated by learned costs leads to first tokens within 10% of the true costs, which counts miss", () => {
  const best = sumTimes({ ...UNLIKE, work: "true" })
  expect(sumTimes({ ...UNLIKE, work: "learned" })).to.be.below(1.1 * best)
  expect(sumTimes({ ...UNLIKE, work: "counts" })).to.be.above(1.1 * best)
}).timeout(60_000)

it("costs stay at their defaults while the measurements don't clearly differ", () => {
  const random = createRandom(2)
  const table = new PlacementCostTable()
  const pace = new PaceEstimator()
  for (let count = 0; count < 200; count++) {
    table.recordLoad(DEFAULT_PLACEMENT_COSTS.loadMs * (0.6 + 1.2 * random()))
    table.recordRoundTrip(1, true)
    table.recordRoundTrip(1 + 4 * (0.6 + 1.2 * random()), false)
    pace.recordEvent(25 + 30 * random())
  }
  expect(table.getCosts(pace)).to.deep.equal(DEFAULT_PLACEMENT_COSTS)
})

it("waits of requests that joined a load don't make loads look fast, and held adapters don't count", () => {
  const random = createRandom(4)
  const table = new PlacementCostTable()
  for (let count = 0; count < 100; count++) {
    const loadMs = 800 + 100 * random()
    table.recordLoad(random() < 0.4 ? loadMs * random() : loadMs)
    table.recordLoad(2)
  }
  const { loadMs, replicateAnyMs } = table.getCosts(new PaceEstimator())
  expect(loadMs).to.be.within(700, 900)
  expect(replicateAnyMs / loadMs).to.be.closeTo(
    DEFAULT_PLACEMENT_COSTS.replicateAnyMs / DEFAULT_PLACEMENT_COSTS.loadMs,
    0.01,
  )
})

it("a busy instance whose connections all open slowly doesn't take hops for free", () => {
  const random = createRandom(12)
  const table = new PlacementCostTable()
  for (let count = 0; count < 200; count++) {
    const delayMs = random() < 0.2 ? 100 * random() : 0
    table.recordRoundTrip(1 + delayMs, true)
    table.recordRoundTrip(5 + delayMs, false)
  }
  expect(table.getCosts(new PaceEstimator()).hopMs).to.equal(DEFAULT_PLACEMENT_COSTS.hopMs)
})

it("a hop that takes three times as long costs three times as much, and one that takes no time half", () => {
  for (const [extraMs, hopMs] of [
    [12, 24],
    [0, 4],
  ] as const) {
    const table = new PlacementCostTable()
    for (let count = 0; count < 20; count++) {
      table.recordRoundTrip(1, true)
      table.recordRoundTrip(1 + extraMs, false)
    }
    expect(table.getCosts(new PaceEstimator()).hopMs).to.equal(hopMs)
    expect(table.roundTripMs).to.equal(hopMs / 2)
  }
})

it("without informative costs and reports of the pace, engines are chosen as by counts and the default costs", () => {
  const random = createRandom(6)
  const metadata = buildMetadata({ adapter: undefined })
  for (let round = 0; round < 300; round++) {
    const view = buildRandomView(random)
    const placement = choosePlacement(view, metadata, new Set(), 100)
    const costs = view.engines.map(({ id }) => estimateByCounts(view, id, 100))
    const chosen = placement.kind === "send" ? placement.endpoint.id : undefined
    expect(costs[view.engines.findIndex(({ id }) => id === chosen)]).to.equal(Math.min(...costs))
  }
})

it("plain calls are told apart by route and path, and an unknown kind costs the mean", () => {
  const costs = new CostEstimator()
  const call = (path: string) => ({ service: "s", route: "r", path })
  for (let count = 0; count < 100; count++) {
    costs.recordCall(call(`/search/quick/${String(count)}?q=1`), 10)
    costs.recordCall(call("/search/deep"), 50)
  }
  expect(costs.estimateCall(call("/search/quick/x"))).to.be.closeTo(10, 1)
  expect(costs.estimateCall(call("/search/deep?q=2"))).to.be.closeTo(50, 1)
  expect(costs.estimateCall(call("/other"))).to.equal(costs.getMeanCost("s"))
  expect(costs.getMeanCost("s")).to.be.within(20, 40)
})

it("callers whose estimates of the output are far off are corrected by route, adapter and account", () => {
  const costs = new CostEstimator()
  const pace = new PaceEstimator()
  const readMs = pace.firstTokenMs + pace.estimatePromptMs(REQUEST.promptTokens)
  const wrong = { ...REQUEST, account: "hule930" }
  for (let count = 0; count < 200; count++) {
    const outputTokens = 20 + 200 * (count % 5)
    costs.recordRun({ ...REQUEST, outputTokens }, pace, readMs + outputTokens * TOKEN_MS)
    costs.recordRun({ ...wrong, outputTokens }, pace, readMs + 3 * outputTokens * TOKEN_MS)
  }
  expect(costs.isInformative("s")).to.equal(true)
  expect(costs.estimateRun(REQUEST, pace)).to.be.closeTo(readMs + 100 * TOKEN_MS, 100)
  expect(costs.estimateRun(wrong, pace)).to.be.closeTo(readMs + 300 * TOKEN_MS, 300)
})

it("an absurd estimate of one caller doesn't spoil the costs of others", () => {
  const costs = new CostEstimator()
  const pace = new PaceEstimator()
  const readMs = pace.firstTokenMs + pace.estimatePromptMs(REQUEST.promptTokens)
  for (let count = 0; count < 200; count++) {
    const outputTokens = 20 + 200 * (count % 5)
    costs.recordRun({ ...REQUEST, outputTokens }, pace, readMs + outputTokens * TOKEN_MS)
  }
  const absurd = { ...REQUEST, account: "other", outputTokens: 1e300 }
  costs.recordRun(absurd, pace, readMs + 100 * TOKEN_MS)
  expect(costs.estimateRun(REQUEST, pace)).to.be.closeTo(readMs + 100 * TOKEN_MS, 100)
  expect(costs.estimateRun(absurd, pace)).to.be.below(1e6)
})

it("requests cost the mean of their service where the estimates of callers say nothing", () => {
  const costs = new CostEstimator()
  const pace = new PaceEstimator()
  const random = createRandom(8)
  for (let count = 0; count < 200; count++) {
    const ms = 500 + 1000 * random()
    costs.recordRun({ ...REQUEST, outputTokens: Math.round(500 * random()) }, pace, ms)
    pace.recordRun(ms)
  }
  expect(costs.isInformative("s")).to.equal(false)
  expect(costs.estimateRun(REQUEST, pace)).to.equal(pace.runMs)
})

it("work is unfinished until its request ends, and shrinks at the speed of the endpoint", () => {
  const ledger = new WorkLedger()
  const end = ledger.add("e", 1000, 0)
  ledger.add("e", 400, 0)
  expect(ledger.getUnfinished("e", 1, 0)).to.deep.equal({ count: 2, costMs: 1400 })
  expect(ledger.getUnfinished("e", 2, 200)).to.deep.equal({ count: 2, costMs: 1200 })
  expect(ledger.getUnfinished("e", 1, 100_000)).to.deep.equal({ count: 2, costMs: 280 })
  end()
  end()
  expect(ledger.getUnfinished("e", 1, 0)).to.deep.equal({ count: 1, costMs: 400 })
})

function sumTimes(load: PlacementLoad): number {
  return SEEDS.reduce((sum, seed) => sum + replayPlacements({ ...load, seed }), 0)
}

function scaleLoadCosts(factor: number): PlacementCosts {
  const { loadMs, replicatePopularMs, replicateAnyMs } = DEFAULT_PLACEMENT_COSTS
  return {
    ...DEFAULT_PLACEMENT_COSTS,
    loadMs: factor * loadMs,
    replicatePopularMs: factor * replicatePopularMs,
    replicateAnyMs: factor * replicateAnyMs,
  }
}

function buildRandomView(random: () => number): PlacementView {
  const engines = [0, 1, 2, 3, 4].map((index) =>
    buildEngine(`e${String(index)}`, index % 2 === 0 ? "dc-a" : "dc-b"),
  )
  const view = buildView(engines)
  for (const { id } of engines) {
    const running = Math.floor(9 * random())
    const waiting = running === 8 ? Math.floor(6 * random()) : 0
    view.health.onLoad(id, { running, waiting, slots: 8 }, 90 - 1500 * random())
    view.health.onQueueWait(id, 300 * random(), 100 * random())
    for (let count = Math.floor(4 * random()); count > 0; count--) {
      view.health.onSend(id, 100 * random(), 50)
      view.health.work.add(id, 2000 * random(), 50)
    }
    if (random() < 0.3) view.health.onFirstByte(id, 200, 50)
  }
  return view
}

/** The cost of an engine by the rule for deployments without learned figures, written out independently of the code under test. */
function estimateByCounts({ engines, health, pace }: PlacementView, id: string, now: number) {
  const engine = engines.find((other) => other.id === id)
  const slots = engine?.slots ?? 1
  const load = (Math.min(slots, health.countRunning(id, now)) * 30) / slots
  const wait = (health.countAhead(id, slots, now) * pace.runMs) / slots
  const queue = Math.max(wait + health.getBacklog(id, now), health.getQueueWait(id, now))
  const hop = engine?.dataCentre === "dc-a" ? 0 : 8
  return (
    (load + queue) * Math.max(1, health.getSlowness(id)) + hop + 400 * health.getFailureRate(id)
  )
}
