import type { EndpointId, Millis, Registration, RequestMetadata } from "@galenaway/core"
import { PaceEstimator } from "@galenaway/policy"
import {
  choosePlacement,
  chooseReplica,
  CostEstimator,
  EndpointHealth,
  type ModelRequest,
  type PlacementCosts,
  PlacementCostTable,
  type PlacementView,
  Popularity,
  Residency,
  VersionTable,
} from "@galenaway/routing"
import { createRandom, EventQueue } from "./replay-events.js"
import { buildEngine, buildMetadata } from "./support.js"

/** How the work at an engine is estimated: by counts, by learned costs, or by the true ones. */
export type WorkKnowledge = "counts" | "learned" | "true"

/** The load of a replay: model requests of a few instances to engines in two data centres. */
export interface PlacementLoad {
  readonly instances: number
  readonly engines: number
  /** Number of adapters; 0 for requests to the base model. */
  readonly adapters: number
  /** Factor by which all times of the deployment differ from the usual ones. */
  readonly timeScale: number
  /** Factor by which loads take longer than usual, beside the time scale. */
  readonly loadScale: number
  /** Offered work as a share of what the engines can do. */
  readonly utilization: number
  /** Output tokens of short and long answers; one in five is long. */
  readonly outputTokens: readonly [number, number]
  readonly work: WorkKnowledge
  /** Fixed costs, or those that the instances learn. */
  readonly costs: PlacementCosts | "learned"
  readonly seed: number
}

interface ReplayRequest {
  readonly arrivedAt: Millis
  readonly metadata: RequestMetadata
  readonly kind: ModelRequest
  readonly promptMs: Millis
  readonly runMs: Millis
}

interface ReplayEngine {
  readonly registration: Registration
  running: number
  readonly queue: (() => void)[]
  /** Adapters with the times of their last use, the least recently used one first. */
  readonly adapters: Map<string, Millis>
  readonly loading: Map<string, (() => void)[]>
}

interface ReplayInstance {
  readonly view: PlacementView
  readonly costs: CostEstimator
  readonly placementCosts: PlacementCostTable
}

const SLOTS = 8
const ADAPTER_SLOTS = 4
const TOKENS_PER_MS = 25
const EVENT_MS = 40
const FIRST_TOKEN_MS = 10
const LOAD_MS = 260
const HOP_MS = 4
const LONG_SHARE = 0.2
const POPULARITY_HALF_LIFE_MS = 5000
/** Time of the replay, and the part of it that isn't counted, at the usual speed. */
const DURATION_MS = 60_000
const WARM_UP_MS = 15_000

/** Replays requests and returns the mean time to the first token, divided by the time scale. Equal loads give equal results. */
export function replayPlacements(load: PlacementLoad): Millis {
  return new PlacementReplay(load).run()
}

class PlacementReplay {
  private now: Millis = 0
  private readonly events = new EventQueue()
  private readonly random: () => number
  private readonly engines: readonly ReplayEngine[]
  private readonly instances: readonly ReplayInstance[]
  private sumMs: Millis = 0
  private count = 0

  constructor(private readonly load: PlacementLoad) {
    this.random = createRandom(load.seed)
    this.engines = Array.from({ length: load.engines }, (_, index) => ({
      registration: buildEngine(`e${String(index)}`, formatDataCentre(index)),
      running: 0,
      queue: [],
      adapters: new Map(),
      loading: new Map(),
    }))
    this.instances = Array.from({ length: load.instances }, (_, index) =>
      this.createInstance(formatDataCentre(index)),
    )
  }

  run(): Millis {
    const { timeScale, instances } = this.load
    for (let index = 0; index < instances; index++) this.scheduleArrival(index)
    for (let event = this.events.pop(); event; event = this.events.pop()) {
      this.now = event.at
      if (this.now > DURATION_MS * timeScale) break
      event.run()
    }
    return this.sumMs / this.count / timeScale
  }

  private createInstance(localDataCentre: string): ReplayInstance {
    const engines = this.engines.map(({ registration }) => registration)
    const residency = new Residency()
    for (const { id } of engines) residency.update(id, "owner", ["m"], [], 0)
    const view: PlacementView = {
      engines,
      findEngine: (id) => engines.find((engine) => engine.id === id),
      health: new EndpointHealth(),
      pace: new PaceEstimator(),
      residency,
      versions: new VersionTable(1000),
      popularity: new Popularity(POPULARITY_HALF_LIFE_MS * this.load.timeScale),
      localDataCentre,
      canLoad: () => true,
    }
    return { view, costs: new CostEstimator(), placementCosts: new PlacementCostTable() }
  }

  /** Schedules an event after a time at the usual speed. */
  private schedule(delayMs: Millis, run: () => void): void {
    this.events.push({ at: this.now + delayMs * this.load.timeScale, run })
  }

  private scheduleArrival(index: number): void {
    const { utilization, engines, instances, outputTokens } = this.load
    const [short, long] = outputTokens
    const meanTokens = short + LONG_SHARE * (long - short)
    const capacity = (engines * SLOTS) / (FIRST_TOKEN_MS + 40 + meanTokens * EVENT_MS)
    const gapMs = instances / (utilization * capacity)
    this.schedule(-Math.log(1 - this.random()) * gapMs, () => {
      this.scheduleArrival(index)
      const instance = this.instances[index]
      if (instance) this.place(instance, this.createRequest())
    })
  }

