import type { SuspensionDetector } from "@galenaway/coordination"
import type { AccountName, ClientAccount, Clock, InstanceId, Millis } from "@galenaway/core"
import type { Log, Metrics } from "@galenaway/observe"
import {
  type QuotaBounds,
  type QuotaDecision,
  type QuotaRefusal,
  QuotaQueue,
  type QuotaShard,
  ShareHolder,
  type ShardReport,
  type ShareTimes,
  type UnitPermit,
} from "@galenaway/policy"
import type { ShardReply } from "./messages.js"
import type { HeldShare } from "./use.js"

/** The instance that allocates a shard. */
export interface ShardAllocator {
  readonly instance: InstanceId
  readonly incarnation: string
}

/** The dependencies of {@link QuotaGate}. */
export interface QuotaGateDependencies {
  /** Identifies the run of this process. */
  readonly incarnation: string
  readonly bounds: QuotaBounds
  readonly times: ShareTimes
  /** Detects that the monotonic clock has stood still. */
  readonly suspension: SuspensionDetector
  readonly clock: Clock
  readonly metrics: Metrics
  readonly log: Log
  /** Finds the allocator of a shard; undefined if there is none that can be reached. */
  findAllocator(shard: QuotaShard): ShardAllocator | undefined
  /** Sends a report to an allocator. The gate receives the reply by `onReply`. */
  send(allocator: ShardAllocator, report: ShardReport): void
  /** Returns the number of instances. */
  countInstances(): number
}

/** The permission to run a request: units of its account's quota, undefined if the account has none. */
export type QuotaPermit = UnitPermit | undefined

const TICK_MS = 50
const MIN_REPORT_INTERVAL_MS = 1000
const MAX_REPORT_INTERVAL_MS = 3000
/** Limits the messages that an allocator receives, which come from all instances. */
const REPORT_SPACING_MS = 10
const MS_PER_S = 1000

/**
 * Decides whether requests are within their accounts' quotas. Exchanges reports and
 * shares with the allocators only while accounts with a quota have requests.
 */
export class QuotaGate {
  private readonly holder: ShareHolder
  private readonly queue: QuotaQueue
  private timer: NodeJS.Timeout | undefined
  private flush: NodeJS.Immediate | undefined
  private reportAt: Millis = -Infinity

  constructor(private readonly deps: QuotaGateDependencies) {
    const { incarnation, bounds, times } = deps
    this.holder = new ShareHolder({ id: incarnation, bounds, times })
    this.queue = new QuotaQueue(
      this.holder,
      times,
      (shard) => this.findAllocator(shard) !== undefined,
    )
  }

  /** Takes the cost of a request from its account's quota. Waits for a reply of the allocator if this instance has too few units; never rejects. */
  async take({ name, quota }: ClientAccount, cost: number): Promise<QuotaDecision<QuotaPermit>> {
    if (!quota) return { kind: "granted", permit: undefined }
    this.checkSuspension()
    const now = this.deps.clock.now()
    const decision = await new Promise<QuotaDecision>((resolve) => {
      const decided = this.queue.take(name, quota, cost, now, resolve)
      if (decided) resolve(decided)
      else this.scheduleFlush()
    })
    this.timer ??= this.startTimer(now)
    if (decision.kind === "refused") this.countRefusal(decision)
    return decision
  }

  /** Gives back the cost of a request that no endpoint has run or will run. */
  release(permit: QuotaPermit): void {
    if (permit) this.holder.release(permit, this.deps.clock.now())
  }

  /** Handles the reply of an allocator. */
  onReply({ shard, reply }: ShardReply): void {
    this.checkSuspension()
    const now = this.deps.clock.now()
    if (reply) this.queue.onReply(reply, now)
    else this.queue.onUnavailable(shard, now)
    this.scheduleFlush()
  }

  /** Describes the use of an account's quota at this instance; undefined without a recent request. */
  findUse(account: AccountName): HeldShare | undefined {
    const share = this.holder.findShare(account)
    if (!share) return undefined
    const now = this.deps.clock.now()
    const { rate, burst } = share.getParts(now)
    return { demandPerS: share.getDemand(now) * MS_PER_S, rate, burst }
  }

  /** Stops sending reports. */
  stop(): void {
    clearInterval(this.timer)
    clearImmediate(this.flush)
  }

  private countRefusal({ reason }: QuotaRefusal): void {
    switch (reason) {
      case "used-up":
        this.deps.metrics.count("quota-refusals")
        return
      case "no-allocator":
        this.deps.metrics.count("quota-outage-refusals")
    }
  }

  private startTimer(now: Millis): NodeJS.Timeout {
    // Instances whose callers start together don't report together.
    this.reportAt = now + Math.random() * this.getReportIntervalMs()
    return setInterval(() => {
      this.tick()
    }, TICK_MS)
  }

  private tick(): void {
    this.checkSuspension()
    const now = this.deps.clock.now()
    this.queue.refuseOverdue(now)
    this.sendAll(this.queue.buildUrgent(now))
    if (now >= this.reportAt) this.report(now)
  }

  private report(now: Millis): void {
    this.reportAt = now + this.getReportIntervalMs()
    this.sendAll(this.queue.buildRegular(now))
    if (this.holder.list().length > 0) return
    clearInterval(this.timer)
    this.timer = undefined
  }

  /** Sends the waiting requests of one turn of the event loop together. */
  private scheduleFlush(): void {
    this.flush ??= setImmediate(() => {
      this.flush = undefined
      this.sendAll(this.queue.buildUrgent(this.deps.clock.now()))
    })
  }

  private sendAll(reports: readonly ShardReport[]): void {
    for (const report of reports) {
      const allocator = this.findAllocator(report.shard)
      if (!allocator) continue
      this.deps.metrics.count("quota-reports")
      this.deps.send(allocator, report)
    }
  }

  private findAllocator(shard: QuotaShard): ShardAllocator | undefined {
    const allocator = this.deps.findAllocator(shard)
    if (!allocator) return undefined
    this.holder.setAllocator(shard, `${allocator.instance} ${allocator.incarnation}`)
    return allocator
  }

  private checkSuspension(): void {
    if (!this.deps.suspension.check()) return
    this.holder.clear(this.deps.clock.now())
    this.deps.log.warn("monotonic clock may have stood still, quota shares dropped")
  }

  private getReportIntervalMs(): Millis {
    const spacedMs = REPORT_SPACING_MS * this.deps.countInstances()
    return Math.min(MAX_REPORT_INTERVAL_MS, Math.max(MIN_REPORT_INTERVAL_MS, spacedMs))
  }
}
