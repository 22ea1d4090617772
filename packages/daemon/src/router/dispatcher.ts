import {
  type AdapterKey,
  type Clock,
  describeError,
  type EndpointId,
  type EndpointInfo,
  type EndpointPhase,
  type EnginePort,
  type Grant,
  type Incarnation,
  type RequestId,
  type RouteRequest,
} from "@galenaway/core"
import type { OwnerState } from "@galenaway/coordination"
import type { Log, Metrics, Recorder } from "@galenaway/observe"
import {
  applySchedulerEvent,
  createScheduler,
  type LoadShare,
  type PolicySettings,
  getEndpointState,
  runScheduler,
  type SchedulerEvent,
  type SchedulerOrder,
  type SchedulerTables,
  setLoadShare,
  setPolicy,
} from "@galenaway/policy"
import type { OwnedEndpoints, OwnedEndpointsListener } from "../ownership/owned.js"
import type { GrantResponse, GrantSubmission, GrantReturn } from "../peer/codec.js"
import type { EndpointLoad } from "./views.js"

const TICK_INTERVAL_MS = 20
const REPORT_INTERVAL_MS = 200
/** Share of the time until a request's deadline after which this owner refuses it if its adapter is neither resident nor loading. */
const PLACEMENT_TIMEOUT_SHARE = 1 / 3
const MIN_PLACEMENT_TIMEOUT_MS = 200
const MAX_PLACEMENT_TIMEOUT_MS = 2000

interface PendingRequest extends GrantSubmission {
  /** Resolves the submission's promise. */
  readonly settle: (response: GrantResponse) => void
}

interface IssuedGrant {
  readonly grant: Grant
  /** The `ask` number of the submission, or 0 if the grant was issued by a previous owner. */
  readonly ask: number
}

/**
 * The owner's side of routing. Queues the requests for the endpoints that this
 * instance owns, runs the scheduler periodically and after each event, and
 * executes its orders.
 */
export class Dispatcher implements OwnedEndpointsListener {
  private readonly tables: SchedulerTables
  private readonly pending = new Map<RequestId, PendingRequest>()
  private readonly granted = new Map<RequestId, IssuedGrant>()
  private readonly reachable = new Set<EndpointId>()
  private readonly incarnations = new Map<EndpointId, string>()
  private readonly timers: NodeJS.Timeout[] = []
  private isTickDue = false
  private grantCounter = 0

