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

const HEARTBEAT_INTERVAL_MS = 200
const REPORT_INTERVAL_MS = 200
const TICK_INTERVAL_MS = 20
const TAKEOVER_DELAY_MS = 3000
const ANNOUNCEMENT_DELAY_MS = 3
const REDIRECT_LIMIT = 3

/** Orders the endpoints by preference for a request, the best first. */
export type EndpointRanking = typeof rankEndpoints

/** An instance with the scheduler of its endpoints and the requests that were submitted to it. */
interface Owner {
  readonly instance: InstanceModel
  readonly tables: SchedulerTables
  readonly pendingRequests: Map<string, PendingRequest>
  readonly views: Map<EndpointId, EndpointView>
  readonly retries: RetryBudget
}

interface PendingRequest {
  readonly request: RouteRequest
  /** The instance that received the request from its caller. */
  readonly origin: Owner
  /** Owners that refused the request or were down when it was sent to them. */
  readonly triedOwners: readonly Owner[]
  /** Whether the request goes to another owner when this one is overloaded. */
  readonly canRedirect: boolean
}

/** Runs the scheduler on every instance of the world. Each instance owns a part of the engines. */
export class CoordinatedStrategy implements Strategy {
  private readonly owners: readonly Owner[]
  private readonly ownerByEndpoint = new Map<EndpointId, Owner>()

  constructor(
    private readonly world: World,
    private readonly settings: PolicySettings,
    private readonly orderEndpoints: EndpointRanking,
  ) {
    this.owners = world.instances.map((instance) => ({
      instance,
      tables: createScheduler(settings),
      pendingRequests: new Map(),
      views: new Map(),
      retries: createRetryBudget(settings.retryShare),
    }))
    for (const info of world.endpoints) this.addEndpoint(this.chooseOwner(info), info)
    this.updateLoadShares()
    for (const owner of this.owners) this.startTicks(owner)
  }

  submit(request: RouteRequest, instance: InstanceModel): void {
    const origin = this.owners[instance.index]
    if (!origin || !instance.isUp) return
    recordFirstAttempt(origin.retries)
    this.sendToOwner(request, origin, [])
  }

  removeInstance(instance: InstanceModel): void {
    const lost = this.owners[instance.index]
    if (!lost) return
    for (const { request, origin, triedOwners } of lost.pendingRequests.values())
      if (origin !== lost && !this.isGranted(lost, request))
        this.sendToOwner(request, origin, [...triedOwners, lost])
    this.world.simulation.schedule(TAKEOVER_DELAY_MS, () => {
      this.handleInstanceLoss(lost)
    })
  }

  private isGranted(owner: Owner, request: RouteRequest): boolean {
    return owner.tables.endpointByRequest.has(request.id)
  }

  private sendToOwner(request: RouteRequest, origin: Owner, triedOwners: readonly Owner[]): void {
    const { now } = this.world.simulation
    const views = [...origin.views.values()]
    const owners = this.orderEndpoints(views, request, origin.instance.dataCentre, now)
      .map((id) => this.ownerByEndpoint.get(id))
      .filter((owner) => owner?.instance.isUp)
    const untriedOwner = owners.find((owner) => owner && !triedOwners.includes(owner))
    const owner = untriedOwner ?? owners[0]
    if (!owner) {
      this.recordRefusal(request)
      return
    }
    const isUrgent = request.rank === "urgent"
    const canRedirect =
      isUrgent && untriedOwner !== undefined && triedOwners.length < REDIRECT_LIMIT
    this.world.simulation.schedule(
      getDelay(origin.instance.dataCentre, owner.instance.dataCentre),
      () => {
        if (!owner.instance.isUp) {
          this.sendToOwner(request, origin, [...triedOwners, owner])
          return
        }
        owner.pendingRequests.set(request.id, { request, origin, triedOwners, canRedirect })
        this.applyEvent(owner, { kind: "submitted", request, canRedirect })
      },
    )
  }

