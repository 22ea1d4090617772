import {
  type DataCentre,
  type EndpointId,
  type EndpointInfo,
  getRankIndex,
  type RouteRequest,
} from "@galenaway/core"
import { BATCH_LIMIT, EngineModel, StoreModel } from "./engine.js"
import type { Simulation } from "./simulation.js"

/** Number of engines in the fleet. */
export const ENGINE_COUNT = 13
/** Number of adapters that can be resident on an engine. */
export const SLOT_COUNT = 8
const DATA_CENTRES = ["x", "y", "z"] as const
const INSTANCE_DATA_CENTRES: readonly DataCentre[] = ["x", "y", "z", "x"]
const SAME_DATA_CENTRE_DELAY_MS = 0.3
const CROSS_DATA_CENTRE_DELAY_MS = 1.5
const CALLER_DELAY_MS = 1
const ATTEMPT_LIMIT = 3

/** History of one request. Times are in milliseconds and undefined until they are reached. */
export interface RequestRecord {
  readonly request: RouteRequest
  /** The instance that received the request last. */
  instance: InstanceModel | undefined
  sentAt: number | undefined
  firstTokenAt: number | undefined
  doneAt: number | undefined
  refusedAt: number | undefined
  /** Time from its arrival until it was sent, if its adapter was loaded in between; otherwise undefined. */
  stalledMs: number | undefined
  attempts: number
}

/** Models an entry instance. */
export interface InstanceModel {
  readonly index: number
  readonly dataCentre: DataCentre
  isUp: boolean
}

/** The simulated environment that every strategy runs in. */
export interface World {
  readonly simulation: Simulation
  readonly store: StoreModel
  readonly engines: ReadonlyMap<EndpointId, EngineModel>
  readonly endpoints: readonly EndpointInfo[]
  readonly instances: readonly InstanceModel[]
  readonly records: Map<string, RequestRecord>
  readonly random: () => number
}

/** Routes requests to engines. */
export interface Strategy {
  /** Handles a caller's request that arrived at an instance. */
  submit(request: RouteRequest, instance: InstanceModel): void
  /** Handles the loss of an instance with all of its state. */
  removeInstance(instance: InstanceModel): void
}

/** Creates the engines and entry instances in three data centres, and the weight store. */
export function createWorld(simulation: Simulation, random: () => number): World {
  const store = new StoreModel(simulation)
  const endpoints = Array.from({ length: ENGINE_COUNT }, (_, index) => createEndpointInfo(index))
  const engines = endpoints.map(
    ({ id }) => [id, new EngineModel(id, simulation, store, random, SLOT_COUNT)] as const,
  )
  const instances = INSTANCE_DATA_CENTRES.map((dataCentre, index) => ({
    index,
    dataCentre,
    isUp: true,
  }))
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

/** Returns the delay of a message between two data centres, in milliseconds. */
export function getDelay(from: DataCentre, to: DataCentre): number {
  return from === to ? SAME_DATA_CENTRE_DELAY_MS : CROSS_DATA_CENTRE_DELAY_MS
}

/** Sends a caller's request to a random live instance. It does nothing if no instance is up. */
export function sendRequest(world: World, strategy: Strategy, request: RouteRequest): void {
  const live = world.instances.filter((instance) => instance.isUp)
  const instance = live[Math.floor(world.random() * live.length)]
  const record = world.records.get(request.id)
  if (!instance || !record) return
  record.instance = instance
  world.simulation.schedule(CALLER_DELAY_MS, () => {
    strategy.submit(request, instance)
  })
}

/**
 * Stops an instance and cancels its requests. Callers that received no token
 * send their request again to another instance.
 */
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

/** Outcome of an attempt at an engine. */
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
  const scheduleEnd = (result: AttemptResult) => {
    simulation.schedule(delay, () => {
      onEnd(result)
    })
  }
  simulation.schedule(delay, () => {
    if (!instance.isUp) return
    record.attempts++
    const submission = engine.submit({
      request: request.id,
      adapter: request.adapter,
      priority: getRankIndex(request.rank),
      tokens: request.maxTokens,
      onFirstToken: () => {
        record.firstTokenAt ??= simulation.now + delay + CALLER_DELAY_MS
      },
      onEnd: (engineResult) => {
        if (engineResult === "done") record.doneAt = simulation.now
        scheduleEnd(engineResult)
      },
    })
    if (submission === "accepted") recordStart(record, engine, simulation.now)
    else scheduleEnd(submission === "missing" ? "missing" : "failed")
  })
}

/** Returns whether a failed request can be retried: its caller received no token and attempts are left. */
export function canRetry(record: RequestRecord): boolean {
  return record.firstTokenAt === undefined && record.attempts < ATTEMPT_LIMIT
}

function recordStart(record: RequestRecord, engine: EngineModel, now: number): void {
  record.sentAt = now
  const loadedAt = engine.resident.get(record.request.adapter)?.loadedAt ?? 0
  if (loadedAt > record.request.arrivedAt) record.stalledMs ??= now - record.request.arrivedAt
}

function createEndpointInfo(index: number): EndpointInfo {
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
