import {
  type AdapterName,
  type AdapterVersion,
  type EndpointId,
  EndpointPausedError,
  type EngineLimits,
  type HeldAdapter,
  type InstanceId,
  type Millis,
  type Registration,
  waitFor,
} from "@galenaway/core"
import { AdapterSlots, type GetWeight } from "@galenaway/policy"
import { AdapterLoader, type AdapterLoaderDependencies } from "./adapter-loader.js"
import { DEFAULT_LOAD_MS, LoadPollSchedule, type LoadTimeEstimator } from "./load-poll-schedule.js"
import { estimateLoadEnd, type LoadOptions, type LoadOutcome, LoadQueue } from "./load-queue.js"
import {
  type OrderBody,
  OrderSender,
  type OrderSenderDependencies,
  type OrderSendResult,
} from "./order-sender.js"

/** The dependencies of an {@link EngineController}. */
export interface EngineControllerDependencies
  extends OrderSenderDependencies, Omit<AdapterLoaderDependencies, "send"> {
  /** Monotonic time of the start of this process. */
  readonly startedAt: Millis
  /** Returns the time for which an engine wants nothing from this instance, neither requests nor orders, in ms. */
  getPause(endpoint: EndpointId): Millis
  /** Returns the weights by which loads are divided among client accounts. */
  readonly getWeight: GetWeight
  /** One estimator is shared by the controllers of all engines of an owner. */
  readonly loadTimeEstimator: LoadTimeEstimator
}

/** A load with more than this number of loads ahead of it is refused if another engine can load the adapter. */
const MAX_AHEAD_COUNT = 3
/** The same limit for background loads, which add a replica of an adapter for later requests. */
const MAX_AHEAD_BACKGROUND_COUNT = 0
/** Loads of this priority run in the background; no request waits for them. */
export const BACKGROUND_PRIORITY = 100
/** Maximum time until an order is visible in the engine's report. */
const REPORT_LAG_MS = 450
const REPORT_TIMEOUT_MS = 600
const RETRY_MS = 200
const TOKEN_POLL_MS = 30
const MODEL_POLL_MS = 250
/** Interval at which queued loads are checked while the engine wants no orders. */
const PAUSE_POLL_MS = 200
const PAUSE_REASON = "the engine asked for a pause"

/**
 * Controls the base model and the adapters of one engine. It sends one order at
 * a time: first for the base model, then for adapters as they are requested.
 * Each order carries the number of orders that the engine must have accepted
 * before, so an order that is executed late can't take effect between later ones.
 */
export class EngineController {
  private readonly slots: AdapterSlots
  private readonly queue: LoadQueue
  private readonly sender: OrderSender
  private readonly loader: AdapterLoader
  private readonly abort = new AbortController()
  private readonly pollSchedule: LoadPollSchedule
  private isStateKnown = false
  private lastOrderAt: Millis
  private modelOrderedAt: Millis | undefined
  private pausedUntil: Millis = -Infinity
  private stopReason = "not owned"
  private wake: () => void = () => undefined

  constructor(
    private readonly engine: Registration,
    private readonly limits: EngineLimits,
    private readonly model: string,
    private readonly deps: EngineControllerDependencies,
  ) {
    this.slots = new AdapterSlots(limits.adapterSlots, deps.loadTimeEstimator.maxConcurrentLoads)
    this.queue = new LoadQueue(deps.clock, DEFAULT_LOAD_MS, deps.getWeight)
    this.sender = new OrderSender(engine, deps)
    this.pollSchedule = new LoadPollSchedule(deps.loadTimeEstimator)
    this.loader = new AdapterLoader(this.slots, this.queue, this.pollSchedule, {
      ...deps,
      send: (order, canTakeSlot) => this.send(order, canTakeSlot),
    })
    // All orders of earlier processes were sent before this process started.
    this.lastOrderAt = deps.startedAt
  }

  /** Start of the engine's process that this controller was created for, in ms since the Unix epoch. */
  get startedAt(): number | undefined {
    return this.engine.startedAt
  }

  /** Starts sending orders. They are sent until `stop` is called. */
  start(): void {
    void this.run()
  }

  /** Stops sending orders, and refuses the queued and all later loads with the given reason. */
  stop(reason: string): void {
    this.stopReason = reason
    this.abort.abort()
    this.queue.refuseAll(reason)
    this.wake()
  }

  /** Loads an adapter. Resolves when it is loaded or refused, or when the wait has expired; never rejects. */
  load(
    adapter: AdapterName,
    version: AdapterVersion | undefined,
    options: LoadOptions,
  ): Promise<LoadOutcome> {
    if (this.abort.signal.aborted)
      return Promise.resolve({ kind: "refused", reason: this.stopReason })
    const pauseMs = this.deps.getPause(this.engine.id)
    if (pauseMs >= options.waitMs || (options.canRedirect && pauseMs > 0))
      return Promise.resolve({ kind: "refused", reason: PAUSE_REASON })
    if (options.wasMissing) this.onMissing(adapter)
    if (options.canRedirect && this.isCongested(adapter, options))
      return Promise.resolve({ kind: "refused", reason: "too many loads ahead" })
    const outcome = this.queue.add(adapter, version, options)
    this.wake()
    return outcome
  }