  private recordRefusal(request: RouteRequest): void {
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
        this.world.simulation.schedule(ANNOUNCEMENT_DELAY_MS, () => {
          if (this.ownerByEndpoint.get(order.endpoint) !== owner || !owner.instance.isUp) return
          this.world.engines.get(order.endpoint)?.unload(order.adapter)
          this.applyEvent(owner, { ...order, kind: "evicted" })
        })
        return
    }
  }

  private handleGrant(owner: Owner, id: string, endpoint: EndpointId): void {
    const pending = owner.pendingRequests.get(id)
    if (!pending) return
    const { request, origin } = pending
    const delay = getDelay(owner.instance.dataCentre, origin.instance.dataCentre)
    this.world.simulation.schedule(delay, () => {
      sendToEngine(this.world, request, endpoint, origin.instance, (result) => {
        if (!origin.instance.isUp) return
        const grantResults = {
          done: "done",
          missing: "adapter-missing",
          failed: "endpoint-down",
        } as const
        this.world.simulation.schedule(delay, () => {
          this.releaseGrant(owner, id, grantResults[result])
        })
        const record = this.world.records.get(id)
        if (result === "done" || !record) return
        if (canRetry(record) && acquireRetry(origin.retries)) this.sendToOwner(request, origin, [])
        else this.recordRefusal(request)
      })
    })
  }

  private releaseGrant(owner: Owner, request: string, result: GrantResult): void {
    owner.pendingRequests.delete(request)
    this.applyEvent(owner, { kind: "returned", request, result })
  }

  private handleRefusal(owner: Owner, id: string, isOverloaded: boolean): void {
    const pending = owner.pendingRequests.get(id)
    if (!pending) return
    owner.pendingRequests.delete(id)
    const { request, origin, triedOwners, canRedirect } = pending
    if (isOverloaded && canRedirect) this.sendToOwner(request, origin, [...triedOwners, owner])
    else this.recordRefusal(request)
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
    simulation.scheduleEvery(TICK_INTERVAL_MS, () => {
      if (owner.instance.isUp) this.run(owner)
      return owner.instance.isUp
    })
    simulation.scheduleEvery(REPORT_INTERVAL_MS, () => {
      if (owner.instance.isUp) this.readReports(owner)
      return owner.instance.isUp
    })
    simulation.scheduleEvery(HEARTBEAT_INTERVAL_MS, () => {
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
      for (const receiver of this.owners) {
        const delay = getDelay(owner.instance.dataCentre, receiver.instance.dataCentre)
        const seenAt = this.world.simulation.now + delay
        this.world.simulation.schedule(delay, () => {
          receiver.views.set(info.id, {
            ...state,
            info,
            owner: String(owner.instance.index),
            seenAt,
          })
        })
      }
    }
  }

  private chooseOwner(info: EndpointInfo): Owner {
    const live = this.owners.filter(({ instance }) => instance.isUp)
    const local = live.filter(({ instance }) => instance.dataCentre === info.dataCentre)
    const [first, ...rest] = local.length > 0 ? local : live
    if (!first) throw new Error("no instance is up")
    return rest.reduce(
      (best, candidate) =>
        candidate.tables.endpoints.size < best.tables.endpoints.size ? candidate : best,
      first,
    )
  }

  private addEndpoint(owner: Owner, info: EndpointInfo, running: RouteRequest[] = []): void {
    this.ownerByEndpoint.set(info.id, owner)
    const activeGrants = running.map(({ id, adapter }) => ({ request: id, adapter }))
    this.applyEvent(owner, { kind: "endpoint-gained", info, running: activeGrants })
  }

  private handleInstanceLoss(lost: Owner): void {
    for (const { info, running } of lost.tables.endpoints.values()) {
      const owner = this.chooseOwner(info)
      const activeGrants = [...running.keys()].flatMap((id) => this.listActiveGrants(lost, id))
      for (const pending of activeGrants) owner.pendingRequests.set(pending.request.id, pending)
      this.addEndpoint(
        owner,
        info,
        activeGrants.map(({ request }) => request),
      )
    }
    this.updateLoadShares()
    for (const owner of this.owners) this.releaseGrants(owner, lost)
  }

  /**
   * Lists the grant of a request if the request is unfinished and its holder is
   * up and can return the grant. Returns one entry or none.
   */
  private listActiveGrants(lost: Owner, id: string): PendingRequest[] {
    const pending = lost.pendingRequests.get(id)
    const record = this.world.records.get(id)
    return pending?.origin.instance.isUp && record?.doneAt === undefined ? [pending] : []
  }

  private releaseGrants(owner: Owner, lost: Owner): void {
    for (const [id, { origin }] of owner.pendingRequests)
      if (origin === lost) {
        this.applyEvent(owner, { kind: "canceled", request: id })
        this.releaseGrant(owner, id, "failed")
      }
  }

  private updateLoadShares(): void {
    const { loads } = this.settings
    for (const { tables } of this.owners) {
      const share = tables.endpoints.size / this.world.endpoints.length
      setLoadShare(tables, {
        ratePerSecond: loads.ratePerSecond * share,
        burst: 1,
        inTransit: Math.max(1, Math.floor(loads.inTransit * share)),
      })
    }
  }
}
