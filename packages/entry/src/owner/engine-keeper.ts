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
import { AdapterSlots } from "@galenaway/policy"
import { AdapterLoader, type LoaderParts } from "./adapter-loader.js"
import { ArrivalPolls, LOAD_MS, type LoadTime } from "./arrival-polls.js"
import { type LoadAsk, type LoadOutcome, LoadQueue } from "./load-queue.js"
import { type OrderBody, OrderSender, type SenderParts, type SentAnswer } from "./order-sender.js"

/** What an engine's keeper needs. */
export interface KeeperParts extends SenderParts, Omit<LoaderParts, "send"> {
  /** Start of this process. */
  readonly startedAt: Millis
  /** Shared by all engines of an owner. */
  readonly loadTime: LoadTime
}

/** A load that would wait for so many others is refused where another engine can be asked. */
const MAX_AHEAD = 3
/** An adapter that is brought in ahead of need is refused while so many are wanted. */
const MAX_AHEAD_IDLE = 0
/** Nobody waits for loads of this priority. */
export const BACKGROUND_PRIORITY = 100
/** A report shows an order at the latest after this time. */
const REPORT_LAG_MS = 450
const REPORT_TIMEOUT_MS = 600
const IDLE_MS = 200
const NO_TOKEN_MS = 30
const MODEL_POLL_MS = 250

/**
 * Gives one engine its orders, one at a time: the base model first, then
 * adapters as they are asked for. Every order names the count of orders that
 * the engine must have accepted before, so one that is carried out late can't
 * come between later ones.
 */
export class EngineKeeper {
  private readonly places: AdapterSlots
  private readonly queue: LoadQueue
  private readonly sender: OrderSender
  private readonly loader: AdapterLoader
  private readonly abort = new AbortController()
  private readonly polls: ArrivalPolls
  private isSynced = false
  private lastOrderAt: Millis
  private modelOrderedAt: Millis | undefined
  private pausedUntil: Millis = -Infinity
  private wake: () => void = () => undefined

  constructor(
    private readonly engine: Registration,
    private readonly limits: EngineLimits,
    private readonly model: string,
    private readonly parts: KeeperParts,
  ) {
    this.places = new AdapterSlots(limits.adapterSlots, parts.loadTime.maxArriving)
    this.queue = new LoadQueue(parts.clock, LOAD_MS)
    this.sender = new OrderSender(engine, parts)
    this.polls = new ArrivalPolls(parts.loadTime)
    this.loader = new AdapterLoader(this.places, this.queue, this.polls, {
      ...parts,
      send: (order, takesSlot) => this.send(order, takesSlot),
    })
    // Orders of earlier processes are older than this one.
    this.lastOrderAt = parts.startedAt
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
    ask: LoadAsk,
  ): Promise<LoadOutcome> {
    if (this.abort.signal.aborted) return Promise.resolve({ kind: "refused", reason: "not owned" })
    if (ask.wasMissing) this.onMissing(adapter)
    if (ask.canRedirect && this.isCongested(adapter, ask))
      return Promise.resolve({ kind: "refused", reason: "too many loads ahead" })
    const outcome = this.queue.add(adapter, version, ask)
    this.wake()
    return outcome
  }

  private isCongested(adapter: AdapterName, ask: LoadAsk): boolean {
    if (this.queue.has(adapter) || this.places.listArriving().includes(adapter)) return false
    const limit = ask.priority >= BACKGROUND_PRIORITY ? MAX_AHEAD_IDLE : MAX_AHEAD
    return this.queue.countAhead(ask) > limit
  }

  /** Notes whether an instance has requests that use an adapter. */
  onUse(adapter: AdapterName, holder: InstanceId, inFlight: number): void {
    this.places.onUse(adapter, holder, inFlight, this.parts.clock.now())
  }

  /** Forgets the requests of an instance that is gone. */
  removeHolder(holder: InstanceId): void {
    this.places.removeHolder(holder)
  }

