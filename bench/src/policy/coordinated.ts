import type { EndpointId, EndpointInfo, GrantResult, RouteRequest } from "@galenaway/core"
import {
  acquireRetry,
  recordFirstAttempt,
  applySchedulerEvent,
  createRetryBudget,
  createScheduler,
  type EndpointView,
  type PolicySettings,
  rankEndpoints,
  type RetryBudget,
  getEndpointState,
  runScheduler,
  type SchedulerEvent,
  type SchedulerOrder,
  type SchedulerTables,
  setLoadShare,
} from "@galenaway/policy"
import {
  canRetry,
  getDelay,
  sendToEngine,
  type InstanceModel,
  type Strategy,
  type World,
} from "./world.js"

const HEARTBEAT_MS = 200
const REPORT_EVERY_MS = 200
const TICK_MS = 20
const TAKE_OVER_MS = 3000
const ANNOUNCE_MS = 3
const REDIRECT_LIMIT = 3

/** Ranks the endpoints to ask. */
export type EndpointRanking = typeof rankEndpoints

/** An owner: its scheduler, and what was asked of it by whom. */
interface Owner {
  readonly instance: InstanceModel
  readonly tables: SchedulerTables
  readonly pendingRequests: Map<string, PendingRequest>
  readonly views: Map<EndpointId, EndpointView>
  readonly retries: RetryBudget
}

interface PendingRequest {
  readonly request: RouteRequest
  readonly from: Owner
  /** Owners that refused it before. */
  readonly tried: readonly Owner[]
  /** Whether another owner is asked when this one is overloaded. */
  readonly canRedirect: boolean
}

/** The scheduler on four instances, each owning a part of the engines. */
export class CoordinatedStrategy implements Strategy {
  private readonly owners: readonly Owner[]
  private readonly ownerOf = new Map<EndpointId, Owner>()

  constructor(
    private readonly world: World,
    private readonly settings: PolicySettings,
    private readonly placement: EndpointRanking,
  ) {
    this.owners = world.instances.map((instance) => ({
      instance,
      tables: createScheduler(settings),
      pendingRequests: new Map(),
      views: new Map(),
      retries: createRetryBudget(settings.retryShare),
    }))
    for (const info of world.endpoints) this.addEndpoint(this.chooseOwner(info), info)
    this.setShares()
    for (const owner of this.owners) this.startTicks(owner)
  }

  submit(request: RouteRequest, instance: InstanceModel): void {
    const from = this.owners[instance.index]
    if (!from || !instance.isUp) return
    recordFirstAttempt(from.retries)
    this.sendToOwner(request, from, [])
  }

  removeInstance(instance: InstanceModel): void {
    const lost = this.owners[instance.index]
    if (!lost) return
    for (const { request, from, tried } of lost.pendingRequests.values())
      if (from !== lost && !this.isPlaced(lost, request))
        this.sendToOwner(request, from, [...tried, lost])
    this.world.simulation.schedule(TAKE_OVER_MS, () => {
      this.handleLoss(lost)
    })
  }

  private isPlaced(owner: Owner, request: RouteRequest): boolean {
    return owner.tables.endpointByRequest.has(request.id)
  }

  private sendToOwner(request: RouteRequest, from: Owner, tried: readonly Owner[]): void {
    const { now } = this.world.simulation
    const views = [...from.views.values()]
    const owners = this.placement(views, request, from.instance.dataCentre, now)
      .map((id) => this.ownerOf.get(id))
      .filter((owner) => owner?.instance.isUp)
    const next = owners.find((owner) => owner && !tried.includes(owner))
    const owner = next ?? owners[0]
    if (!owner) {
      this.addRefusal(request)
      return
    }
    const isUrgent = request.rank === "urgent"
    const canRedirect = isUrgent && next !== undefined && tried.length < REDIRECT_LIMIT
    this.world.simulation.schedule(
      getDelay(from.instance.dataCentre, owner.instance.dataCentre),
      () => {
        if (!owner.instance.isUp) {
          this.sendToOwner(request, from, [...tried, owner])
          return
        }
        owner.pendingRequests.set(request.id, { request, from, tried, canRedirect })
        this.applyEvent(owner, { kind: "submitted", request, canRedirect })
      },
    )
  }

  private addRefusal(request: RouteRequest): void {
    const record = this.world.records.get(request.id)
    if (record) record.refusedAt ??= this.world.simulation.now
  }

  private applyEvent(owner: Owner, event: SchedulerEvent): void {
    if (!owner.instance.isUp) return
    applySchedulerEvent(owner.tables, event, this.world.simulation.now)
    this.run(owner)
  }

  private run(owner: Owner): void {
    for (const order of runScheduler(owner.tables, this.world.simulation.now))
      this.runOrder(owner, order)
  }

  private runOrder(owner: Owner, order: SchedulerOrder): void {
    switch (order.kind) {
      case "grant":
        this.handleGrant(owner, order.request, order.endpoint)
        return
      case "refuse":
        this.handleRefusal(owner, order.request, order.code === "overloaded")
        return
      case "load":
        this.runLoad(owner, order.endpoint, order.adapter)
        return
      case "evict":
        this.world.simulation.schedule(ANNOUNCE_MS, () => {
          if (this.ownerOf.get(order.endpoint) !== owner || !owner.instance.isUp) return
          this.world.engines.get(order.endpoint)?.unload(order.adapter)
          this.applyEvent(owner, { ...order, kind: "evicted" })
        })
        return
    }
  }

