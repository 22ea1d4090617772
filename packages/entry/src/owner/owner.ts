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
import type { GetWeight } from "@galenaway/policy"
import type { VersionTable } from "@galenaway/routing"
import type { EndpointDirectory } from "../catalogue/directory.js"
import type { OperatorCatalogue } from "../catalogue/operator-catalogue.js"
import type { Ownership } from "../fleet/ownership.js"
import {
  AdmissionGate,
  type AdmissionOptions,
  type AdmissionOutcome,
  type GatePace,
} from "./admission-gate.js"
import { LoadTimeEstimator } from "./load-poll-schedule.js"
import { EngineController } from "./engine-controller.js"
import type { LoadOptions, LoadOutcome } from "./load-queue.js"

/** The base models and adapters of an owned engine that requests may use. */
export interface EngineSnapshot {
  readonly endpoint: EndpointId
  readonly models: readonly string[]
  readonly adapters: readonly HeldAdapter[]
  /** How much longer work takes on the engine than on the others of its service. */
  readonly slowdown: number
}

/** The dependencies of an {@link Owner}. */
export interface OwnerDependencies {
  readonly self: InstanceId
  readonly ownership: Ownership
  readonly directory: EndpointDirectory
  readonly catalogue: OperatorCatalogue
  readonly versions: VersionTable
  readonly engineClient: EngineClient
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Metrics
  readonly orderTimeoutMs: Millis
  /** Returns the pace of the engines of a service. */
  readonly getPace: (engine: Registration) => GatePace
  /** Returns the weights by which engines are divided among client accounts. */
  readonly getWeight: GetWeight
  /** Monotonic time of the start of this process. */
  readonly startedAt: Millis
  /** Returns the time for which an engine wants nothing from this instance, in ms. */
  getPause(endpoint: EndpointId): Millis
  /** Handles a refusal in which an engine asks this instance to send nothing for a time. */
  onPause(endpoint: EndpointId, ms: Millis): void
  /** Returns how much longer work takes on an engine than on the others of its service. */
  getSlowdown(endpoint: EndpointId): number
  /** Called when the models, the adapters or the speed of an owned engine have changed. */
  onEngineChanged(snapshot: EngineSnapshot): void
  /** Called when an engine is no longer owned by this instance. */
  onEngineLost(endpoint: EndpointId): void
}

const LEAVING_REASON = "the engine is leaving"

/** Runs a controller for each engine that this instance owns. That of a leaving engine sends no orders. */
export class Owner {
  private readonly controllers = new Map<EndpointId, EngineController>()
  private readonly gates = new Map<EndpointId, AdmissionGate>()
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
    deps.directory.on("leaving", ({ id }) => {
      this.controllers.get(id)?.stop(LEAVING_REASON)
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

  /** Loads an adapter on an owned engine. Refuses the load if the engine isn't owned here; never rejects. */
  load(
    endpoint: EndpointId,
    adapter: AdapterName,
    version: AdapterVersion | undefined,
    options: LoadOptions,
  ): Promise<LoadOutcome> {
    const controller = this.controllers.get(endpoint)
    if (controller) return controller.load(adapter, version, options)
    return Promise.resolve({ kind: "refused", reason: "not owned here" })
  }

  /** Waits until an owned engine may read a prompt. Resolves as unavailable if the engine isn't owned here; never rejects. */
  admit(
    endpoint: EndpointId,
    holder: InstanceId,
    options: AdmissionOptions,
    signal: AbortSignal,
  ): Promise<AdmissionOutcome> {
    const gate = this.gates.get(endpoint)
    return gate ? gate.admit(holder, options, signal) : Promise.resolve({ kind: "unavailable" })
  }

  /** Records the number of requests of an instance that use an adapter on an owned engine. */
  onUse(endpoint: EndpointId, adapter: AdapterName, holder: InstanceId, inFlight: number): void {
    this.controllers.get(endpoint)?.onUse(adapter, holder, inFlight)
  }

  /** Records the number of requests that an instance has on an owned engine. */
  onRunning(endpoint: EndpointId, holder: InstanceId, count: number): void {
    this.gates.get(endpoint)?.onRunning(holder, count)
  }

  /** Removes the requests of an instance that is gone. */
  removeHolder(holder: InstanceId): void {
    for (const gate of this.gates.values()) gate.removeHolder(holder)
    for (const controller of this.controllers.values()) controller.removeHolder(holder)
  }

  /** Returns whether this instance runs the controller of an engine. */
  hasEngine(endpoint: EndpointId): boolean {
    return this.controllers.has(endpoint)
  }

  /** Lists the snapshots of the owned engines that are ready. */
  listSnapshots(): readonly EngineSnapshot[] {
    return [...this.controllers].flatMap(([endpoint, controller]) =>
      controller.isReady ? [this.buildSnapshot(endpoint, controller)] : [],
    )
  }

  /** Publishes an owned engine whose speed has changed. */
  publish(endpoint: EndpointId): void {
    const controller = this.controllers.get(endpoint)
    if (controller) this.deps.onEngineChanged(this.buildSnapshot(endpoint, controller))
  }

  /** Starts the controllers of owned engines that were claimed before they were listed. */
  startMissing(): void {
    for (const endpoint of this.owned)
      if (!this.controllers.has(endpoint)) this.startController(endpoint)
  }

  /** Stops all controllers. */
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
    const controller = new EngineController(engine, limits, model, {
      ...this.deps,
      loadTimeEstimator: this.loadTimeEstimator,
      getToken: () => this.deps.ownership.getToken(endpoint),
      onChange: () => {
        this.deps.onEngineChanged(this.buildSnapshot(endpoint, controller))
      },
    })
    this.controllers.set(endpoint, controller)
    const { clock, getPace, getWeight } = this.deps
    const getEnginePace = () => getPace(engine)
    this.gates.set(endpoint, new AdmissionGate(clock, engine.slots, getEnginePace, getWeight))
    log.info({ endpoint, model, startedAt: engine.startedAt }, "engine controller started")
    if (engine.phase === "live") controller.start()
    else controller.stop(LEAVING_REASON)
  }

  private stopController(endpoint: EndpointId, reason: string): void {
    const controller = this.controllers.get(endpoint)
    if (!controller) return
    this.controllers.delete(endpoint)
    controller.stop(reason)
    this.gates.get(endpoint)?.stop()
    this.gates.delete(endpoint)
  }

  private buildSnapshot(endpoint: EndpointId, controller: EngineController): EngineSnapshot {
    const isReady = controller.isReady
    return {
      endpoint,
      models: isReady ? controller.listModels() : [],
      adapters: isReady ? controller.listHeld() : [],
      slowdown: this.deps.getSlowdown(endpoint),
    }
  }

  private findLimits(service: string): EngineLimits | undefined {
    return this.deps.catalogue.routes?.configuration.services.get(service)?.engine
  }

  /** Chooses a base model that the engine holds, otherwise the one that the fewest other live engines of its service hold. */
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
