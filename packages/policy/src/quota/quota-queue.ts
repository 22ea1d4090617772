import type { AccountName, AccountQuota, Millis } from "@galenaway/core"
import type { AccountShare, UnitPermit } from "./account-share.js"
import type { ShareTimes } from "./limits.js"
import type { ShareReply, ShareReport } from "./messages.js"
import { getQuotaShard, type QuotaShard, type ShareHolder } from "./share-holder.js"

/** Why a request is refused: the quota is used up, or no allocator answers. */
export type QuotaRefusalReason = "used-up" | "no-allocator"

/** Whether a request is within its account's quota. */
export type QuotaDecision<Permit = UnitPermit> =
  { readonly kind: "granted"; readonly permit: Permit } | QuotaRefusal

/** The refusal of a request. The retry time is when units are expected, at most 10 s, or a fixed time without an allocator. */
export interface QuotaRefusal {
  readonly kind: "refused"
  readonly reason: QuotaRefusalReason
  readonly retryAfterMs: Millis
}

/** A report and the shard whose allocator must receive it. */
export interface ShardReport {
  readonly shard: QuotaShard
  readonly report: ShareReport
}

interface WaitingRequest {
  readonly cost: number
  readonly refuseAt: Millis
  readonly decide: (decision: QuotaDecision) => void
}

/** Retry-After while the allocator doesn't answer. */
const NO_ALLOCATOR_RETRY_MS = 1000
/** Longest Retry-After. A request above the whole burst would have none. */
const MAX_RETRY_AFTER_MS = 10_000
/** For this time after an allocator didn't answer or couldn't grant, requests beyond the stock are refused without waiting. */
const SILENCE_MS = 500

/**
 * Decides requests by the shares of this instance. A request beyond the stock
 * waits for one reply of the allocator, unless that had no units a moment ago.
 */
export class QuotaQueue {
  private readonly waiting = new Map<AccountName, WaitingRequest[]>()
  /** Numbers of the unanswered reports that contain the waiting requests of an account. */
  private readonly unanswered = new Map<AccountName, number>()
  private readonly silentUntil = new Map<QuotaShard, Millis>()

  constructor(
    private readonly holder: ShareHolder,
    private readonly times: ShareTimes,
    /** Returns whether the allocator of a shard can be reached. */
    private readonly hasAllocator: (shard: QuotaShard) => boolean,
  ) {}

  /**
   * Decides a request. Returns undefined if it has to wait; `decide` is then called
   * once, at the first check after the reply timeout at the latest. Accounts that wait are reported by `buildUrgent`.
   */
  take(
    account: AccountName,
    quota: AccountQuota,
    cost: number,
    now: Millis,
    decide: (decision: QuotaDecision) => void,
  ): QuotaDecision | undefined {
    const share = this.holder.getShare(account, quota, now)
    share.recordDemand(cost, now)
    const queue = this.waiting.get(account)
    const permit = queue ? undefined : share.take(cost, now)
    if (permit) return { kind: "granted", permit }
    if (!this.canWait(share, now)) return this.buildRefusal(share, cost, now)
    const request = { cost, refuseAt: now + this.times.replyTimeoutMs, decide }
    if (queue) queue.push(request)
    else this.waiting.set(account, [request])
    return undefined
  }

  /** Builds reports about the accounts with requests that wait and aren't reported yet, and those whose share can be used elsewhere. */
  buildUrgent(now: Millis): readonly ShardReport[] {
    const accounts = new Map<QuotaShard, AccountName[]>()
    const waiting = [...this.waiting.keys()].filter((account) => !this.unanswered.has(account))
    for (const account of new Set([...waiting, ...this.holder.listChanged(now)])) {
      const shard = getQuotaShard(account)
      accounts.set(shard, [...(accounts.get(shard) ?? []), account])
    }
    return this.buildReports(accounts, now)
  }

  /** Builds the regular reports about all accounts with recent use. */
  buildRegular(now: Millis): readonly ShardReport[] {
    return this.buildReports(this.holder.listDue(now), now)
  }

