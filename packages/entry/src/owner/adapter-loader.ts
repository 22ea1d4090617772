import type { AdapterName, AdapterVersion, Clock, InstanceId, Millis } from "@galenaway/core"
import type { Metrics } from "@galenaway/observe"
import type { AdapterSlots, LoadPlan } from "@galenaway/policy"
import type { VersionTable } from "@galenaway/routing"
import type { LoadPollSchedule } from "./load-poll-schedule.js"
import type { LoadQueue, PendingLoad } from "./load-queue.js"
import {
  buildLoadOrder,
  buildUnloadOrder,
  type OrderBody,
  type OrderSendResult,
} from "./order-sender.js"

/** The dependencies of an {@link AdapterLoader}. */
export interface AdapterLoaderDependencies {
  readonly self: InstanceId
  readonly clock: Clock
  readonly versions: VersionTable
  readonly metrics: Metrics
  /** Sends an order to the engine. `canTakeSlot` is true if the order may occupy another slot. */
  send(order: OrderBody, canTakeSlot: boolean): Promise<OrderSendResult>
  /** Called when the adapters that the engine holds have changed. */
  onChange(): void
}

/** Maximum delay before a queue is examined again. */
const QUEUED_MS = 200
/** The same for an empty queue, which a new request wakes. */
const EMPTY_MS = 1000
const RETRY_MS = 20
const UNLOAD_POLL_MS = 150

/** Loads the queued adapters on one engine, and evicts others for them, one order at a time. */
export class AdapterLoader {
  constructor(
    private readonly slots: AdapterSlots,
    private readonly queue: LoadQueue,
    private readonly pollSchedule: LoadPollSchedule,
    private readonly deps: AdapterLoaderDependencies,
  ) {}

  /** Performs the next action that is due: sends an order, or resolves or refuses queued requests. Returns the time to wait before the next call, in ms. */
  runNext(): Promise<Millis> {
    const [leaving] = this.slots.listLeaving()
    return leaving === undefined ? this.runQueue() : this.waitForUnload(leaving)
  }

  private async runQueue(): Promise<Millis> {
    const now = this.deps.clock.now()
    const loads = this.listPending()
    let delay = loads.length > 0 ? QUEUED_MS : EMPTY_MS
    for (const pending of loads) {
      const version = this.getRequiredVersion(pending)
      const plan = this.slots.planLoad(pending.adapter, version, now)
      const dueAt = this.computeDueTime(pending, plan, now)
      if (dueAt > now) {
        delay = Math.min(delay, dueAt - now)
        continue
      }
      await this.executePlan(pending, version, plan)
      return 0
    }
    return delay
  }

  /** Lists the queued loads, then the adapters that are still loading without a queued request. */
  private listPending(): readonly PendingLoad[] {
    const pending = this.queue.list()
    const names = new Set(pending.map(({ adapter }) => adapter))
    const abandoned = this.slots.listArriving().filter((adapter) => !names.has(adapter))
    return [
      ...pending,
      ...abandoned.map((adapter) => ({ adapter, version: undefined, canRedirect: true })),
    ]
  }

  private getRequiredVersion({ adapter, version }: PendingLoad): AdapterVersion | undefined {
    const newest = this.deps.versions.getNewest(adapter)
    return newest === undefined ? version : Math.max(newest, version ?? 0)
  }

  /** Returns the time from which a plan may be executed. */
  private computeDueTime(pending: PendingLoad, plan: LoadPlan, now: Millis): Millis {
    switch (plan.kind) {
      case "held":
      case "load":
      case "evict":
      case "in-use":
        return now
      case "arriving":
        return Math.max(now, this.pollSchedule.getDueTime(pending.adapter))
      case "wait":
        return now + RETRY_MS
      case "full":
        return pending.canRedirect ? now : now + RETRY_MS
    }
  }

  private async executePlan(
    { adapter }: PendingLoad,
    version: AdapterVersion | undefined,
    plan: LoadPlan,
  ): Promise<void> {
    switch (plan.kind) {
      case "held":
        this.queue.resolve(adapter, plan.version)
        return
      case "load":
        return this.sendLoad(adapter, version)
      case "arriving":
        return this.poll(adapter, plan.version, plan.orderedAt)
      case "evict":
        await this.unload(plan.victim)
        return
      case "in-use":
        this.queue.refuse(adapter, "requests use an older version here")
        return
      case "full":
        this.queue.refuse(adapter, "every slot is in use")
        return
      case "wait":
        return
    }
  }

  private async sendLoad(adapter: AdapterName, version: AdapterVersion | undefined): Promise<void> {
    const { clock, metrics } = this.deps
    const answer = await this.deps.send(buildLoadOrder(adapter, version), true)
    const now = clock.now()
    switch (answer) {
      case "accepted":
        metrics.count("loads")
        this.queue.recordLoad(adapter)
        this.slots.onLoadAccepted(adapter, version, now)
        this.pollSchedule.onLoadOrdered(adapter, now)
        return
      case "already-done":
        this.slots.onHeld(adapter, version)
        this.onArrived(adapter, now)
        return
      case "refused":
        this.queue.refuse(adapter, "the engine refused the load")
        return
      default:
        return
    }
  }

  /** Checks whether an adapter is loaded by repeating the load order: the answer is then `already-done`. */
  private async poll(
    adapter: AdapterName,
    version: AdapterVersion | undefined,
    orderedAt: Millis,
  ): Promise<void> {
    const { clock, metrics } = this.deps
    const answer = await this.deps.send(buildLoadOrder(adapter, version), false)
    const now = clock.now()
    if (answer === "already-done") {
      this.slots.onArrived(adapter)
      metrics.recordDuration("load", now - orderedAt)
      this.onArrived(adapter, orderedAt)
      return
    }
    if (answer === "accepted") this.pollSchedule.onStillLoading(adapter, orderedAt, now)
    else this.pollSchedule.onPollUnanswered(adapter, now)
  }

  private onArrived(adapter: AdapterName, orderedAt: Millis): void {
    const now = this.deps.clock.now()
    this.slots.onUse(adapter, this.deps.self, 0, now)
    this.pollSchedule.onLoaded(adapter, orderedAt, now)
    this.deps.onChange()
  }

  private async unload(adapter: AdapterName): Promise<Millis> {
    const { clock, metrics } = this.deps
    const answer = await this.deps.send(buildUnloadOrder(adapter), false)
    switch (answer) {
      case "already-done":
        metrics.count("evictions")
        this.slots.onUnloaded(adapter)
        break
      case "accepted":
        this.slots.onUnloadAccepted(adapter)
        this.pollSchedule.schedule(adapter, clock.now() + UNLOAD_POLL_MS)
        break
      default:
        return 0
    }
    this.deps.onChange()
    return 0
  }

  /** Repeats an unload order until the adapter is removed. An unload that waits for requests delays all other orders. */
  private async waitForUnload(adapter: AdapterName): Promise<Millis> {
    const wait = this.pollSchedule.getDueTime(adapter) - this.deps.clock.now()
    return wait > 0 ? wait : this.unload(adapter)
  }
}