  constructor(
    private readonly self: Incarnation,
    policy: PolicySettings,
    private readonly owned: OwnedEndpoints,
    private readonly infos: ReadonlyMap<EndpointId, EndpointInfo>,
    private readonly engines: ReadonlyMap<EndpointId, EnginePort>,
    private readonly clock: Clock,
    private readonly getPhase: (endpoint: EndpointId) => EndpointPhase,
    private readonly recorder: Recorder,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {
    this.tables = createScheduler(policy)
    owned.setListener(this)
  }

  /** Starts the scheduler ticks and the polling of load reports. */
  start(): void {
    this.timers.push(
      setInterval(() => {
        this.tick()
      }, TICK_INTERVAL_MS),
      setInterval(() => void this.readReports(), REPORT_INTERVAL_MS),
    )
  }

  /** Stops the scheduler ticks and the polling of load reports. */
  stop(): void {
    for (const timer of this.timers) clearInterval(timer)
  }

  /**
   * Queues a request until it is granted or refused. Aborting the signal cancels
   * it. An earlier submission of the same request is canceled.
   */
  submit(submission: GrantSubmission, signal: AbortSignal): Promise<GrantResponse> {
    const { request, canRedirect } = submission
    this.cancelEarlier(request.id)
    return new Promise((settle) => {
      this.pending.set(request.id, { ...submission, settle })
      const cancel = () => {
        if (this.pending.get(request.id)?.ask === submission.ask) this.cancel(request.id)
      }
      signal.addEventListener("abort", cancel, { once: true })
      this.update({ kind: "submitted", request, canRedirect })
      setTimeout(() => {
        this.refuseIfUnplaced(submission)
      }, this.computePlacementTimeoutMs(request)).unref()
    })
  }

  /** Applies grants returned by their holders. */
  handleReturns(returns: readonly GrantReturn[]): void {
    for (const returned of returns) this.handleReturn(returned)
  }

  /** Cancels the requests and frees the grants of an incarnation whose process has ended. */
  handleMemberGone(member: Incarnation): void {
    for (const [request, { holder }] of this.pending) if (holder === member) this.cancel(request)
    for (const grant of this.owned.handleMemberGone(member))
      this.recordReturn(grant.request, "canceled")
  }

  /** Replaces the policy of the scheduler. */
  setPolicy(policy: PolicySettings): void {
    setPolicy(this.tables, policy)
  }

  /** Sets this instance's share of the weight store's load budget. */
  setLoadShare(share: LoadShare): void {
    setLoadShare(this.tables, share)
  }

  /** Applies a changed phase of an endpoint to the scheduler. */
  setPhase(endpoint: EndpointId, phase: EndpointPhase): void {
    this.update({ kind: "phase-changed", endpoint, phase })
  }

  /** Returns the load of an endpoint, or undefined if this instance is not its active owner. */
  readLoad(endpoint: EndpointId): EndpointLoad | undefined {
    if (this.owned.get(endpoint)?.phase !== "active") return undefined
    const row = getEndpointState(this.tables, endpoint)
    return row && { ...row, isReachable: this.reachable.has(endpoint) }
  }

  onActivated(endpoint: EndpointId, state: OwnerState): void {
    const info = this.infos.get(endpoint)
    if (!info) return
    const running = [...state.grants.values()].map(({ grant }) => grant)
    for (const grant of running) this.granted.set(grant.request, { grant, ask: 0 })
    this.metrics.count("ownership-changes")
    this.update({ kind: "endpoint-gained", info, running })
    this.setPhase(endpoint, this.getPhase(endpoint))
    this.update({ kind: "suspects-changed", endpoint, suspects: state.suspects })
    void this.readReport(endpoint)
  }

  onDeposed(endpoint: EndpointId): void {
    this.metrics.count("ownership-changes")
    for (const [request, { grant }] of this.granted)
      if (grant.endpoint === endpoint) this.granted.delete(request)
    this.update({ kind: "endpoint-lost", endpoint })
  }

  onEvicted(endpoint: EndpointId, adapter: AdapterKey): void {
    this.metrics.count("evictions")
    this.update({ kind: "evicted", endpoint, adapter })
  }

  onEvictionBlocked(endpoint: EndpointId, adapter: AdapterKey): void {
    this.update({ kind: "eviction-blocked", endpoint, adapter })
  }

  onSuspectsChanged(endpoint: EndpointId, suspects: ReadonlySet<AdapterKey>): void {
    this.update({ kind: "suspects-changed", endpoint, suspects })
  }

  private cancel(request: RequestId): void {
    const pending = this.pending.get(request)
    this.pending.delete(request)
    this.update({ kind: "canceled", request })
    pending?.settle({ kind: "refused", code: "canceled", message: "canceled by its holder" })
  }

  /**
   * Limits the wait to a share of the remaining time, so that another owner can
   * be tried before the deadline.
   */
  private computePlacementTimeoutMs(request: RouteRequest): number {
    const timeoutMs = (request.deadline - this.clock.now()) * PLACEMENT_TIMEOUT_SHARE
    return Math.min(Math.max(timeoutMs, MIN_PLACEMENT_TIMEOUT_MS), MAX_PLACEMENT_TIMEOUT_MS)
  }

  /**
   * Refuses a pending request whose adapter is neither resident nor loading on
   * any owned endpoint, such as when all evictions are blocked. The request
   * loses no priority: other owners order it by its original arrival time and
   * deadline.
   */
  private refuseIfUnplaced({ request, ask }: GrantSubmission): void {
    const pending = this.pending.get(request.id)
    if (pending?.ask !== ask || this.isResidentOrLoading(request.adapter)) return
    this.pending.delete(request.id)
    this.update({ kind: "canceled", request: request.id })
    const message = `${this.self} could make no room for ${request.adapter}`
    pending.settle({ kind: "refused", code: "no-endpoint", message })
  }

  private isResidentOrLoading(adapter: AdapterKey): boolean {
    return this.owned.listActive().some(({ endpoint }) => {
      const load = this.readLoad(endpoint)
      return load?.resident.has(adapter) === true || load?.loading.has(adapter) === true
    })
  }

  /**
   * Cancels the earlier submissions of a request, granted or pending. A holder
   * uses only its latest submission.
   */
  private cancelEarlier(request: RequestId): void {
    const earlier = this.granted.get(request)
    if (earlier) this.returnGrant(earlier.grant, "canceled")
    if (this.pending.has(request)) this.cancel(request)
  }

  private handleReturn({ id, ask, endpoint, request, result }: GrantReturn): void {
    const granted = this.granted.get(request)
    const isMatch = granted && (id === "" ? ask === granted.ask : id === granted.grant.id)
    if (isMatch) this.returnGrant(granted.grant, result)
    else if (id !== "") this.owned.apply(endpoint, { kind: "grant-returned", grant: id })
    else if (this.pending.get(request)?.ask === ask) this.cancel(request)
  }

  private returnGrant(grant: Grant, result: GrantReturn["result"]): void {
    this.owned.apply(grant.endpoint, { kind: "grant-returned", grant: grant.id })
    this.recordReturn(grant.request, result)
  }

  private recordReturn(request: RequestId, result: GrantReturn["result"]): void {
    this.granted.delete(request)
    this.update({ kind: "returned", request, result })
  }

  private update(event: SchedulerEvent): void {
    applySchedulerEvent(this.tables, event, this.clock.now())
    if (this.isTickDue) return
    this.isTickDue = true
    setImmediate(() => {
      this.tick()
    })
  }

  private tick(): void {
    this.isTickDue = false
    const startedAt = this.clock.now()
    for (const order of runScheduler(this.tables, startedAt)) this.runOrder(order)
    this.metrics.recordDuration("tick", this.clock.now() - startedAt)
  }

  private runOrder(order: SchedulerOrder): void {
    switch (order.kind) {
      case "grant":
        this.issueGrant(order.request, order.endpoint, order.adapter)
        return
      case "refuse": {
        const pending = this.pending.get(order.request)
        this.pending.delete(order.request)
        pending?.settle({ kind: "refused", code: order.code, message: order.message })
        return
      }
      case "load":
        void this.loadAdapter(order.endpoint, order.adapter)
        return
      case "evict":
        this.owned.apply(order.endpoint, { kind: "eviction-wanted", adapter: order.adapter })
        return
    }
  }

  private issueGrant(request: RequestId, endpoint: EndpointId, adapter: AdapterKey): void {
    const pending = this.pending.get(request)
    this.pending.delete(request)
    const epoch = this.owned.get(endpoint)?.ownership.epoch
    if (!pending || epoch === undefined || !this.owned.canGrant(endpoint, adapter)) {
      this.recordReturn(request, "canceled")
      const message = `${endpoint} may not be granted now`
      pending?.settle({ kind: "refused", code: "no-owner", message })
      return
    }
    const id = `${this.self}-${++this.grantCounter}`
    const grant: Grant = { id, request, endpoint, adapter, owner: this.self, epoch }
    this.granted.set(request, { grant, ask: pending.ask })
    this.owned.apply(endpoint, { kind: "granted", grant, holder: pending.holder })
    this.metrics.count("grants")
    this.metrics.recordRankDuration(
      "wait",
      pending.request.rank,
      this.clock.now() - pending.request.arrivedAt,
    )
    this.recorder.record({ kind: "request-granted", request, endpoint, adapter })
    pending.settle({ kind: "granted", grant })
  }

  private async loadAdapter(endpoint: EndpointId, adapter: AdapterKey): Promise<void> {
    const epoch = this.owned.get(endpoint)?.ownership.epoch ?? 0
    // Don't load an adapter that can't be granted, such as one that an older order may evict.
    if (!this.owned.canGrant(endpoint, adapter)) {
      this.update({ kind: "load-failed", endpoint, adapter })
      return
    }
    const startedAt = this.clock.now()
    this.recorder.record({ kind: "load-ordered", endpoint, adapter })
    const result = await this.engines.get(endpoint)?.load({ adapter, fencingNumber: epoch })
    this.metrics.recordDuration("load", this.clock.now() - startedAt)
    this.metrics.count(result === "done" ? "loads" : "load-failures")
    const note = result ?? "no engine"
    this.recorder.record({
      kind: result === "done" ? "load-done" : "load-failed",
      endpoint,
      adapter,
      note,
    })
    if (result !== "done")
      this.log.warn({ step: "load", peer: endpoint, adapter, result: note }, "load-failed")
    this.update({ kind: result === "done" ? "loaded" : "load-failed", endpoint, adapter })
  }

  private async readReports(): Promise<void> {
    await Promise.all(this.owned.listActive().map((state) => this.readReport(state.endpoint)))
  }

  private async readReport(endpoint: EndpointId): Promise<void> {
    const engine = this.engines.get(endpoint)
    if (!engine) return
    try {
      const report = await engine.report()
      if (!this.reachable.has(endpoint)) this.setReachable(endpoint, true)
      const previous = this.incarnations.get(endpoint)
      this.incarnations.set(endpoint, report.incarnation)
      if (previous !== undefined && previous !== report.incarnation)
        this.owned.apply(endpoint, { kind: "endpoint-restarted" })
      else this.owned.confirmProcess(endpoint, this.clock.now())
      this.update({ kind: "reported", report })
    } catch (error) {
      if (this.reachable.has(endpoint)) {
        this.setReachable(endpoint, false)
        this.log.warn(
          { step: "route", peer: endpoint, error: describeError(error) },
          "endpoint-lost",
        )
      }
      this.update({ kind: "unreachable", endpoint })
    }
  }

  private setReachable(endpoint: EndpointId, isReachable: boolean): void {
    if (isReachable) this.reachable.add(endpoint)
    else this.reachable.delete(endpoint)
    this.recorder.record({ kind: isReachable ? "endpoint-back" : "endpoint-lost", endpoint })
  }
}
