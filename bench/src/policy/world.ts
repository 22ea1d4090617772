import {
  type DataCentre,
  type EndpointId,
  type EndpointInfo,
  getRankIndex,
  type RouteRequest,
} from "@galenaway/core"
import { BATCH_LIMIT, EngineModel, StoreModel } from "./engine.js"
import type { Simulation } from "./simulation.js"

/** Engines of the fleet. */
export const ENGINE_COUNT = 13
/** Adapters that an engine holds at once. */
export const SLOT_COUNT = 8
const DATA_CENTRES = ["x", "y", "z"] as const
const INSTANCE_PLACES: readonly DataCentre[] = ["x", "y", "z", "x"]
const LOCAL_MS = 0.3
const HOP_MS = 1.5
const CALLER_MS = 1
const ATTEMPT_LIMIT = 3

/** What became of one request. Times are in milliseconds; a time that never came is undefined. */
export interface RequestRecord {
  readonly request: RouteRequest
  /** The instance that has it. */
  instance: InstanceModel | undefined
  sentAt: number | undefined
  firstTokenAt: number | undefined
  doneAt: number | undefined
  refusedAt: number | undefined
  /** Time that passed until its adapter was loaded, when it had to wait for that. */
  stalledMs: number | undefined
  attempts: number
}

/** An entry instance's place. */
export interface InstanceModel {
  readonly index: number
  readonly dataCentre: DataCentre
  isUp: boolean
}

/** Everything that both strategies find outside themselves. */
export interface World {
  readonly simulation: Simulation
  readonly store: StoreModel
  readonly engines: ReadonlyMap<EndpointId, EngineModel>
  readonly endpoints: readonly EndpointInfo[]
  readonly instances: readonly InstanceModel[]
  readonly records: Map<string, RequestRecord>
  readonly random: () => number
}

/** Decides where requests run. */
export interface Strategy {
  /** A caller's request arrived at an instance. */
  submit(request: RouteRequest, instance: InstanceModel): void
  /** An instance died with everything that it knew. */
  removeInstance(instance: InstanceModel): void
}

/** Creates 13 engines in 3 data centres, 4 entry instances and the weight store. */
export function createWorld(simulation: Simulation, random: () => number): World {
  const store = new StoreModel(simulation)
  const endpoints = Array.from({ length: ENGINE_COUNT }, (_, index) => createInfo(index))
  const engines = endpoints.map(
    ({ id }) => [id, new EngineModel(id, simulation, store, random, SLOT_COUNT)] as const,
  )
  const instances = INSTANCE_PLACES.map((dataCentre, index) => ({ index, dataCentre, isUp: true }))
  return {
    simulation,
    store,
    engines: new Map(engines),
    endpoints,
    instances,
    records: new Map(),
    random,
  }
}

/** Returns the time of a message between two data centres. */
export function getDelay(from: DataCentre, to: DataCentre): number {
  return from === to ? LOCAL_MS : HOP_MS
}

/** Lets a request arrive at a random live instance, again after the loss of the one before. */
export function sendRequest(world: World, strategy: Strategy, request: RouteRequest): void {
  const live = world.instances.filter((instance) => instance.isUp)
  const instance = live[Math.floor(world.random() * live.length)]
  const record = world.records.get(request.id)
  if (!instance || !record) return
  record.instance = instance
  world.simulation.schedule(CALLER_MS, () => {
    strategy.submit(request, instance)
  })
}

/** Takes an instance away. Its callers come back through another one if they have seen nothing of an answer. */
export function stopInstance(world: World, strategy: Strategy, instance: InstanceModel): void {
  instance.isUp = false
  strategy.removeInstance(instance)
  for (const record of world.records.values()) {
    const isOpen = record.doneAt === undefined && record.refusedAt === undefined
    if (record.instance !== instance || !isOpen) continue
    for (const engine of world.engines.values()) engine.cancel(record.request.id)
    if (record.firstTokenAt === undefined) sendRequest(world, strategy, record.request)
  }
}

/** How a try at an engine ended. */
export type AttemptResult = "done" | "missing" | "failed"

/** Sends a request to an engine and records what the caller sees. */
export function sendToEngine(
  world: World,
  request: RouteRequest,
  endpoint: EndpointId,
  instance: InstanceModel,
  onEnd: (result: AttemptResult) => void,
): void {
  const { simulation } = world
  const engine = world.engines.get(endpoint)
  const endpointInfo = world.endpoints.find(({ id }) => id === endpoint)
  const record = world.records.get(request.id)
  if (!engine || !endpointInfo || !record) return
  const delay = getDelay(instance.dataCentre, endpointInfo.dataCentre)
  const end = (result: AttemptResult) => {
    simulation.schedule(delay, () => {
      onEnd(result)
    })
  }
  simulation.schedule(delay, () => {
    if (!instance.isUp) return
    record.attempts++
    const result = engine.submit({
      request: request.id,
      adapter: request.adapter,
      priority: getRankIndex(request.rank),
      tokens: request.maxTokens,
      onFirstToken: () => {
        record.firstTokenAt ??= simulation.now + delay + CALLER_MS
      },
      onEnd: (how) => {
        if (how === "done") record.doneAt = simulation.now
        end(how)
      },
    })
    if (result === "accepted") recordStart(record, engine, simulation.now)
    else end(result === "missing" ? "missing" : "failed")
  })
}

/** Tells whether a failed request may be tried again: its caller has seen nothing of an answer yet. */
export function canRetry(record: RequestRecord): boolean {
  return record.firstTokenAt === undefined && record.attempts < ATTEMPT_LIMIT
}

function recordStart(record: RequestRecord, engine: EngineModel, now: number): void {
  record.sentAt = now
  const loadedAt = engine.resident.get(record.request.adapter)?.loadedAt ?? 0
  if (loadedAt > record.request.arrivedAt) record.stalledMs ??= now - record.request.arrivedAt
}

function createInfo(index: number): EndpointInfo {
  return {
    id: `e${index}`,
    kind: "engine",
    dataCentre: DATA_CENTRES[index % DATA_CENTRES.length] ?? "x",
    url: "http://127.0.0.1:1",
    fencing: "checked",
    slots: SLOT_COUNT,
    capacity: BATCH_LIMIT,
  }
}
