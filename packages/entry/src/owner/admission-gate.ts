import type { AccountName, Clock, InstanceId, Millis } from "@galenaway/core"
import { AdmissionQueue, type EnginePace, type GetWeight, RunningRequests } from "@galenaway/policy"

/** A request to read a prompt on an engine. Times are durations, since the clocks of instances differ. */
export interface AdmissionOptions {
  readonly promptTokens: number
  /** Maximum number of tokens of the answer; 0 if it isn't known. */
  readonly outputTokens?: number
  /** The client account of the caller; undefined if its route needs none. */
  readonly account?: AccountName
  /** 0 is the most urgent. */
  readonly priority: number
  /** Time until the request misses its latency objective, in ms. */
  readonly objectiveInMs: Millis
  /** Maximum time to wait for the decision, in ms. */
  readonly waitMs: Millis
  /** Whether the request has missed its objective or will miss it. */
  readonly isLate: boolean
}

/** The decision about a request. */
export type AdmissionOutcome =
  /** The request may be sent. `unreadTokens` are the prompt tokens that the engine reads until its first token, if known. */
  | { readonly kind: "granted"; readonly unreadTokens?: number }
  /** The request can't start in time. `waitMs` is the time after which it could start. */
  | { readonly kind: "refused"; readonly waitMs: Millis }
  /** Nobody can decide at present, so the request may be sent. */
  | { readonly kind: "unavailable" }

/** The pace of an engine as its gate needs it. */
export interface GatePace extends EnginePace {
  /** Mean time for which a request uses a place of the batch. */
  readonly runMs: Millis
  /** Time between two reports of an instance about its requests. */
  readonly reportIntervalMs: Millis
}

interface Waiter {
  readonly holder: InstanceId
  readonly resolve: (outcome: AdmissionOutcome) => void
}

/** Runs the admission queue of one engine: resolves each request when its decision is due. */
export class AdmissionGate {
  private readonly queue: AdmissionQueue
  private readonly waiters = new Map<number, Waiter>()
  private readonly running = new RunningRequests()
  private lastId = 0
  private timer: NodeJS.Timeout | undefined

  constructor(
    private readonly clock: Clock,
    /** Number of requests that the engine runs at the same time. */
    slots: number,
    getPace: () => GatePace,
    getWeight?: GetWeight,
  ) {
    const placeCount = Math.max(1, slots)
    const getSlots = () => {
      const { runMs, reportIntervalMs } = getPace()
      // Requests that have ended count as running until they are reported.
      const unreported = (placeCount * reportIntervalMs) / runMs
      return {
        free: Math.ceil(placeCount + unreported) - this.running.count(clock.now()),
        turnoverMs: runMs / placeCount,
      }
    }
    this.queue = new AdmissionQueue(getPace, getSlots, getWeight)
  }

  /** Waits for the decision about a request of an instance. An aborted request is refused; never rejects. */
  admit(
    holder: InstanceId,
    options: AdmissionOptions,
    signal: AbortSignal,
  ): Promise<AdmissionOutcome> {
    if (signal.aborted) return Promise.resolve({ kind: "refused", waitMs: 0 })
    const id = ++this.lastId
    const now = this.clock.now()
    return new Promise((resolve) => {
      const onAbort = () => {
        this.queue.remove(id)
        this.settle(id, { kind: "refused", waitMs: 0 })
      }
      signal.addEventListener("abort", onAbort, { once: true })
      this.waiters.set(id, {
        holder,
        resolve: (outcome) => {
          signal.removeEventListener("abort", onAbort)
          resolve(outcome)
        },
      })
      const { objectiveInMs, waitMs, ...request } = options
      const objectiveAt = now + objectiveInMs
      this.queue.add({ ...request, id, objectiveAt, expiresAt: now + waitMs }, now)
      this.update()
    })
  }

  /** Records how many requests an instance has on the engine. */
  onRunning(holder: InstanceId, count: number): void {
    this.running.onReported(holder, count, this.clock.now())
    this.update()
  }

  /** Removes the requests of an instance that is gone. */
  removeHolder(holder: InstanceId): void {
    this.running.removeHolder(holder)
    this.update()
  }

  /** Ends all waits. The requests may be sent without a decision. */
  stop(): void {
    clearTimeout(this.timer)
    for (const id of [...this.waiters.keys()]) {
      this.queue.remove(id)
      this.settle(id, { kind: "unavailable" })
    }
  }

  private update(): void {
    clearTimeout(this.timer)
    const now = this.clock.now()
    for (const decision of this.queue.takeDecisions(now)) this.settle(decision.id, decision)
    const nextAt = this.queue.getNextTime()
    if (nextAt === undefined) return
    this.timer = setTimeout(
      () => {
        this.update()
      },
      Math.max(1, Math.ceil(nextAt - now)),
    )
  }

  private settle(id: number, outcome: AdmissionOutcome): void {
    const waiter = this.waiters.get(id)
    this.waiters.delete(id)
    if (waiter && outcome.kind === "granted")
      this.running.onGranted(waiter.holder, this.clock.now())
    waiter?.resolve(outcome)
  }
}
