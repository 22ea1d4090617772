import type { AdapterKey, EndpointId, RouteRequest } from "@galenaway/core"
import { chooseNaiveEndpoint, type NaiveEngineState } from "@galenaway/policy"
import { canRetry, sendToEngine, type InstanceModel, type Strategy, type World } from "./world.js"

const REPORT_EVERY_MS = 200

type Waiter = (isLoaded: boolean) => void

/** The naive router on four instances, each with its own late reports. */
export class NaiveStrategy implements Strategy {
  private readonly views: readonly ReadonlyMap<EndpointId, NaiveEngineState>[]
  private readonly loads: readonly Map<string, Waiter[]>[]

  constructor(private readonly world: World) {
    this.views = world.instances.map(() => createRows(world))
    this.loads = world.instances.map(() => new Map<string, Waiter[]>())
    world.instances.forEach((instance, index) => {
      const offset = (REPORT_EVERY_MS * index) / world.instances.length
      world.simulation.schedule(offset, () => {
        this.updateRows(instance)
        world.simulation.scheduleEvery(REPORT_EVERY_MS, () => {
          this.updateRows(instance)
          return instance.isUp
        })
      })
    })
  }

  submit(request: RouteRequest, instance: InstanceModel): void {
    const rows = this.views[instance.index]
    const record = this.world.records.get(request.id)
    if (!instance.isUp || !rows || !record) return
    const { simulation } = this.world
    const decision = chooseNaiveEndpoint(rows.values(), request.adapter, simulation.now)
    if (decision.kind === "refuse") {
      record.refusedAt = simulation.now
      return
    }
    const { endpoint } = decision
    const send = () => {
      sendToEngine(this.world, request, endpoint, instance, (result) => {
        if (result === "done") return
        if (result === "missing") rows.get(endpoint)?.lastUsed.delete(request.adapter)
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
    this.loads[instance.index]?.clear()
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
    onDone: Waiter,
  ): void {
    const loads = this.loads[instance.index]
    const row = this.views[instance.index]?.get(endpoint)
    const engine = this.world.engines.get(endpoint)
    if (!loads || !row || !engine) return
    const key = `${endpoint} ${adapter}`
    const waiters = loads.get(key)
    if (waiters) {
      waiters.push(onDone)
      return
    }
    loads.set(key, [onDone])
    if (evict !== undefined) {
      row.lastUsed.delete(evict)
      engine.unload(evict)
    }
    engine.load(adapter, (isLoaded) => {
      if (isLoaded) row.lastUsed.set(adapter, this.world.simulation.now)
      const joined = loads.get(key) ?? []
      loads.delete(key)
      for (const waiter of joined) waiter(isLoaded)
    })
  }

  private updateRows(instance: InstanceModel): void {
    for (const row of this.views[instance.index]?.values() ?? []) {
      const report = this.world.engines.get(row.info.id)?.report()
      row.isReachable = report !== undefined
      row.report = report
      if (!report) continue
      const reported = new Set(report.resident)
      for (const adapter of row.lastUsed.keys())
        if (!reported.has(adapter)) row.lastUsed.delete(adapter)
      for (const adapter of reported) if (!row.lastUsed.has(adapter)) row.lastUsed.set(adapter, 0)
    }
  }
}

function createRows(world: World): ReadonlyMap<EndpointId, NaiveEngineState> {
  const rows = world.endpoints.map((info): [EndpointId, NaiveEngineState] => [
    info.id,
    { info, isReachable: true, report: undefined, lastUsed: new Map() },
  ])
  return new Map(rows)
}
