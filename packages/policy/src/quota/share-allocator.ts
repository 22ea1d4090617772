import type { AccountName, Millis } from "@galenaway/core"
import { AccountAllocation, type AllocationTerms } from "./account-allocation.js"
import type { QuotaLimits, ShareTimes } from "./limits.js"
import type { AccountGrant, AccountReport, ShareReply, ShareReport } from "./messages.js"

/** The state with which an allocator starts. */
export interface AllocatorOptions {
  /** Increases from one allocator of a shard to the next. */
  readonly token: number
  /** Time from which it may grant. No earlier allocator grants after it, but its shares may still be in force. */
  readonly startedAt: Millis
  readonly times: ShareTimes
  /** Returns what can be allocated of an account, undefined if it has no quota. */
  findLimits(account: AccountName): QuotaLimits | undefined
}

/** The state of an account's quota at its allocator. */
export interface AllocatedQuota {
  readonly account: AccountName
  readonly demandPerMs: number
  /** Number of instances with a share or recent demand. */
  readonly holders: number
  /** Units that the allocator can grant at once. */
  readonly units: number
  readonly limits: QuotaLimits
}

/** Interval at which accounts without use are removed. */
const SWEEP_INTERVAL_MS = 10_000

/** Allocates the quotas of the accounts of one shard to the instances that report demand. */
export class ShareAllocator {
  private readonly allocations = new Map<AccountName, AccountAllocation>()
  private readonly terms: AllocationTerms
  private sweptAt: Millis

  constructor(private readonly options: AllocatorOptions) {
    const { token, startedAt, times } = options
    const settledAt = startedAt + times.validMs
    this.terms = { token, startedAt, settledAt, validMs: times.validMs }
    this.sweptAt = startedAt
  }

  /** The token of this allocator. */
  get token(): number {
    return this.options.token
  }

  /** Handles the report of a holder. Call it only while no other allocator of the shard may grant. */
  handle({ holder, number, accounts }: ShareReport, now: Millis): ShareReply {
    this.removeIdle(now)
    const grants = accounts.flatMap((report) => this.grant(holder, number, report, now) ?? [])
    return { number, token: this.options.token, grants }
  }

  /** Lists the accounts with recent use. */
  list(now: Millis): readonly AllocatedQuota[] {
    return [...this.allocations].flatMap(([account, allocation]) => {
      const limits = this.options.findLimits(account)
      if (!limits) return []
      const demandPerMs = allocation.sumDemand(now)
      const holders = allocation.countHolders(now)
      return [{ account, demandPerMs, holders, units: allocation.countUnits(now), limits }]
    })
  }

  private grant(
    holder: string,
    number: number,
    report: AccountReport,
    now: Millis,
  ): AccountGrant | undefined {
    const { account } = report
    const limits = this.options.findLimits(account)
    if (!limits) return undefined
    let allocation = this.allocations.get(account)
    if (!allocation) {
      allocation = new AccountAllocation(this.terms, limits, now)
      this.allocations.set(account, allocation)
    }
    return allocation.handle(holder, number, report, limits, now)
  }

  /** Removes the accounts without use. A new allocation must not start with more units than the removed one had. */
  private removeIdle(now: Millis): void {
    if (now - this.sweptAt < SWEEP_INTERVAL_MS || now < this.terms.settledAt) return
    this.sweptAt = now
    for (const [account, allocation] of this.allocations)
      if (allocation.isIdle(now)) this.allocations.delete(account)
  }
}
