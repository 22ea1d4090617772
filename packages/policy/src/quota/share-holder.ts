import type { AccountName, AccountQuota, Millis } from "@galenaway/core"
import { hashText } from "../hash.js"
import { AccountShare, type UnitPermit } from "./account-share.js"
import type { QuotaBounds, ShareTimes } from "./limits.js"
import type { ShareReply, ShareReport } from "./messages.js"

/** Number of a shard of accounts. All accounts of a shard have the same allocator. */
export type QuotaShard = number

/** Number of shards. More shards spread the accounts over more allocators, each of which receives a report from every instance with demand. */
export const QUOTA_SHARD_COUNT = 8

/** Returns the shard of an account. */
export function getQuotaShard(account: AccountName): QuotaShard {
  return hashText(account) % QUOTA_SHARD_COUNT
}

/** The options of a {@link ShareHolder}. */
export interface ShareHolderOptions {
  /** Identifies one run of this process. */
  readonly id: string
  readonly bounds: QuotaBounds
  readonly times: ShareTimes
}

interface SentReport {
  readonly shard: QuotaShard
  readonly sentAt: Millis
}

/** The shares of all accounts that this instance holds, and its reports to the allocators. */
export class ShareHolder {
  private readonly shares = new Map<AccountName, AccountShare>()
  private readonly allocators = new Map<QuotaShard, string>()
  /** Reports whose replies are still accepted. */
  private readonly sent = new Map<number, SentReport>()
  private readonly highestTokens = new Map<QuotaShard, number>()
  private lastNumber = 0

  constructor(private readonly options: ShareHolderOptions) {}

  /** Returns the share of an account under the quota in force. */
  getShare(account: AccountName, quota: AccountQuota, now: Millis): AccountShare {
    let share = this.shares.get(account)
    if (!share) {
      const { bounds, times } = this.options
      share = new AccountShare(account, quota, bounds, times, now)
      this.shares.set(account, share)
    }
    share.setQuota(quota, now)
    return share
  }

  /** Finds the share of an account that has recently had a request. */
  findShare(account: AccountName): AccountShare | undefined {
    return this.shares.get(account)
  }

  /** Gives back the units of a request that no endpoint has run. */
  release(permit: UnitPermit, now: Millis): void {
    this.shares.get(permit.account)?.release(permit, now)
  }

  /**
   * Sets the allocator of a shard. Replies of an earlier one are ignored from now on:
   * the next allocator relies on the shares that are reported to it.
   */
  setAllocator(shard: QuotaShard, allocator: string): void {
    if (this.allocators.get(shard) === allocator) return
    this.allocators.set(shard, allocator)
    for (const [number, report] of this.sent) if (report.shard === shard) this.sent.delete(number)
  }

  /** Drops all shares. Call it if the process was paused, since the monotonic clock may have stood still. */
  clear(now: Millis): void {
    this.sent.clear()
    for (const share of this.shares.values()) share.clear(now)
  }

  /** Lists the accounts that a regular report must contain, by shard. */
  listDue(now: Millis): ReadonlyMap<QuotaShard, readonly AccountName[]> {
    const due = new Map<QuotaShard, AccountName[]>()
    for (const [account, share] of this.shares) {
      if (share.isEmpty(now)) {
        this.shares.delete(account)
        continue
      }
      const shard = getQuotaShard(account)
      due.set(shard, [...(due.get(shard) ?? []), account])
    }
    return due
  }

  /** Lists the accounts whose allocators can use a report at once. */
  listChanged(now: Millis): readonly AccountName[] {
    return [...this.shares.values()]
      .filter((share) => share.shouldReport(now))
      .map(({ account }) => account)
  }

  /** Builds a report about accounts of a shard; `listCosts` returns the costs of the requests that wait for units. */
  buildReport(
    shard: QuotaShard,
    accounts: readonly AccountName[],
    listCosts: (account: AccountName) => readonly number[],
    now: Millis,
  ): ShareReport {
    const number = ++this.lastNumber
    this.removeExpired(now)
    this.sent.set(number, { shard, sentAt: now })
    const reports = accounts.flatMap(
      (account) => this.shares.get(account)?.buildReport(listCosts(account), now) ?? [],
    )
    return { holder: this.options.id, number, accounts: reports }
  }

  /** Applies a reply. Returns the shares that it changed; call `endGrant` on each after the waiting requests have taken their units. */
  applyReply({ number, token, grants }: ShareReply, now: Millis): readonly AccountShare[] {
    const report = this.sent.get(number)
    if (!report || token < (this.highestTokens.get(report.shard) ?? 0)) return []
    this.sent.delete(number)
    this.highestTokens.set(report.shard, token)
    return grants.flatMap((grant) => {
      const share = this.shares.get(grant.account)
      share?.apply(grant, number, token, report.sentAt, now)
      return share ?? []
    })
  }

  /** Lists the shares with recent use. */
  list(): readonly AccountShare[] {
    return [...this.shares.values()]
  }

  private removeExpired(now: Millis): void {
    for (const [number, { sentAt }] of this.sent) {
      if (now - sentAt < this.options.times.validMs) return
      this.sent.delete(number)
    }
  }
}