  /** Lists the adapters that requests may use. */
  listHeld(): readonly HeldAdapter[] {
    return this.isSynced ? this.places.listHeld() : []
  }

  /** Lists the base models that requests may use. */
  listModels(): readonly string[] {
    return this.isSynced ? this.places.listModels() : []
  }

  /** Whether the engine's state has been read and its model is there. */
  get isReady(): boolean {
    return this.isSynced && this.places.hasModel(this.model)
  }

  /** A request was turned away for an adapter that the table has: the table is wrong. */
  private onMissing(adapter: AdapterName): void {
    const isHeld = this.places.listHeld().some((held) => held.adapter === adapter)
    if (isHeld) this.loseSync(`${adapter} is missing`)
  }

  private async run(): Promise<void> {
    while (!this.abort.signal.aborted) {
      const delay = await this.step()
      if (delay > 0) await this.waitForWake(delay)
    }
  }

  private async waitForWake(ms: Millis): Promise<void> {
    const woken = new AbortController()
    this.wake = () => {
      woken.abort()
    }
    if (this.queue.hasNews) return
    await waitFor(ms, woken.signal)
  }

  /** Takes the next step; returns how long to wait before the one after. */
  private async step(): Promise<Millis> {
    this.queue.dropExpired()
    this.queue.hasNews = false
    if (this.parts.getToken() === undefined) return NO_TOKEN_MS
    const pause = this.pausedUntil - this.parts.clock.now()
    if (pause > 0) return pause
    if (!this.isSynced) return this.sync()
    if (!this.places.hasModel(this.model)) return this.loadModel()
    this.places.maxArriving = this.parts.loadTime.maxArriving
    return this.loader.step()
  }

  private async sync(): Promise<Millis> {
    const { clock, control, log } = this.parts
    const wait = this.lastOrderAt + REPORT_LAG_MS - clock.now()
    if (wait > 0) return wait
    try {
      const state = await control.readState(this.engine, REPORT_TIMEOUT_MS)
      this.places.applyState(state, clock.now())
      this.isSynced = true
      for (const { adapter } of state.adapters) this.polls.rememberCopy(adapter)
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
      this.parts.onChange()
      return 0
    } catch (error) {
      log.warn({ endpoint: this.engine.id, err: error }, "engine state not read")
      return IDLE_MS
    }
  }

  private async loadModel(): Promise<Millis> {
    const { clock, log } = this.parts
    const order = { action: "load", model: this.model } as const
    const answer = await this.send(order, false)
    const isFirst = this.modelOrderedAt === undefined
    this.modelOrderedAt ??= clock.now()
    switch (answer) {
      case "accepted":
        if (isFirst) this.places.onOrderAccepted()
        log.info({ endpoint: this.engine.id, model: this.model, isFirst }, "base model ordered")
        return MODEL_POLL_MS
      case "already-done":
        this.places.addModel(this.model)
        log.info(
          { endpoint: this.engine.id, model: this.model, ms: clock.now() - this.modelOrderedAt },
          "base model there",
        )
        this.modelOrderedAt = undefined
        this.loseSync("base model loaded")
        return 0
      default:
        return MODEL_POLL_MS
    }
  }

  /** Sends an order; the answer may show that the table is wrong. */
  private async send(order: OrderBody, takesSlot: boolean): Promise<SentAnswer> {
    const sentAt = this.parts.clock.now()
    const answer = await this.sender.send(order, this.places.sequence)
    this.lastOrderAt = this.parts.clock.now()
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
        this.pausedUntil = sentAt + this.parts.orderTimeoutMs
        break
      case "conflict":
      case "fenced":
      case "wrong-endpoint":
        this.loseSync(`an order was answered with ${answer}`)
        break
    }
    return answer
  }

  private loseSync(reason: string): void {
    if (!this.isSynced) return
    this.isSynced = false
    this.lastOrderAt = this.parts.clock.now()
    this.parts.log.info({ endpoint: this.engine.id, reason }, "engine state will be read again")
  }
}
