import type { AccountQuota, Millis } from "@galenaway/core"
import {
  computeLimits,
  computeShareTimes,
  getQuotaShard,
  type QuotaBounds,
  type QuotaDecision,
  QuotaQueue,
  ShareAllocator,
  ShareHolder,
  type ShareReply,
  type ShareReport,
  type UnitPermit,
} from "@galenaway/policy"

const LEASE_MS = 3000
const ACCOUNT = "acme"
const TICK_MS = 10
const REPORT_MS = 1000
/** Requests per tick to each flooded instance. */
const FLOOD_REQUESTS = 2

/** A granted request of the history. */
export interface GrantedRequest {
  readonly sentAt: Millis
  readonly cost: number
  isReleased: boolean
  /** Gives the cost back. */
  release(): void
}

interface Delivery {
  readonly at: Millis
  run(): void
}

/** One run of an instance, whose clock may differ from the fleet's in rate and origin. */
class Instance {
  pausedUntil: Millis = -Infinity
  isCut = false
  readonly queue: QuotaQueue
  readonly holder: ShareHolder
  private reportAt: Millis = 0
  private frozenMs: Millis = 0

  constructor(
    readonly name: string,
    run: number,
    private readonly clockRate: number,
    bounds: QuotaBounds,
  ) {
    const times = computeShareTimes(LEASE_MS, bounds)
    this.holder = new ShareHolder({ id: `${name}/${run}`, bounds, times })
    this.queue = new QuotaQueue(this.holder, times, () => true)
  }

  /** Returns the instance's monotonic time. */
  getTime(now: Millis): Millis {
    return 50_000 + (now - this.frozenMs) * this.clockRate
  }

  /** Stops the process until a time; with `isFrozen` its monotonic clock stands still too, which it detects afterwards. */
  pause(now: Millis, ms: Millis, isFrozen: boolean): void {
    this.pausedUntil = now + ms
    if (!isFrozen) return
    this.frozenMs += ms
    this.holder.clear(this.getTime(now + ms))
  }

  isReportDue(now: Millis): boolean {
    if (now < this.reportAt) return false
    this.reportAt = now + REPORT_MS
    return true
  }
}

/** Instances, one allocator at a time, and messages that are delayed, lost and cut. */
export class QuotaFleet {
  now: Millis = 0
  readonly instances: Instance[] = []
  readonly granted: GrantedRequest[] = []
  refusedUnits = 0
  reportCount = 0
  private quota: AccountQuota
  private readonly quotas = new Map<Instance, AccountQuota>()
  private readonly quotaChanges: { at: Millis; quota: AccountQuota }[] = []
  private readonly deliveries: Delivery[] = []
  private allocator: ShareAllocator | undefined
  private allocatorOrigin = 0
  private token = 0
  private flooded: readonly number[] = []
  private floodCost = 0
  private runs = 0

  constructor(
    count: number,
    quota: AccountQuota,
    private readonly random: () => number,
    private readonly bounds: QuotaBounds,
    /** Part of the messages that take seconds. */
    private readonly slowPart = 0,
  ) {
    this.quota = quota
    this.quotaChanges.push({ at: -Infinity, quota })
    for (let i = 0; i < count; i++) this.instances.push(this.createInstance(`i${i}`))
    this.startAllocator(0)
  }

  /** Replaces the allocator, which grants nothing for `waitMs`. */
  startAllocator(waitMs: Millis): void {
    this.allocator = undefined
    const token = ++this.token
    this.deliver(waitMs, () => {
      if (token !== this.token) return
      this.allocatorOrigin = this.now - 1000 * this.random()
      this.allocator = new ShareAllocator({
        token,
        startedAt: this.now - this.allocatorOrigin,
        times: computeShareTimes(LEASE_MS, this.bounds),
        findLimits: () => computeLimits(this.quota, this.bounds),
      })
      for (const { holder } of this.instances)
        holder.setAllocator(getQuotaShard(ACCOUNT), `allocator ${token}`)
    })
  }

  /** Cuts the connection between an instance and the allocator, or restores it. */
  toggleCut(index: number): void {
    const instance = this.instances[index]
    if (instance) instance.isCut = !instance.isCut
  }

  /** Pauses the process of an instance; with `isFrozen` its monotonic clock stands still too. */
  pause(index: number, ms: Millis, isFrozen: boolean): void {
    this.instances[index]?.pause(this.now, ms, isFrozen)
  }

  /** Replaces the process of an instance. */
  restart(index: number): void {
    const instance = this.instances[index]
    if (instance) this.instances[index] = this.createInstance(instance.name)
  }

  /** Changes the quota; each instance applies it within a second. */
  setQuota(quota: AccountQuota): void {
    this.quotaChanges.push({ at: this.now + 1000, quota })
    this.quota = quota
    for (const instance of this.instances)
      this.deliver(1000 * this.random(), () => this.quotas.set(instance, quota))
  }

