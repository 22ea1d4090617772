import type { AdapterName, AdapterVersion, Clock, InstanceId, Millis } from "@galenaway/core"
import type { Metrics } from "@galenaway/observe"
import type { AdapterSlots, LoadPlan } from "@galenaway/policy"
import type { VersionTable } from "@galenaway/routing"
import type { ArrivalPolls } from "./arrival-polls.js"
import type { LoadQueue, WantedLoad } from "./load-queue.js"
import { buildLoad, buildUnload, type OrderBody, type SentAnswer } from "./order-sender.js"

/** What loading adapters needs. */
export interface LoaderParts {
  readonly self: InstanceId
  readonly clock: Clock
  readonly versions: VersionTable
  readonly metrics: Metrics
  /** Sends the engine an order; `takesSlot` if it could take one more slot. */
  send(order: OrderBody, takesSlot: boolean): Promise<SentAnswer>
  /** Called when what the engine holds has changed. */
  onChange(): void
}

const IDLE_MS = 200
const WAIT_STEP_MS = 20
const LEAVING_POLL_MS = 150

/** Brings in the adapters that are wanted on one engine, one order at a time. */
export class AdapterLoader {
  constructor(
    private readonly places: AdapterSlots,
    private readonly queue: LoadQueue,
    private readonly polls: ArrivalPolls,
    private readonly parts: LoaderParts,
  ) {}

  /** Takes the next step; returns how long to wait before the one after. */
  step(): Promise<Millis> {
    const [leaving] = this.places.listLeaving()
    return leaving === undefined ? this.serveQueue() : this.awaitUnload(leaving)
  }

  private async serveQueue(): Promise<Millis> {
    const now = this.parts.clock.now()
    let delay = IDLE_MS
    for (const wanted of this.listOpen()) {
      const version = this.getWantedVersion(wanted)
      const step = this.places.planLoad(wanted.adapter, version, now)
      const due = this.computeDue(wanted, step, now)
      if (due > now) {
        delay = Math.min(delay, due - now)
        continue
      }
      await this.takeStep(wanted, version, step)
      return 0
    }
    return delay
  }

  /** Lists what is wanted, and what is on its way though nobody waits for it any more. */
  private listOpen(): readonly WantedLoad[] {
    const wanted = this.queue.list()
    const names = new Set(wanted.map(({ adapter }) => adapter))
    const abandoned = this.places.listArriving().filter((adapter) => !names.has(adapter))
    return [
      ...wanted,
      ...abandoned.map((adapter) => ({ adapter, version: undefined, canRedirect: true })),
    ]
  }

  private getWantedVersion({ adapter, version }: WantedLoad): AdapterVersion | undefined {
    const newest = this.parts.versions.getNewest(adapter)
    return newest === undefined ? version : Math.max(newest, version ?? 0)
  }

  /** Returns when a step may be taken. */
  private computeDue(wanted: WantedLoad, step: LoadPlan, now: Millis): Millis {
    switch (step.kind) {
      case "held":
      case "load":
      case "evict":
      case "in-use":
        return now
      case "arriving":
        return Math.max(now, this.polls.getDue(wanted.adapter))
      case "wait":
        return now + WAIT_STEP_MS
      case "full":
        return wanted.canRedirect ? now : now + WAIT_STEP_MS
    }
  }

  private async takeStep(
    { adapter }: WantedLoad,
    version: AdapterVersion | undefined,
    step: LoadPlan,
  ): Promise<void> {
    switch (step.kind) {
      case "held":
        this.queue.resolve(adapter, step.version)
        return
      case "load":
        return this.order(adapter, version)
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

  private async order(adapter: AdapterName, version: AdapterVersion | undefined): Promise<void> {
    const { clock, metrics } = this.parts
    const answer = await this.parts.send(buildLoad(adapter, version), true)
    const now = clock.now()
    switch (answer) {
      case "accepted":
        metrics.count("loads")
        this.places.onLoadAccepted(adapter, version, now)
        this.polls.onOrdered(adapter, now)
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
    const { clock, metrics } = this.parts
    const answer = await this.parts.send(buildLoad(adapter, version), false)
    const now = clock.now()
    if (answer === "already-done") {
      this.places.onArrived(adapter)
      metrics.time("load", now - orderedAt)
      this.onArrived(adapter, orderedAt)
      return
    }
    if (answer === "accepted") this.polls.onNotThere(adapter, orderedAt, now)
    else this.polls.onNotAnswered(adapter, now)
  }

  private onArrived(adapter: AdapterName, orderedAt: Millis): void {
    const now = this.parts.clock.now()
    this.places.onUse(adapter, this.parts.self, 0, now)
    this.polls.onArrived(adapter, orderedAt, now)
    this.parts.onChange()
  }

  private async unload(adapter: AdapterName): Promise<Millis> {
    const { clock, metrics } = this.parts
    const answer = await this.parts.send(buildUnload(adapter), false)
    switch (answer) {
      case "already-done":
        metrics.count("evictions")
        this.places.onUnloaded(adapter)
        break
      case "accepted":
        this.places.onUnloadAccepted(adapter)
        this.polls.delay(adapter, clock.now() + LEAVING_POLL_MS)
        break
      default:
        return 0
    }
    this.parts.onChange()
    return 0
  }

  /** An unload that waits for requests holds up every other order. */
  private async awaitUnload(adapter: AdapterName): Promise<Millis> {
    const wait = this.polls.getDue(adapter) - this.parts.clock.now()
    return wait > 0 ? wait : this.unload(adapter)
  }
}