  private isCongested(adapter: AdapterName, options: LoadOptions): boolean {
    if (this.queue.has(adapter) || this.slots.listArriving().includes(adapter)) return false
    const limit =
      options.priority >= BACKGROUND_PRIORITY ? MAX_AHEAD_BACKGROUND_COUNT : MAX_AHEAD_COUNT
    const ahead = this.queue.countAhead(options)
    const { expectedMs, maxConcurrentLoads } = this.deps.loadTimeEstimator
    const doneInMs = estimateLoadEnd(ahead, maxConcurrentLoads, expectedMs)
    const canBeOnTime = options.objectiveInMs > expectedMs
    return ahead > limit || (canBeOnTime && doneInMs > options.objectiveInMs)
  }

  /** Records the number of requests of an instance that use an adapter. */
  onUse(adapter: AdapterName, holder: InstanceId, inFlight: number): void {
    this.slots.onUse(adapter, holder, inFlight, this.deps.clock.now())
  }

  /** Removes the requests of an instance that is gone. */
  removeHolder(holder: InstanceId): void {
    this.slots.removeHolder(holder)
  }

  /** Lists the adapters that requests may use; none while the engine's state is unknown. */
  listHeld(): readonly HeldAdapter[] {
    return this.isStateKnown ? this.slots.listHeld() : []
  }

  /** Lists the base models that requests may use; none while the engine's state is unknown. */
  listModels(): readonly string[] {
    return this.isStateKnown ? this.slots.listModels() : []
  }

  /** Whether the engine's state has been read and its base model is loaded. */
  get isReady(): boolean {
    return this.isStateKnown && this.slots.hasModel(this.model)
  }

  /** Invalidates the state if the engine refused a request for lack of an adapter that the state lists as held. */
  private onMissing(adapter: AdapterName): void {
    const isHeld = this.slots.listHeld().some((held) => held.adapter === adapter)
    if (isHeld) this.invalidate(`${adapter} is missing`)
  }

  private async run(): Promise<void> {
    while (!this.abort.signal.aborted) {
      const delay = await this.runNext()
      if (delay > 0) await this.waitForWake(delay)
    }
  }

  private async waitForWake(ms: Millis): Promise<void> {
    const wakeUp = new AbortController()
    this.wake = () => {
      wakeUp.abort()
    }
    if (this.queue.hasNewEntries) return
    await waitFor(ms, wakeUp.signal)
  }

  /** Performs the next action that is due. Returns the time to wait before the next call, in ms. */
  private async runNext(): Promise<Millis> {
    this.queue.refuseExpired()
    this.queue.hasNewEntries = false
    if (this.deps.getToken() === undefined) return TOKEN_POLL_MS
    const pauseMs = this.deps.getPause(this.engine.id)
    if (pauseMs > 0) return this.waitInPause(pauseMs)
    const pause = this.pausedUntil - this.deps.clock.now()
    if (pause > 0) return pause
    if (!this.isStateKnown) return this.readState()
    if (!this.slots.hasModel(this.model)) return this.loadModel()
    this.slots.maxArriving = this.deps.loadTimeEstimator.maxConcurrentLoads
    return this.loader.runNext()
  }

  /** Refuses the queued loads that another engine can do. The others wait for the end of the pause. */
  private waitInPause(pauseMs: Millis): Millis {
    for (const { adapter, canRedirect } of this.queue.list())
      if (canRedirect) this.queue.refuse(adapter, PAUSE_REASON)
    return Math.min(pauseMs, PAUSE_POLL_MS)
  }

  private async readState(): Promise<Millis> {
    const { clock, engineClient, log } = this.deps
    const wait = this.lastOrderAt + REPORT_LAG_MS - clock.now()
    if (wait > 0) return wait
    try {
      const state = await engineClient.readState(this.engine, REPORT_TIMEOUT_MS)
      this.slots.applyState(state, clock.now())
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
      if (error instanceof EndpointPausedError)
        this.deps.onPause(this.engine.id, error.retryAfterMs)
      log.warn({ endpoint: this.engine.id, err: error }, "reading the engine state failed")
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
        if (isFirst) this.slots.onOrderAccepted()
        log.info({ endpoint: this.engine.id, model: this.model, isFirst }, "base model ordered")
        return MODEL_POLL_MS
      case "already-done":
        this.slots.addModel(this.model)
        log.info(
          { endpoint: this.engine.id, model: this.model, ms: clock.now() - this.modelOrderedAt },
          "base model loaded on the engine",
        )
        this.modelOrderedAt = undefined
        this.invalidate("base model loaded")
        return 0
      default:
        return MODEL_POLL_MS
    }
  }

  /** Sends an order. Invalidates the known state if the answer contradicts it. */
  private async send(order: OrderBody, canTakeSlot: boolean): Promise<OrderSendResult> {
    const sentAt = this.deps.clock.now()
    const answer = await this.sender.send(order, this.slots.sequence)
    this.lastOrderAt = this.deps.clock.now()
    switch (answer) {
      case "accepted":
      case "already-done":
      case "refused":
      case "no-authority":
        break
      case "paused":
        // A very short pause would otherwise be followed by orders in a tight loop.
        this.pausedUntil = this.lastOrderAt + RETRY_MS
        break
      case "unresolved":
        // The next order has the same expected sequence, so the engine executes at most one of the two.
        this.slots.onUnresolved(canTakeSlot, this.lastOrderAt)
        // An engine that refuses connections fails immediately; without a pause it would be retried in a tight loop.
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
    this.deps.log.info(
      { endpoint: this.engine.id, reason },
      "engine state outdated, reading it again",
    )
  }
}