  /** Sends a request to an instance. A waiting one is decided later. */
  send(index: number, cost: number): void {
    const instance = this.instances[index]
    if (!instance || this.now < instance.pausedUntil) return
    const sentAt = this.now
    const quota = this.quotas.get(instance) ?? this.quota
    const decide = (decision: QuotaDecision) => {
      if (decision.kind === "refused") this.refusedUnits += cost
      else this.granted.push(this.buildGranted(instance, sentAt, decision.permit))
    }
    const time = instance.getTime(this.now)
    const decision = instance.queue.take(ACCOUNT, quota, cost, time, decide)
    if (decision) decide(decision)
    else this.sendReports(instance, instance.queue.buildUrgent(time))
  }

  /** Sends more requests than the quota allows to some instances from now on. */
  flood(indexes: readonly number[], cost: number): void {
    this.flooded = indexes
    this.floodCost = cost
  }

  /** Lets time pass. */
  advance(ms: Millis): void {
    const end = this.now + ms
    while (this.now < end) {
      this.now += TICK_MS
      const due = this.deliveries.filter(({ at }) => at <= this.now)
      for (const delivery of due) {
        this.deliveries.splice(this.deliveries.indexOf(delivery), 1)
        delivery.run()
      }
      for (const instance of this.instances) this.runInstance(instance)
      for (const index of this.flooded)
        for (let i = 0; i < FLOOD_REQUESTS; i++) this.send(index, this.floodCost)
    }
  }

  /** Returns the highest use beyond the bound over all windows; negative if all are within it. */
  computeWorstExcess(): number {
    const requests = this.granted
      .filter(({ isReleased }) => !isReleased)
      .sort((a, b) => a.sentAt - b.sentAt)
    let worst = -Infinity
    let sum = 0
    let first = 0
    for (const { sentAt, cost } of requests) {
      sum += cost
      while ((requests[first]?.sentAt ?? 0) <= sentAt - this.bounds.windowMs)
        sum -= requests[first++]?.cost ?? 0
      worst = Math.max(worst, sum - this.computeBound(sentAt))
    }
    return worst
  }

  private computeBound(end: Millis): number {
    // A reduced quota is binding one window after all instances have it.
    const from = end - 2 * this.bounds.windowMs
    const inForce = this.quotaChanges.filter(
      ({ at }, index) => at - 1000 <= end && (this.quotaChanges[index + 1]?.at ?? Infinity) > from,
    )
    const limits = inForce.map(
      ({ quota }) => (quota.ratePerS * this.bounds.windowMs) / 1000 + quota.burst,
    )
    return Math.max(...limits) * (1 + this.bounds.excess) + this.bounds.slack
  }

  private createInstance(name: string): Instance {
    const instance = new Instance(name, ++this.runs, 1 + 0.004 * (this.random() - 0.5), this.bounds)
    instance.holder.setAllocator(getQuotaShard(ACCOUNT), `allocator ${this.token}`)
    this.quotas.set(instance, this.quota)
    return instance
  }

  private runInstance(instance: Instance): void {
    if (this.now < instance.pausedUntil) return
    const time = instance.getTime(this.now)
    if (instance.isReportDue(this.now))
      this.sendReports(instance, instance.queue.buildRegular(time))
    this.sendReports(instance, instance.queue.buildUrgent(time))
    instance.queue.refuseOverdue(time)
  }

  private sendReports(
    instance: Instance,
    reports: readonly { readonly report: ShareReport }[],
  ): void {
    for (const { report } of reports) {
      this.reportCount++
      if (instance.isCut) continue
      this.deliver(this.chooseDelay(), () => {
        this.handleReport(instance, report)
      })
    }
  }

  private handleReport(instance: Instance, report: ShareReport): void {
    const reply = this.allocator?.handle(report, this.now - this.allocatorOrigin)
    if (!reply || instance.isCut) return
    this.deliver(this.chooseDelay(), () => {
      this.receiveReply(instance, reply)
    })
  }

  private receiveReply(instance: Instance, reply: ShareReply): void {
    const pauseMs = instance.pausedUntil - this.now
    if (pauseMs <= 0) instance.queue.onReply(reply, instance.getTime(this.now))
    else
      this.deliver(pauseMs, () => {
        this.receiveReply(instance, reply)
      })
  }

  private chooseDelay(): Millis {
    return this.random() < this.slowPart ? 3000 * this.random() : 20 * this.random()
  }

  private deliver(delayMs: Millis, run: () => void): void {
    this.deliveries.push({ at: this.now + delayMs, run })
  }

  private buildGranted(instance: Instance, sentAt: Millis, permit: UnitPermit): GrantedRequest {
    const request: GrantedRequest = {
      sentAt,
      cost: permit.taken.units,
      isReleased: false,
      release: () => {
        if (request.isReleased) return
        request.isReleased = true
        instance.holder.release(permit, instance.getTime(this.now))
      },
    }
    return request
  }
}

/** Creates a generator of numbers from 0 to 1 that repeats for a seed. */
export function createRandom(seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0
    return state / 2 ** 32
  }
}