  private handleGrant(owner: Owner, id: string, endpoint: EndpointId): void {
    const asked = owner.pendingRequests.get(id)
    if (!asked) return
    const { request, from } = asked
    const delay = getDelay(owner.instance.dataCentre, from.instance.dataCentre)
    this.world.simulation.schedule(delay, () => {
      sendToEngine(this.world, request, endpoint, from.instance, (result) => {
        if (!from.instance.isUp) return
        const ended = { done: "done", missing: "adapter-missing", failed: "endpoint-down" } as const
        this.world.simulation.schedule(delay, () => {
          this.releaseGrant(owner, id, ended[result])
        })
        const record = this.world.records.get(id)
        if (result === "done" || !record) return
        if (canRetry(record) && acquireRetry(from.retries)) this.sendToOwner(request, from, [])
        else this.addRefusal(request)
      })
    })
  }

  private releaseGrant(owner: Owner, request: string, result: GrantResult): void {
    owner.pendingRequests.delete(request)
    this.applyEvent(owner, { kind: "returned", request, result })
  }

  private handleRefusal(owner: Owner, id: string, mayTryOthers: boolean): void {
    const asked = owner.pendingRequests.get(id)
    if (!asked) return
    owner.pendingRequests.delete(id)
    const { request, from, tried, canRedirect } = asked
    if (mayTryOthers && canRedirect) this.sendToOwner(request, from, [...tried, owner])
    else this.addRefusal(request)
  }

  private runLoad(owner: Owner, endpoint: EndpointId, adapter: RouteRequest["adapter"]): void {
    this.world.engines.get(endpoint)?.load(adapter, (isLoaded) => {
      this.world.simulation.schedule(0, () => {
        this.applyEvent(owner, { kind: isLoaded ? "loaded" : "load-failed", endpoint, adapter })
      })
    })
  }

  private startTicks(owner: Owner): void {
    const { simulation } = this.world
    simulation.scheduleEvery(TICK_MS, () => {
      if (owner.instance.isUp) this.run(owner)
      return owner.instance.isUp
    })
    simulation.scheduleEvery(REPORT_EVERY_MS, () => {
      if (owner.instance.isUp) this.readReports(owner)
      return owner.instance.isUp
    })
    simulation.scheduleEvery(HEARTBEAT_MS, () => {
      if (owner.instance.isUp) this.sendViews(owner)
      return owner.instance.isUp
    })
    this.readReports(owner)
    this.sendViews(owner)
  }

  private readReports(owner: Owner): void {
    for (const endpoint of owner.tables.endpoints.keys()) {
      const report = this.world.engines.get(endpoint)?.report()
      this.applyEvent(
        owner,
        report ? { kind: "reported", report } : { kind: "unreachable", endpoint },
      )
    }
  }

  private sendViews(owner: Owner): void {
    for (const { info } of owner.tables.endpoints.values()) {
      const state = getEndpointState(owner.tables, info.id)
      if (!state) continue
      for (const other of this.owners) {
        const delay = getDelay(owner.instance.dataCentre, other.instance.dataCentre)
        const seenAt = this.world.simulation.now + delay
        this.world.simulation.schedule(delay, () => {
          other.views.set(info.id, { ...state, info, owner: String(owner.instance.index), seenAt })
        })
      }
    }
  }

  private chooseOwner(info: EndpointInfo): Owner {
    const live = this.owners.filter(({ instance }) => instance.isUp)
    const near = live.filter(({ instance }) => instance.dataCentre === info.dataCentre)
    const [first, ...rest] = near.length > 0 ? near : live
    if (!first) throw new Error("no instance is up")
    return rest.reduce(
      (best, other) => (other.tables.endpoints.size < best.tables.endpoints.size ? other : best),
      first,
    )
  }

  private addEndpoint(owner: Owner, info: EndpointInfo, running: RouteRequest[] = []): void {
    this.ownerOf.set(info.id, owner)
    const held = running.map(({ id, adapter }) => ({ request: id, adapter }))
    this.applyEvent(owner, { kind: "endpoint-gained", info, running: held })
  }

  private handleLoss(lost: Owner): void {
    for (const { info, running } of lost.tables.endpoints.values()) {
      const owner = this.chooseOwner(info)
      const held = [...running.keys()].flatMap((id) => this.listHeld(lost, id))
      for (const asked of held) owner.pendingRequests.set(asked.request.id, asked)
      this.addEndpoint(
        owner,
        info,
        held.map(({ request }) => request),
      )
    }
    this.setShares()
    for (const owner of this.owners) this.releaseGrants(owner, lost)
  }

  /** Lists a running grant if its holder is still there to return it. */
  private listHeld(lost: Owner, id: string): PendingRequest[] {
    const asked = lost.pendingRequests.get(id)
    const record = this.world.records.get(id)
    return asked?.from.instance.isUp && record?.doneAt === undefined ? [asked] : []
  }

  private releaseGrants(owner: Owner, lost: Owner): void {
    for (const [id, { from }] of owner.pendingRequests)
      if (from === lost) {
        this.applyEvent(owner, { kind: "canceled", request: id })
        this.releaseGrant(owner, id, "failed")
      }
  }

  private setShares(): void {
    const { loads } = this.settings
    for (const { tables } of this.owners) {
      const part = tables.endpoints.size / this.world.endpoints.length
      setLoadShare(tables, {
        ratePerSecond: loads.ratePerSecond * part,
        burst: 1,
        inTransit: Math.max(1, Math.floor(loads.inTransit * part)),
      })
    }
  }
}
