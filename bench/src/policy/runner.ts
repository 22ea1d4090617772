import { createRandom } from "@galenaway/fakes"
import type { PolicySettings } from "@galenaway/policy"
import { DEFAULT_POLICY, hashText, rankEndpoints } from "@galenaway/policy"
import { CoordinatedStrategy, type Placement } from "./coordinated.js"
import type { EngineModel } from "./engine.js"
import { computeFigures, computeFill, type Figures, readOutput } from "./figures.js"
import { NaiveStrategy } from "./naive.js"
import { Simulation } from "./simulation.js"
import {
  buildWorkload,
  type CaseName,
  DRAIN_MS,
  DURING_MS,
  END_MS,
  formatIndex,
} from "./workload.js"
import { createWorld, sendRequest, stopSite, SLOTS, type Strategy, type World } from "./world.js"

const COLD_START_MS = 3000
const RESTART_EVERY_MS = 4000
const FAIL_SHARE = 0.3
const LOST_SITE = 1

/** The strategies beside each other, each a step beyond the one before. */
export const STRATEGIES = ["naive", "owners", "placement", "floors"] as const

/** The name of a strategy. */
export type StrategyName = (typeof STRATEGIES)[number]

const NO_FLOORS: PolicySettings = { ...DEFAULT_POLICY, floors: { urgent: 0, standard: 0, bulk: 0 } }

/** Runs one case with one strategy and one seed. The same arguments give the same figures. */
export function runCase(name: CaseName, strategyName: StrategyName, seed: number): Figures {
  const simulation = new Simulation()
  const world = createWorld(simulation, createRandom(seed + 1_000_000))
  addPopular(world)
  const strategy = createStrategy(world, strategyName)
  for (const request of buildWorkload(name, seed))
    simulation.after(request.arrivedAt, () => {
      world.records.set(request.id, {
        request,
        site: undefined,
        sentAt: undefined,
        firstTokenAt: undefined,
        doneAt: undefined,
        refusedAt: undefined,
        stalledMs: undefined,
        attempts: 0,
      })
      sendRequest(world, strategy, request)
    })
  addFaults(world, strategy, name)
  simulation.runUntil(DURING_MS.start)
  const before = readOutput(world)
  simulation.runUntil(DURING_MS.end)
  const fill = computeFill(before, readOutput(world))
  simulation.runUntil(END_MS + DRAIN_MS)
  return computeFigures(world, fill)
}

/** Fills every slot with the most popular adapters, so that a run begins warm. */
function addPopular(world: World): void {
  const engines = [...world.engines.values()]
  for (let index = 0; index < engines.length * SLOTS; index++)
    engines[index % engines.length]?.place(formatIndex(index))
}

function createStrategy(world: World, name: StrategyName): Strategy {
  switch (name) {
    case "naive":
      return new NaiveStrategy(world)
    case "owners":
      return new CoordinatedStrategy(world, NO_FLOORS, rankByHash)
    case "placement":
      return new CoordinatedStrategy(world, NO_FLOORS, rankEndpoints)
    case "floors":
      return new CoordinatedStrategy(world, DEFAULT_POLICY, rankEndpoints)
  }
}

/** Sends every adapter to its own endpoints, whatever they hold and however loaded they are. */
const rankByHash: Placement = (views, request) => {
  const weigh = (id: string) => hashText(request.adapter, hashText(id))
  return views
    .filter(({ isReachable }) => isReachable)
    .map(({ info }) => info.id)
    .sort((a, b) => weigh(a) - weigh(b))
}

function addFaults(world: World, strategy: Strategy, name: CaseName): void {
  const { simulation } = world
  const engines = [...world.engines.values()]
  switch (name) {
    case "flood-and-endpoint-loss":
      simulation.after((DURING_MS.start + DURING_MS.end) / 2, () => engines[0]?.stop())
      return
    case "instance-loss":
      simulation.after(DURING_MS.start, () => {
        const site = world.sites[LOST_SITE]
        if (site) stopSite(world, strategy, site)
      })
      return
    case "engine-restarts":
      engines.slice(0, 10).forEach((engine, index) => {
        simulation.after(DURING_MS.start + index * RESTART_EVERY_MS, () => {
          runRestart(world, engine)
        })
      })
      return
    case "failing-loads":
      simulation.after(DURING_MS.start, () => {
        for (const engine of engines) engine.failShare = FAIL_SHARE
      })
      simulation.after(DURING_MS.end, () => {
        for (const engine of engines) engine.failShare = 0
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

function runRestart(world: World, engine: EngineModel): void {
  engine.stop()
  world.simulation.after(COLD_START_MS, () => {
    engine.start()
  })
}
