import type { OwnedEndpoint } from "@galenaway/coordination"
import type {
  AdapterName,
  AdapterVersion,
  Clock,
  EndpointId,
  EngineControl,
  EngineLimits,
  HeldAdapter,
  InstanceId,
  Millis,
  Registration,
} from "@galenaway/core"
import type { Log, Metrics } from "@galenaway/observe"
import type { VersionTable } from "@galenaway/routing"
import type { EndpointDirectory } from "../catalogue/directory.js"
import type { OperatorCatalogue } from "../catalogue/operator-catalogue.js"
import type { Ownership } from "../fleet/ownership.js"
import { LoadTime } from "./arrival-polls.js"
import { EngineKeeper } from "./engine-keeper.js"
import type { LoadAsk, LoadOutcome } from "./load-queue.js"

/** What an owner tells of an engine. */
export interface EngineNews {
  readonly endpoint: EndpointId
  readonly models: readonly string[]
  readonly adapters: readonly HeldAdapter[]
}

/** What an owner needs. */
export interface OwnerParts {
  readonly self: InstanceId
  readonly ownership: Ownership
  readonly directory: EndpointDirectory
  readonly serving: OperatorCatalogue
  readonly versions: VersionTable
  readonly control: EngineControl
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Metrics
  readonly orderTimeoutMs: Millis
  /** Start of this process. */
  readonly startedAt: Millis
  onNews(news: EngineNews): void
  onDropped(endpoint: EndpointId): void
}

/** Keeps the engines that this instance owns. */
export class Owner {
  private readonly keepers = new Map<EndpointId, EngineKeeper>()
  private readonly owned = new Set<EndpointId>()
  private readonly loadTime = new LoadTime()

  constructor(private readonly parts: OwnerParts) {
    parts.ownership.on("gained", (endpoint) => {
      this.owned.add(endpoint)
      this.startKeeper(endpoint)
    })
    parts.ownership.on("lost", (endpoint) => {
      this.owned.delete(endpoint)
      this.stopKeeper(endpoint, "not owned any more")
      parts.onDropped(endpoint)
    })
    parts.directory.on("started", ({ id }) => {
      if (this.owned.has(id)) this.startKeeper(id)
    })
    parts.directory.on("gone", ({ id }) => {
      this.stopKeeper(id, "the engine is gone")
    })
  }

  /** Lists the engines that need an owner. */
  listEngines(): readonly OwnedEndpoint[] {
    return this.parts.directory.listAll().flatMap(({ id, dataCentre, service }) => {
      return this.findLimits(service) ? [{ id, dataCentre }] : []
    })
  }

  /** Loads an adapter on an owned engine. */
  load(
    endpoint: EndpointId,
    adapter: AdapterName,
    version: AdapterVersion | undefined,
    ask: LoadAsk,
  ): Promise<LoadOutcome> {
    const keeper = this.keepers.get(endpoint)
    if (keeper) return keeper.load(adapter, version, ask)
    return Promise.resolve({ kind: "refused", reason: "not owned here" })
  }

  /** Notes requests that use an adapter on an owned engine. */
  onUse(endpoint: EndpointId, adapter: AdapterName, holder: InstanceId, inFlight: number): void {
    this.keepers.get(endpoint)?.onUse(adapter, holder, inFlight)
  }

  /** Forgets the requests of an instance that is gone. */
  removeHolder(holder: InstanceId): void {
    for (const keeper of this.keepers.values()) keeper.removeHolder(holder)
  }

  /** Tells whether this instance gives an engine its orders. */
  hasEngine(endpoint: EndpointId): boolean {
    return this.keepers.has(endpoint)
  }

  /** Lists what the owned engines hold. */
  listNews(): readonly EngineNews[] {
    return [...this.keepers].flatMap(([endpoint, keeper]) =>
      keeper.isReady ? [this.buildNews(endpoint, keeper)] : [],
    )
  }

  /** Starts keepers of engines that were listed only after they were claimed. */
  refresh(): void {
    for (const endpoint of this.owned) if (!this.keepers.has(endpoint)) this.startKeeper(endpoint)
  }

  /** Stops giving orders. */
  stop(): void {
    for (const endpoint of [...this.keepers.keys()]) this.stopKeeper(endpoint, "stopping")
  }

  private startKeeper(endpoint: EndpointId): void {
    const { directory, log } = this.parts
    const engine = directory.find(endpoint)
    const limits = engine && this.findLimits(engine.service)
    const model = engine && limits && this.chooseModel(engine, limits)
    if (!engine || !limits || model === undefined) return
    this.stopKeeper(endpoint, "the engine has started anew")
    const keeper = new EngineKeeper(engine, limits, model, {
      ...this.parts,
      loadTime: this.loadTime,
      getToken: () => this.parts.ownership.getToken(endpoint),
      onChange: () => {
        this.parts.onNews(this.buildNews(endpoint, keeper))
      },
    })
    this.keepers.set(endpoint, keeper)
    log.info({ endpoint, model, startedAt: engine.startedAt }, "engine kept")
    keeper.start()
  }

  private stopKeeper(endpoint: EndpointId, reason: string): void {
    const keeper = this.keepers.get(endpoint)
    if (!keeper) return
    this.keepers.delete(endpoint)
    keeper.stop(reason)
  }

  private buildNews(endpoint: EndpointId, keeper: EngineKeeper): EngineNews {
    const isReady = keeper.isReady
    return {
      endpoint,
      models: isReady ? keeper.listModels() : [],
      adapters: isReady ? keeper.listHeld() : [],
    }
  }

  private findLimits(service: string): EngineLimits | undefined {
    return this.parts.serving.routes?.configuration.services.get(service)?.engine
  }

  /** The model that the engine holds, else the one that the fewest engines hold. */
  private chooseModel({ id, service, holdings }: Registration, limits: EngineLimits) {
    const names = limits.models.map(({ name }) => name)
    const held = holdings?.models.find((name) => names.includes(name))
    if (held !== undefined) return held
    const counts = new Map(names.map((name) => [name, 0]))
    for (const other of this.parts.directory.listLive(service))
      if (other.id !== id)
        for (const name of other.holdings?.models ?? [])
          counts.set(name, (counts.get(name) ?? 0) + 1)
    return names.sort((a, b) => (counts.get(a) ?? 0) - (counts.get(b) ?? 0))[0]
  }
}