  /** Applies a reply and decides the requests that waited for it. */
  onReply(reply: ShareReply, now: Millis): void {
    for (const share of this.holder.applyReply(reply, now)) {
      const { account } = share
      this.silentUntil.delete(getQuotaShard(account))
      if (this.unanswered.get(account) === reply.number) this.unanswered.delete(account)
      this.decideWaiting(share, now)
      share.endGrant()
    }
  }

  /** Refuses the requests that wait for an allocator which has answered that it can't grant. */
  onUnavailable(shard: QuotaShard, now: Millis): void {
    this.silentUntil.set(shard, now + SILENCE_MS)
    for (const [account, queue] of this.waiting)
      if (getQuotaShard(account) === shard) this.refuse(account, queue, [], now)
  }

  /** Refuses the requests that have waited too long. The interval of the calls adds to their wait. */
  refuseOverdue(now: Millis): void {
    for (const [account, queue] of this.waiting) {
      const overdue = queue.filter(({ refuseAt }) => refuseAt <= now)
      if (overdue.length === 0) continue
      this.silentUntil.set(getQuotaShard(account), now + SILENCE_MS)
      this.refuse(account, overdue, queue.slice(overdue.length), now)
    }
  }

  private buildReports(
    accounts: ReadonlyMap<QuotaShard, readonly AccountName[]>,
    now: Millis,
  ): readonly ShardReport[] {
    return [...accounts]
      .filter(([shard]) => this.hasAllocator(shard))
      .map(([shard, names]) => {
        const listCosts = (name: AccountName) => this.listCosts(name)
        const report = this.holder.buildReport(shard, names, listCosts, now)
        for (const name of names)
          if (this.waiting.has(name)) this.unanswered.set(name, report.number)
        return { shard, report }
      })
  }

  private listCosts(account: AccountName): readonly number[] {
    return (this.waiting.get(account) ?? []).map(({ cost }) => cost)
  }

  private decideWaiting(share: AccountShare, now: Millis): void {
    const queue = this.waiting.get(share.account)
    if (!queue) return
    let granted = 0
    for (const { cost, decide } of queue) {
      const permit = share.take(cost, now)
      if (!permit) break
      granted++
      decide({ kind: "granted", permit })
    }
    const rest = queue.slice(granted)
    if (now < share.allocatorEmptyUntil) this.refuse(share.account, rest, [], now)
    else this.replaceQueue(share.account, rest)
  }

  /** Refuses some requests of an account, so that `rest` is what waits. */
  private refuse(
    account: AccountName,
    requests: readonly WaitingRequest[],
    rest: WaitingRequest[],
    now: Millis,
  ): void {
    const share = this.holder.findShare(account)
    this.unanswered.delete(account)
    this.replaceQueue(account, rest)
    for (const { cost, decide } of requests) decide(this.buildRefusal(share, cost, now))
  }

  private replaceQueue(account: AccountName, queue: WaitingRequest[]): void {
    if (queue.length > 0) this.waiting.set(account, queue)
    else this.waiting.delete(account)
  }

  private canWait({ account, allocatorEmptyUntil }: AccountShare, now: Millis): boolean {
    const shard = getQuotaShard(account)
    const isSilent = now < (this.silentUntil.get(shard) ?? -Infinity)
    return now >= allocatorEmptyUntil && !isSilent && this.hasAllocator(shard)
  }

  private buildRefusal(share: AccountShare | undefined, cost: number, now: Millis): QuotaRefusal {
    const emptyMs = (share?.allocatorEmptyUntil ?? now) - now
    const isUsedUp = emptyMs > 0
    const allocatorMs = isUsedUp ? emptyMs : NO_ALLOCATOR_RETRY_MS
    const ownMs = share?.computeWaitMs(cost, now) ?? Infinity
    const retryAfterMs = Math.max(1, Math.min(allocatorMs, ownMs, MAX_RETRY_AFTER_MS))
    const reason = isUsedUp ? "used-up" : "no-allocator"
    return { kind: "refused", reason, retryAfterMs: Math.ceil(retryAfterMs) }
  }
}