  private createRequest(): ReplayRequest {
    const isLong = this.random() < LONG_SHARE
    const outputTokens = this.load.outputTokens[isLong ? 1 : 0]
    const { adapters } = this.load
    const index = Math.floor(adapters * this.random() ** 2)
    const adapter = adapters > 0 ? `m/a${String(index)}` : undefined
    const promptTokens = Math.round(500 + 1000 * this.random())
    const metadata = buildMetadata({ adapter, promptTokens, outputTokens })
    const actualTokens = outputTokens * (0.5 + this.random())
    const promptMs = FIRST_TOKEN_MS + promptTokens / TOKENS_PER_MS
    return {
      arrivedAt: this.now,
      metadata,
      kind: { service: "s", route: "r", adapter, account: undefined, promptTokens, outputTokens },
      promptMs,
      runMs: promptMs + actualTokens * EVENT_MS,
    }
  }

  private place(instance: ReplayInstance, request: ReplayRequest): void {
    const { costs, work } = this.load
    const { adapter = "" } = request.metadata
    if (adapter !== "") instance.view.popularity.add(adapter, this.now)
    const view: PlacementView = {
      ...instance.view,
      costs: costs === "learned" ? instance.placementCosts.getCosts(instance.view.pace) : costs,
      usesWork: work === "true" || (work === "learned" && instance.costs.isInformative("s")),
    }
    const placement = choosePlacement(view, request.metadata, new Set(), this.now)
    const replica = chooseReplica(view, request.metadata, this.now)
    if (replica) this.startLoad(this.find(replica.id), adapter, () => undefined)
    if (placement.kind === "none") return
    const engine = this.find(placement.endpoint.id)
    if (placement.kind === "send") {
      this.send(instance, request, engine)
      return
    }
    const askedAt = this.now
    this.startLoad(engine, adapter, () => {
      instance.placementCosts.recordLoad(this.now - askedAt)
      this.send(instance, request, engine)
    })
  }

  private find(id: EndpointId): ReplayEngine {
    const engine = this.engines.find(({ registration }) => registration.id === id)
    if (!engine) throw new Error(`no engine ${id}`)
    return engine
  }

  private startLoad(engine: ReplayEngine, adapter: string, onLoaded: () => void): void {
    const waiting = engine.loading.get(adapter)
    if (waiting || engine.adapters.has(adapter)) {
      if (waiting) waiting.push(onLoaded)
      else onLoaded()
      return
    }
    engine.loading.set(adapter, [onLoaded])
    this.schedule(LOAD_MS * this.load.loadScale * (0.8 + 0.4 * this.random()), () => {
      this.onLoaded(engine, adapter)
    })
  }

  private onLoaded(engine: ReplayEngine, adapter: string): void {
    const { id } = engine.registration
    const [oldest] = engine.adapters.keys()
    if (engine.adapters.size >= ADAPTER_SLOTS && oldest !== undefined) {
      engine.adapters.delete(oldest)
      for (const { view } of this.instances) view.residency.remove(id, oldest)
    }
    engine.adapters.set(adapter, this.now)
    for (const { view } of this.instances) view.residency.add(id, adapter, 1)
    const waiting = engine.loading.get(adapter) ?? []
    engine.loading.delete(adapter)
    for (const onLoaded of waiting) onLoaded()
  }

  private send(instance: ReplayInstance, request: ReplayRequest, engine: ReplayEngine): void {
    const { view, costs } = instance
    const { id, dataCentre } = engine.registration
    const { adapter = "", promptTokens } = request.metadata
    if (engine.adapters.delete(adapter)) engine.adapters.set(adapter, this.now)
    const hopMs = dataCentre === view.localDataCentre ? 0 : HOP_MS
    instance.placementCosts.recordRoundTrip(hopMs * this.load.timeScale, hopMs === 0)
    const costMs =
      this.load.work === "true"
        ? request.runMs * this.load.timeScale
        : costs.estimateRun(request.kind, view.pace)
    view.health.onSend(id, view.pace.estimatePromptMs(promptTokens), this.now)
    const endWork = view.health.work.add(id, costMs, this.now)
    this.schedule(2 * hopMs, () => {
      engine.queue.push(() => {
        this.runRequest(instance, request, engine, endWork)
      })
      this.startRequests(engine)
    })
  }

  private startRequests(engine: ReplayEngine): void {
    while (engine.running < SLOTS) {
      const start = engine.queue.shift()
      if (!start) return
      engine.running++
      start()
    }
  }

  private runRequest(
    { view, costs }: ReplayInstance,
    { arrivedAt, kind, promptMs, runMs }: ReplayRequest,
    engine: ReplayEngine,
    endWork: () => void,
  ): void {
    const { id } = engine.registration
    const startedAt = this.now
    this.schedule(promptMs, () => {
      if (arrivedAt > WARM_UP_MS * this.load.timeScale) {
        this.count++
        this.sumMs += this.now - arrivedAt
      }
      const waiting = engine.queue.length
      view.health.onLoad(id, { running: engine.running, waiting, slots: SLOTS }, this.now)
      view.pace.recordPrompt(kind.promptTokens, this.now - startedAt)
    })
    this.schedule(runMs, () => {
      engine.running--
      this.startRequests(engine)
      endWork()
      view.health.onEnd(id, "answered", this.now)
      const ms = this.now - startedAt
      view.pace.recordRun(ms)
      costs.recordRun(kind, view.pace, ms)
      for (let event = 0; event < 10; event++) view.pace.recordEvent(EVENT_MS * this.load.timeScale)
    })
  }
}

function formatDataCentre(index: number): string {
  return index % 2 === 0 ? "dc-a" : "dc-b"
}
