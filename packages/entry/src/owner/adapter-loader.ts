import type { AdapterName, AdapterVersion, Clock, InstanceId, Millis } from "@galenaway/core"
import type { Metrics } from "@galenaway/observe"
import type { AdapterPlaces, LoadStep } from "@galenaway/policy"
import type { VersionTable } from "@galenaway/routing"
import type { LoadPollSchedule } from "./load-poll-schedule.js"
import type { LoadQueue, PendingLoad } from "./load-queue.js"
import {
  buildLoadOrder,
  buildUnloadOrder,
  type OrderBody,
  type OrderSendResult,
} from "./order-sender.js"

/** What loading adapters needs. */
export interface AdapterLoaderDependencies {
  readonly self: InstanceId
  readonly clock: Clock
  readonly versions: VersionTable
  readonly metrics: Metrics
  /** Sends the engine an order; `takesSlot` if it could take one more slot. */
  send(order: OrderBody, takesSlot: boolean): Promise<OrderSendResult>
  /** Called when what the engine holds has changed. */
  onChange(): void
}

const IDLE_MS = 200
const WAIT_STEP_MS = 20
const LEAVING_POLL_MS = 150

/** Brings in the adapters that are wanted on one engine, one order at a time. */
export class AdapterLoader {
  constructor(
    private readonly places: AdapterPlaces,
    private readonly queue: LoadQueue,
    private readonly pollSchedule: LoadPollSchedule,
    private readonly deps: AdapterLoaderDependencies,
  ) {}

  /** Takes the next step; returns how long to wait before the one after. */
  runNext(): Promise<Millis> {
    const [leaving] = this.places.listLeaving()
    return leaving === undefined ? this.runQueue() : this.waitForUnload(leaving)
  }

  private async runQueue(): Promise<Millis> {
    const now = this.deps.clock.now()
    let delay = IDLE_MS
    for (const wanted of this.listPending()) {
      const version = this.getWantedVersion(wanted)
      const step = this.places.planLoad(wanted.adapter, version, now)
      const due = this.computeDueTime(wanted, step, now)
      if (due > now) {
        delay = Math.min(delay, due - now)
        continue
      }
      await this.runStep(wanted, version, step)
      return 0
    }
    return delay
  }

  /** Lists what is wanted, and what is on its way though nobody waits for it any more. */
  private listPending(): readonly PendingLoad[] {
    const wanted = this.queue.list()
    const names = new Set(wanted.map(({ adapter }) => adapter))
    const abandoned = this.places.listArriving().filter((adapter) => !names.has(adapter))
    return [
      ...wanted,
      ...abandoned.map((adapter) => ({ adapter, version: undefined, canRedirect: true })),
    ]
  }

  private getWantedVersion({ adapter, version }: PendingLoad): AdapterVersion | undefined {
    const newest = this.deps.versions.getNewest(adapter)
    return newest === undefined ? version : Math.max(newest, version ?? 0)
  }

  /** Returns when a step may be taken. */
  private computeDueTime(wanted: PendingLoad, step: LoadStep, now: Millis): Millis {
    switch (step.kind) {
      case "held":
      case "load":
      case "evict":
      case "in-use":
        return now
      case "arriving":
        return Math.max(now, this.pollSchedule.getDueTime(wanted.adapter))
      case "wait":
        return now + WAIT_STEP_MS
      case "full":
        return wanted.canRedirect ? now : now + WAIT_STEP_MS
    }
  }

  private async runStep(
    { adapter }: PendingLoad,
    version: AdapterVersion | undefined,
    step: LoadStep,
  ): Promise<void> {
    switch (step.kind) {
      case "held":
        this.queue.resolve(adapter, step.version)
        return
      case "load":
        return this.sendLoad(adapter, version)
      case "arriving":
        return this.poll(adapter, step.version, step.orderedAt)
      case "evict":
        await this.unload(step.victim)
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
        this.places.onLoadAccepted(adapter, version, now)
        this.pollSchedule.onLoadOrdered(adapter, now)
        return
      case "already-done":
        this.places.onHeld(adapter, version)
        this.onArrived(adapter, now)
        return
      case "refused":
        this.queue.refuse(adapter, "the engine refused the load")
        return
      default:
        return
    }
  }

  /** Asks whether an adapter has arrived: the order to load it is then already done. */
  private async poll(
    adapter: AdapterName,
    version: AdapterVersion | undefined,
    orderedAt: Millis,
  ): Promise<void> {
    const { clock, metrics } = this.deps
    const answer = await this.deps.send(buildLoadOrder(adapter, version), false)
    const now = clock.now()
    if (answer === "already-done") {
      this.places.onArrived(adapter)
      metrics.time("load", now - orderedAt)
      this.onArrived(adapter, orderedAt)
      return
    }
    if (answer === "accepted") this.pollSchedule.onStillLoading(adapter, orderedAt, now)
    else this.pollSchedule.onPollUnanswered(adapter, now)
  }

  private onArrived(adapter: AdapterName, orderedAt: Millis): void {
    const now = this.deps.clock.now()
    this.places.onUse(adapter, this.deps.self, 0, now)
    this.pollSchedule.onLoaded(adapter, orderedAt, now)
    this.deps.onChange()
  }

  private async unload(adapter: AdapterName): Promise<Millis> {
    const { clock, metrics } = this.deps
    const answer = await this.deps.send(buildUnloadOrder(adapter), false)
    switch (answer) {
      case "already-done":
        metrics.count("evictions")
        this.places.onUnloaded(adapter)
        break
      case "accepted":
        this.places.onUnloadAccepted(adapter)
        this.pollSchedule.schedule(adapter, clock.now() + LEAVING_POLL_MS)
        break
      default:
        return 0
    }
    this.deps.onChange()
    return 0
  }

  /** An unload that waits for requests holds up every other order. */
  private async waitForUnload(adapter: AdapterName): Promise<Millis> {
    const wait = this.pollSchedule.getDueTime(adapter) - this.deps.clock.now()
    return wait > 0 ? wait : this.unload(adapter)
  }
}
