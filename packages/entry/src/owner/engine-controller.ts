import {
  type AdapterName,
  type AdapterVersion,
  type EngineLimits,
  type HeldAdapter,
  type InstanceId,
  type Millis,
  type Registration,
  waitFor,
} from "@galenaway/core"
import { AdapterPlaces } from "@galenaway/policy"
import { AdapterLoader, type AdapterLoaderDependencies } from "./adapter-loader.js"
import { LoadPollSchedule, DEFAULT_LOAD_MS, type LoadTimeEstimator } from "./load-poll-schedule.js"
import { type LoadOptions, type LoadOutcome, LoadQueue } from "./load-queue.js"
import {
  type OrderBody,
  OrderSender,
  type OrderSenderDependencies,
  type OrderSendResult,
} from "./order-sender.js"

/** What an engine's keeper needs. */
export interface EngineControllerDependencies
  extends OrderSenderDependencies, Omit<AdapterLoaderDependencies, "send"> {
  /** Start of this process. */
  readonly startedAt: Millis
  /** Shared by all engines of an owner. */
  readonly loadTimeEstimator: LoadTimeEstimator
}

/** A load that would wait for so many others is refused where another engine can be asked. */
const MAX_AHEAD_COUNT = 3
/** An adapter that is brought in ahead of need is refused while so many are wanted. */
const MAX_AHEAD_BACKGROUND_COUNT = 0
/** Nobody waits for loads of this priority. */
export const BACKGROUND_PRIORITY = 100
/** A report shows an order at the latest after this time. */
const REPORT_LAG_MS = 450
const REPORT_TIMEOUT_MS = 600
const RETRY_MS = 200
const TOKEN_POLL_MS = 30
const MODEL_POLL_MS = 250

/**
 * Gives one engine its orders, one at a time: the base model first, then
 * adapters as they are asked for. Every order names the count of orders that
 * the engine must have accepted before, so one that is carried out late can't
 * come between later ones.
 */
export class EngineController {
  private readonly places: AdapterPlaces
  private readonly queue: LoadQueue
  private readonly sender: OrderSender
  private readonly loader: AdapterLoader
  private readonly abort = new AbortController()
  private readonly pollSchedule: LoadPollSchedule
  private isStateKnown = false
  private lastOrderAt: Millis
  private modelOrderedAt: Millis | undefined
  private pausedUntil: Millis = -Infinity
  private wake: () => void = () => undefined

  constructor(
    private readonly engine: Registration,
    private readonly limits: EngineLimits,
    private readonly model: string,
    private readonly deps: EngineControllerDependencies,
  ) {
    this.places = new AdapterPlaces(limits.adapterSlots, deps.loadTimeEstimator.maxConcurrentLoads)
    this.queue = new LoadQueue(deps.clock, DEFAULT_LOAD_MS)
    this.sender = new OrderSender(engine, deps)
    this.pollSchedule = new LoadPollSchedule(deps.loadTimeEstimator)
    this.loader = new AdapterLoader(this.places, this.queue, this.pollSchedule, {
      ...deps,
      send: (order, takesSlot) => this.send(order, takesSlot),
    })
    // Orders of earlier processes are older than this one.
    this.lastOrderAt = deps.startedAt
  }

  /** The engine's process that this keeper knows. */
  get startedAt(): number | undefined {
    return this.engine.startedAt
  }

  /** Starts giving orders; runs until it is stopped. */
  start(): void {
    void this.run()
  }

  /** Stops giving orders and refuses what waits. */
  stop(reason: string): void {
    this.abort.abort()
    this.queue.refuseAll(reason)
    this.wake()
  }

  /** Loads an adapter; resolves when it is there, or when the wait is over. */
  load(
    adapter: AdapterName,
    version: AdapterVersion | undefined,
    ask: LoadOptions,
  ): Promise<LoadOutcome> {
    if (this.abort.signal.aborted) return Promise.resolve({ kind: "refused", reason: "not owned" })
    if (ask.wasMissing) this.onMissing(adapter)
    if (ask.canRedirect && this.isCongested(adapter, ask))
      return Promise.resolve({ kind: "refused", reason: "too many loads ahead" })
    const outcome = this.queue.add(adapter, version, ask)
    this.wake()
    return outcome
  }

  private isCongested(adapter: AdapterName, ask: LoadOptions): boolean {
    if (this.queue.has(adapter) || this.places.listArriving().includes(adapter)) return false
    const limit = ask.priority >= BACKGROUND_PRIORITY ? MAX_AHEAD_BACKGROUND_COUNT : MAX_AHEAD_COUNT
    return this.queue.countAhead(ask) > limit
  }

  /** Notes whether an instance has requests that use an adapter. */
  onUse(adapter: AdapterName, holder: InstanceId, inFlight: number): void {
    this.places.onUse(adapter, holder, inFlight, this.deps.clock.now())
  }

