import { createRandom } from "@galenaway/fakes"
import type { PolicySettings } from "@galenaway/policy"
import { DEFAULT_POLICY, hashText, rankEndpoints } from "@galenaway/policy"
import { CoordinatedStrategy, type EndpointRanking } from "./coordinated.js"
import type { EngineModel } from "./engine.js"
import { computeFigures, computeBatchFill, type Figures, sumEngineOutput } from "./figures.js"
import { NaiveStrategy } from "./naive.js"
import { Simulation } from "./simulation.js"
import {
  buildWorkload,
  type CaseName,
  DRAIN_MS,
  DISTURBED_MS,
  LAST_ARRIVAL_MS,
  formatAdapterKey,
} from "./workload.js"
import {
  createWorld,
  sendRequest,
  stopInstance,
  SLOT_COUNT,
  type Strategy,
  type World,
} from "./world.js"

/** Offset that gives the world other random numbers than the workload of the same seed. */
const WORLD_SEED_OFFSET = 1_000_000
const COLD_START_MS = 3000
const RESTARTED_ENGINE_COUNT = 10
const RESTART_INTERVAL_MS = 4000
const LOAD_FAILURE_SHARE = 0.3
const LOST_INSTANCE_INDEX = 1

/** The compared strategies. Each adds one part of the scheduler to the strategy before it. */
export const STRATEGIES = ["naive", "owners", "placement", "floors"] as const

/** The name of a strategy. */
export type StrategyName = (typeof STRATEGIES)[number]

const NO_FLOORS: PolicySettings = { ...DEFAULT_POLICY, floors: { urgent: 0, standard: 0, bulk: 0 } }

/** Runs one case with one strategy and one seed. The same arguments give the same figures. */
export function runCase(name: CaseName, strategyName: StrategyName, seed: number): Figures {
  const simulation = new Simulation()
  const world = createWorld(simulation, createRandom(seed + WORLD_SEED_OFFSET))
  loadPopularAdapters(world)
  const strategy = createStrategy(world, strategyName)
  for (const request of buildWorkload(name, seed))
    simulation.schedule(request.arrivedAt, () => {
      world.records.set(request.id, {
        request,
        instance: undefined,
        sentAt: undefined,
        firstTokenAt: undefined,
        doneAt: undefined,
        refusedAt: undefined,
        stalledMs: undefined,
        attempts: 0,
      })
      sendRequest(world, strategy, request)
    })
  scheduleFaults(world, strategy, name)
  simulation.runUntil(DISTURBED_MS.start)
  const outputBefore = sumEngineOutput(world)
  simulation.runUntil(DISTURBED_MS.end)
  const fill = computeBatchFill(outputBefore, sumEngineOutput(world))
  simulation.runUntil(LAST_ARRIVAL_MS + DRAIN_MS)
  return computeFigures(world, fill)
}

/** Fills all slots with the most popular adapters, so that a run doesn't measure their first loads. */
function loadPopularAdapters(world: World): void {
  const engines = [...world.engines.values()]
  for (let index = 0; index < engines.length * SLOT_COUNT; index++)
    engines[index % engines.length]?.addResident(formatAdapterKey(index))
}

function createStrategy(world: World, name: StrategyName): Strategy {
  switch (name) {
    case "naive":
      return new NaiveStrategy(world)
    case "owners":
      return new CoordinatedStrategy(world, NO_FLOORS, orderByHash)
    case "placement":
      return new CoordinatedStrategy(world, NO_FLOORS, rankEndpoints)
    case "floors":
      return new CoordinatedStrategy(world, DEFAULT_POLICY, rankEndpoints)
  }
}

/** Orders endpoints by a hash of adapter and endpoint. Residency and load of the endpoints are not considered. */
const orderByHash: EndpointRanking = (views, request) => {
  const computeWeight = (id: string) => hashText(request.adapter, hashText(id))
  return views
    .filter(({ isReachable }) => isReachable)
    .map(({ info }) => info.id)
    .sort((a, b) => computeWeight(a) - computeWeight(b))
}

function scheduleFaults(world: World, strategy: Strategy, name: CaseName): void {
  const { simulation } = world
  const engines = [...world.engines.values()]
  switch (name) {
    case "flood-and-endpoint-loss":
      simulation.schedule((DISTURBED_MS.start + DISTURBED_MS.end) / 2, () => engines[0]?.stop())
      return
    case "instance-loss":
      simulation.schedule(DISTURBED_MS.start, () => {
        const instance = world.instances[LOST_INSTANCE_INDEX]
        if (instance) stopInstance(world, strategy, instance)
      })
      return
    case "engine-restarts":
      engines.slice(0, RESTARTED_ENGINE_COUNT).forEach((engine, index) => {
        simulation.schedule(DISTURBED_MS.start + index * RESTART_INTERVAL_MS, () => {
          restartEngine(world, engine)
        })
      })
      return
    case "failing-loads":
      simulation.schedule(DISTURBED_MS.start, () => {
        for (const engine of engines) engine.loadFailureShare = LOAD_FAILURE_SHARE
      })
      simulation.schedule(DISTURBED_MS.end, () => {
        for (const engine of engines) engine.loadFailureShare = 0
      })
      return
    case "steady":
    case "popularity-shift":
    case "bulk-flood":
    case "urgent-flood":
    case "bulk-then-urgent-flood":
    case "store-at-limit":
      return
  }
}

function restartEngine(world: World, engine: EngineModel): void {
  engine.stop()
  world.simulation.schedule(COLD_START_MS, () => {
    engine.start()
  })
}
