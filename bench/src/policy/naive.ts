import type { AdapterKey, EndpointId, RouteRequest } from "@galenaway/core"
import { chooseNaiveEndpoint, type NaiveEngineState } from "@galenaway/policy"
import { canRetry, sendToEngine, type InstanceModel, type Strategy, type World } from "./world.js"

const REPORT_INTERVAL_MS = 200

type LoadCallback = (isLoaded: boolean) => void

/** Runs the naive router on every instance of the world. The instances poll the engines' reports at staggered times. */
export class NaiveStrategy implements Strategy {
  private readonly statesByInstance: readonly ReadonlyMap<EndpointId, NaiveEngineState>[]
  private readonly pendingLoads: readonly Map<string, LoadCallback[]>[]

  constructor(private readonly world: World) {
    this.statesByInstance = world.instances.map(() => createStates(world))
    this.pendingLoads = world.instances.map(() => new Map<string, LoadCallback[]>())
    world.instances.forEach((instance, index) => {
      const offset = (REPORT_INTERVAL_MS * index) / world.instances.length
      world.simulation.schedule(offset, () => {
        this.updateStates(instance)
        world.simulation.scheduleEvery(REPORT_INTERVAL_MS, () => {
          this.updateStates(instance)
          return instance.isUp
        })
      })
    })
  }

  submit(request: RouteRequest, instance: InstanceModel): void {
    const states = this.statesByInstance[instance.index]
    const record = this.world.records.get(request.id)
    if (!instance.isUp || !states || !record) return
    const { simulation } = this.world
    const decision = chooseNaiveEndpoint(states.values(), request.adapter, simulation.now)
    if (decision.kind === "refuse") {
      record.refusedAt = simulation.now
      return
    }
    const { endpoint } = decision
    const send = () => {
      sendToEngine(this.world, request, endpoint, instance, (result) => {
        if (result === "done") return
        if (result === "missing") states.get(endpoint)?.lastUsed.delete(request.adapter)
        this.handleFailure(request, instance)
      })
    }
    if (decision.kind === "use") send()
    else
      this.runLoad(instance, endpoint, request.adapter, decision.evict, (isLoaded) => {
        if (isLoaded) send()
        else record.refusedAt ??= simulation.now
      })
  }

  removeInstance(instance: InstanceModel): void {
    this.pendingLoads[instance.index]?.clear()
  }

  private handleFailure(request: RouteRequest, instance: InstanceModel): void {
    const record = this.world.records.get(request.id)
    if (!record || !instance.isUp) return
    if (canRetry(record)) this.submit(request, instance)
    else record.refusedAt ??= this.world.simulation.now
  }

  private runLoad(
    instance: InstanceModel,
    endpoint: EndpointId,
    adapter: AdapterKey,
    evict: AdapterKey | undefined,
    onDone: LoadCallback,
  ): void {
    const pendingLoads = this.pendingLoads[instance.index]
    const state = this.statesByInstance[instance.index]?.get(endpoint)
    const engine = this.world.engines.get(endpoint)
    if (!pendingLoads || !state || !engine) return
    const key = `${endpoint} ${adapter}`
    const callbacks = pendingLoads.get(key)
    if (callbacks) {
      callbacks.push(onDone)
      return
    }
    pendingLoads.set(key, [onDone])
    if (evict !== undefined) {
      state.lastUsed.delete(evict)
      engine.unload(evict)
    }
    engine.load(adapter, (isLoaded) => {
      if (isLoaded) state.lastUsed.set(adapter, this.world.simulation.now)
      const waiting = pendingLoads.get(key) ?? []
      pendingLoads.delete(key)
      for (const callback of waiting) callback(isLoaded)
    })
  }

  private updateStates(instance: InstanceModel): void {
    for (const state of this.statesByInstance[instance.index]?.values() ?? []) {
      const report = this.world.engines.get(state.info.id)?.report()
      state.isReachable = report !== undefined
      state.report = report
      if (!report) continue
      const reported = new Set(report.resident)
      for (const adapter of state.lastUsed.keys())
        if (!reported.has(adapter)) state.lastUsed.delete(adapter)
      for (const adapter of reported)
        if (!state.lastUsed.has(adapter)) state.lastUsed.set(adapter, 0)
    }
  }
}

function createStates(world: World): ReadonlyMap<EndpointId, NaiveEngineState> {
  const states = world.endpoints.map((info): [EndpointId, NaiveEngineState] => [
    info.id,
    { info, isReachable: true, report: undefined, lastUsed: new Map() },
  ])
  return new Map(states)
}