  /** Forgets the requests of an instance that is gone. */
  removeHolder(holder: InstanceId): void {
    this.places.removeHolder(holder)
  }

  /** Lists the adapters that requests may use. */
  listHeld(): readonly HeldAdapter[] {
    return this.isStateKnown ? this.places.listHeld() : []
  }

  /** Lists the base models that requests may use. */
  listModels(): readonly string[] {
    return this.isStateKnown ? this.places.listModels() : []
  }

  /** Whether the engine's state has been read and its model is there. */
  get isReady(): boolean {
    return this.isStateKnown && this.places.hasModel(this.model)
  }

  /** A request was turned away for an adapter that the table has: the table is wrong. */
  private onMissing(adapter: AdapterName): void {
    const isHeld = this.places.listHeld().some((held) => held.adapter === adapter)
    if (isHeld) this.invalidate(`${adapter} is missing`)
  }

  private async run(): Promise<void> {
    while (!this.abort.signal.aborted) {
      const delay = await this.runNext()
      if (delay > 0) await this.waitForWake(delay)
    }
  }

  private async waitForWake(ms: Millis): Promise<void> {
    const woken = new AbortController()
    this.wake = () => {
      woken.abort()
    }
    if (this.queue.hasNewEntries) return
    await waitFor(ms, woken.signal)
  }

  /** Takes the next step; returns how long to wait before the one after. */
  private async runNext(): Promise<Millis> {
    this.queue.refuseExpired()
    this.queue.hasNewEntries = false
    if (this.deps.getToken() === undefined) return TOKEN_POLL_MS
    const pause = this.pausedUntil - this.deps.clock.now()
    if (pause > 0) return pause
    if (!this.isStateKnown) return this.readState()
    if (!this.places.hasModel(this.model)) return this.loadModel()
    this.places.maxArriving = this.deps.loadTimeEstimator.maxConcurrentLoads
    return this.loader.runNext()
  }

  private async readState(): Promise<Millis> {
    const { clock, engineClient, log } = this.deps
    const wait = this.lastOrderAt + REPORT_LAG_MS - clock.now()
    if (wait > 0) return wait
    try {
      const state = await engineClient.readState(this.engine, REPORT_TIMEOUT_MS)
      this.places.applyState(state, clock.now())
      this.isStateKnown = true
      for (const { adapter } of state.adapters) this.pollSchedule.recordCopy(adapter)
      log.info(
        {
          endpoint: this.engine.id,
          sequence: state.sequence,
          adapters: state.adapters.length,
          arriving: state.arriving.length,
          models: state.models.length,
        },
        "engine state read",
      )
      this.deps.onChange()
      return 0
    } catch (error) {
      log.warn({ endpoint: this.engine.id, err: error }, "engine state not read")
      return RETRY_MS
    }
  }

  private async loadModel(): Promise<Millis> {
    const { clock, log } = this.deps
    const order = { action: "load", model: this.model } as const
    const answer = await this.send(order, false)
    const isFirst = this.modelOrderedAt === undefined
    this.modelOrderedAt ??= clock.now()
    switch (answer) {
      case "accepted":
        if (isFirst) this.places.advance()
        log.info({ endpoint: this.engine.id, model: this.model, isFirst }, "base model ordered")
        return MODEL_POLL_MS
      case "already-done":
        this.places.addModel(this.model)
        log.info(
          { endpoint: this.engine.id, model: this.model, ms: clock.now() - this.modelOrderedAt },
          "base model there",
        )
        this.modelOrderedAt = undefined
        this.invalidate("base model loaded")
        return 0
      default:
        return MODEL_POLL_MS
    }
  }

  /** Sends an order; the answer may show that the table is wrong. */
  private async send(order: OrderBody, takesSlot: boolean): Promise<OrderSendResult> {
    const sentAt = this.deps.clock.now()
    const answer = await this.sender.send(order, this.places.sequence)
    this.lastOrderAt = this.deps.clock.now()
    switch (answer) {
      case "accepted":
      case "already-done":
      case "refused":
      case "no-authority":
        break
      case "unresolved":
        // The next order names the same count of orders, so at most one of the two is carried out.
        this.places.onUnresolved(takesSlot, this.lastOrderAt)
        // An engine that refuses connections fails at once.
        this.pausedUntil = sentAt + this.deps.orderTimeoutMs
        break
      case "conflict":
      case "fenced":
      case "wrong-endpoint":
        this.invalidate(`an order was answered with ${answer}`)
        break
    }
    return answer
  }

  private invalidate(reason: string): void {
    if (!this.isStateKnown) return
    this.isStateKnown = false
    this.lastOrderAt = this.deps.clock.now()
    this.deps.log.info({ endpoint: this.engine.id, reason }, "engine state will be read again")
  }
}
