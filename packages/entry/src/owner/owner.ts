import type { OwnedEndpoint } from "@galenaway/coordination"
import type {
  AdapterName,
  AdapterVersion,
  Clock,
  EndpointId,
  EngineClient,
  EngineLimits,
  HeldAdapter,
  InstanceId,
  Millis,
  Registration,
} from "@galenaway/core"
import type { Log, Metrics } from "@galenaway/observe"
import type { VersionTable } from "@galenaway/routing"
import type { Directory } from "../catalogue/directory.js"
import type { Serving } from "../catalogue/serving.js"
import type { Ownership } from "../fleet/ownership.js"
import { LoadTimeEstimator } from "./load-poll-schedule.js"
import { EngineController } from "./engine-controller.js"
import type { LoadOptions, LoadOutcome } from "./load-queue.js"

/** What an owner tells of an engine. */
export interface EngineSnapshot {
  readonly endpoint: EndpointId
  readonly models: readonly string[]
  readonly adapters: readonly HeldAdapter[]
}

/** What an owner needs. */
export interface OwnerDependencies {
  readonly self: InstanceId
  readonly ownership: Ownership
  readonly directory: Directory
  readonly serving: Serving
  readonly versions: VersionTable
  readonly engineClient: EngineClient
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Metrics
  readonly orderTimeoutMs: Millis
  /** Start of this process. */
  readonly startedAt: Millis
  onEngineChanged(news: EngineSnapshot): void
  onEngineLost(endpoint: EndpointId): void
}

/** Keeps the engines that this instance owns. */
export class Owner {
  private readonly controllers = new Map<EndpointId, EngineController>()
  private readonly owned = new Set<EndpointId>()
  private readonly loadTimeEstimator = new LoadTimeEstimator()

  constructor(private readonly deps: OwnerDependencies) {
    deps.ownership.on("gained", (endpoint) => {
      this.owned.add(endpoint)
      this.startController(endpoint)
    })
    deps.ownership.on("lost", (endpoint) => {
      this.owned.delete(endpoint)
      this.stopController(endpoint, "not owned any more")
      deps.onEngineLost(endpoint)
    })
    deps.directory.on("started", ({ id }) => {
      if (this.owned.has(id)) this.startController(id)
    })
    deps.directory.on("gone", ({ id }) => {
      this.stopController(id, "the engine is gone")
    })
  }

  /** Lists the engines that need an owner. */
  listEngines(): readonly OwnedEndpoint[] {
    return this.deps.directory.listAll().flatMap(({ id, dataCentre, service }) => {
      return this.findLimits(service) ? [{ id, dataCentre }] : []
    })
  }

  /** Loads an adapter on an owned engine. */
  load(
    endpoint: EndpointId,
    adapter: AdapterName,
    version: AdapterVersion | undefined,
    ask: LoadOptions,
  ): Promise<LoadOutcome> {
    const keeper = this.controllers.get(endpoint)
    if (keeper) return keeper.load(adapter, version, ask)
    return Promise.resolve({ kind: "refused", reason: "not owned here" })
  }

  /** Notes requests that use an adapter on an owned engine. */
  onUse(endpoint: EndpointId, adapter: AdapterName, holder: InstanceId, inFlight: number): void {
    this.controllers.get(endpoint)?.onUse(adapter, holder, inFlight)
  }

  /** Forgets the requests of an instance that is gone. */
  removeHolder(holder: InstanceId): void {
    for (const keeper of this.controllers.values()) keeper.removeHolder(holder)
  }

  /** Tells whether this instance gives an engine its orders. */
  hasEngine(endpoint: EndpointId): boolean {
    return this.controllers.has(endpoint)
  }

  /** Lists what the owned engines hold. */
  listSnapshots(): readonly EngineSnapshot[] {
    return [...this.controllers].flatMap(([endpoint, keeper]) =>
      keeper.isReady ? [this.buildSnapshot(endpoint, keeper)] : [],
    )
  }

  /** Starts keepers of engines that were listed only after they were claimed. */
  startMissing(): void {
    for (const endpoint of this.owned)
      if (!this.controllers.has(endpoint)) this.startController(endpoint)
  }

  /** Stops giving orders. */
  stop(): void {
    for (const endpoint of [...this.controllers.keys()]) this.stopController(endpoint, "stopping")
  }

  private startController(endpoint: EndpointId): void {
    const { directory, log } = this.deps
    const engine = directory.find(endpoint)
    const limits = engine && this.findLimits(engine.service)
    const model = engine && limits && this.chooseModel(engine, limits)
    if (!engine || !limits || model === undefined) return
    this.stopController(endpoint, "the engine has started anew")
    const keeper = new EngineController(engine, limits, model, {
      ...this.deps,
      loadTimeEstimator: this.loadTimeEstimator,
      getToken: () => this.deps.ownership.getToken(endpoint),
      onChange: () => {
        this.deps.onEngineChanged(this.buildSnapshot(endpoint, keeper))
      },
    })
    this.controllers.set(endpoint, keeper)
    log.info({ endpoint, model, startedAt: engine.startedAt }, "engine kept")
    keeper.start()
  }

  private stopController(endpoint: EndpointId, reason: string): void {
    const keeper = this.controllers.get(endpoint)
    if (!keeper) return
    this.controllers.delete(endpoint)
    keeper.stop(reason)
  }

  private buildSnapshot(endpoint: EndpointId, keeper: EngineController): EngineSnapshot {
    const isReady = keeper.isReady
    return {
      endpoint,
      models: isReady ? keeper.listModels() : [],
      adapters: isReady ? keeper.listHeld() : [],
    }
  }

  private findLimits(service: string): EngineLimits | undefined {
    return this.deps.serving.routes?.configuration.services.get(service)?.engine
  }

  /** The model that the engine holds, else the one that the fewest engines hold. */
  private chooseModel({ id, service, holdings }: Registration, limits: EngineLimits) {
    const names = limits.models.map(({ name }) => name)
    const held = holdings?.models.find((name) => names.includes(name))
    if (held !== undefined) return held
    const counts = new Map(names.map((name) => [name, 0]))
    for (const other of this.deps.directory.listLive(service))
      if (other.id !== id)
        for (const name of other.holdings?.models ?? [])
          counts.set(name, (counts.get(name) ?? 0) + 1)
    return names.sort((a, b) => (counts.get(a) ?? 0) - (counts.get(b) ?? 0))[0]
  }
}
