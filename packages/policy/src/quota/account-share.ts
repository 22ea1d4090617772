import type { AccountName, AccountQuota, Millis } from "@galenaway/core"
import { DemandMeter } from "./demand-meter.js"
import { computeLimits, type QuotaBounds, type QuotaLimits, type ShareTimes } from "./limits.js"
import {
  type AccountGrant,
  type AccountReport,
  NO_SHARE,
  type ShareParts,
  type UnitRefund,
} from "./messages.js"
import { type TakenUnits, TokenBucket } from "./token-bucket.js"

/** Units of one reply, of which some may have to be refunded to the allocator. */
interface GrantedUnits {
  readonly token: number
  readonly overflowsAt: number
  left: number
}

/** The units that a request has taken from its account's quota. */
export interface UnitPermit {
  readonly account: AccountName
  readonly taken: TakenUnits
  /** The reply that the units came with, undefined if they were in stock. */
  readonly grant: GrantedUnits | undefined
}

/** Part of the validity by which a holder's share ends early, since two clocks may differ in rate. */
const CLOCK_MARGIN = 0.01
/** An account without a request for this multiple of the mean time between requests gives its share back. */
const IDLE_INTERVALS = 6
/** A share that is reduced by more than this part is reported at once. */
const REPORTED_REDUCTION = 0.2
const MIN_IDLE_MS = 300
const MAX_IDLE_MS = 4000

/** The share of one account's quota that this instance holds, and the bucket that it fills. */
export class AccountShare {
  private readonly bucket: TokenBucket
  private readonly demand = new DemandMeter()
  private limits: QuotaLimits
  private parts = NO_SHARE
  private validUntil: Millis = -Infinity
  /** End of the last share, also after it has expired. */
  private lastValidUntil: Millis = -Infinity
  private appliedNumber = 0
  private token = 0
  private returned = 0
  private refunds: UnitRefund[] = []
  private currentGrant: GrantedUnits | undefined
  private emptyUntil: Millis = -Infinity
  private usedAt: Millis
  private idleMs = MAX_IDLE_MS
  private isChanged = false

  constructor(
    readonly account: AccountName,
    private quota: AccountQuota,
    private readonly bounds: QuotaBounds,
    private readonly times: ShareTimes,
    now: Millis,
  ) {
    this.bucket = new TokenBucket(0, now)
    this.limits = computeLimits(quota, bounds)
    this.usedAt = now
  }

  /** Applies the quota in force. The share is a part of it, so it changes at once. */
  setQuota(quota: AccountQuota, now: Millis): void {
    if (quota === this.quota) return
    this.quota = quota
    this.limits = computeLimits(quota, this.bounds)
    this.updateBucket(now)
  }

  /** Records the demand of a request. */
  recordDemand(cost: number, now: Millis): void {
    this.demand.record(cost, now)
    this.usedAt = now
    const idleMs = IDLE_INTERVALS * this.demand.getMeanIntervalMs()
    this.idleMs = Math.min(MAX_IDLE_MS, Math.max(MIN_IDLE_MS, idleMs))
  }

  /** Takes units from the stock. Returns undefined and takes nothing if there are too few. */
  take(cost: number, now: Millis): UnitPermit | undefined {
    this.checkExpiry(now)
    const taken = this.bucket.take(cost, now)
    return taken && { account: this.account, taken, grant: this.currentGrant }
  }

  /** Gives back the units of a request that no endpoint has run. */
  release({ taken, grant }: UnitPermit, now: Millis): void {
    this.checkExpiry(now)
    const refunded = grant ? this.refund(taken.units, grant) : 0
    this.bucket.putBack({ ...taken, units: taken.units - refunded }, now)
  }

  /** Gives units back to the allocator, with the next report. Returns their number. */
  private refund(wanted: number, grant: GrantedUnits): number {
    const units = Math.min(wanted, grant.left)
    grant.left -= units
    const { token, overflowsAt } = grant
    if (units > 0) this.refunds.push({ units, overflowsAt, token })
    return units
  }

  /** Applies the allocator's answer to a report that was sent at `sentAt`. Call `endGrant` after the waiting requests have taken their units. */
  apply(grant: AccountGrant, number: number, token: number, sentAt: Millis, now: Millis): void {
    const validUntil = sentAt + this.times.validMs * (1 - CLOCK_MARGIN)
    if (number <= this.appliedNumber || now >= validUntil) return
    this.checkExpiry(now)
    // An earlier allocator may have allocated it anew.
    const hasExpired = sentAt < this.lastValidUntil && now >= this.lastValidUntil
    if (!grant.isRenewal || !hasExpired) {
      this.appliedNumber = number
      this.token = token
      this.setShare(grant.share, validUntil, now)
    }
    this.bucket.add(grant.units, now)
    const { units, overflowsAt } = grant
    this.currentGrant = { token, overflowsAt, left: units }
    if (now - sentAt > this.times.replyTimeoutMs) this.endGrant()
    this.emptyUntil = now + grant.retryAfterMs
  }

  /** Drops the granted units that no request has taken and that aren't stock. */
  endGrant(): void {
    this.currentGrant = undefined
    this.bucket.trim()
  }

  /** Drops the share. Call it if the process was paused, since the monotonic clock may have stood still. */
  clear(now: Millis): void {
    this.parts = NO_SHARE
    this.validUntil = -Infinity
    this.bucket.clear(now)
  }

  /** Whether the account has had no request for some time. */
  isIdle(now: Millis): boolean {
    return now - this.usedAt >= this.idleMs
  }

  /** Whether the allocator can use a report at once: the share was reduced, or isn't used any more. */
  shouldReport(now: Millis): boolean {
    return this.isChanged || (this.isIdle(now) && this.hasShare(now))
  }

  /** Whether nothing has to be reported any more: there is no recent request, share or refund. */
  isEmpty(now: Millis): boolean {
    const isReported = this.refunds.length === 0 && this.returned === 0 && !this.isChanged
    return this.isIdle(now) && !this.hasShare(now) && isReported
  }

  /** Until when the allocator has no units, as it replied last. */
  get allocatorEmptyUntil(): Millis {
    return this.emptyUntil
  }

  /** Returns the parts of the quota that are in force. */
  getParts(now: Millis): ShareParts {
    this.checkExpiry(now)
    return this.parts
  }

  /** Returns the estimated demand in units per ms. */
  getDemand(now: Millis): number {
    return this.demand.getRate(now)
  }

  /** Computes the time until the stock has a number of units, Infinity if the share doesn't suffice. */
  computeWaitMs(cost: number, now: Millis): Millis {
    this.checkExpiry(now)
    return this.bucket.computeWaitMs(cost, now)
  }

  /** Builds the account's part of a report; `costs` are those of the waiting requests. An idle account gives its share back. */
  buildReport(costs: readonly number[], now: Millis): AccountReport {
    this.checkExpiry(now)
    if (this.isIdle(now) && costs.length === 0) this.giveBack(now)
    const stock = this.bucket.count(now)
    const sum = costs.reduce((total, cost) => total + cost, 0)
    const report: AccountReport = {
      account: this.account,
      share: this.parts,
      token: this.token,
      appliedNumber: this.appliedNumber,
      demandPerMs: this.isIdle(now) ? 0 : this.demand.getRate(now),
      meanCost: this.demand.getMeanCost(),
      requested: Math.max(0, sum - stock),
      firstRequested: Math.max(0, (costs[0] ?? 0) - stock),
      returned: this.returned,
      refunds: this.refunds,
    }
    this.returned = 0
    this.refunds = []
    this.isChanged = false
    return report
  }

  private setShare(share: ShareParts, validUntil: Millis, now: Millis): void {
    this.isChanged ||= isReduced(this.parts, share)
    this.parts = share
    this.validUntil = validUntil
    this.lastValidUntil = validUntil
    this.updateBucket(now)
  }

  private hasShare(now: Millis): boolean {
    this.checkExpiry(now)
    return this.parts.rate > 0 || this.parts.burst > 0
  }

  private giveBack(now: Millis): void {
    this.parts = NO_SHARE
    this.updateBucket(now)
  }

  private updateBucket(now: Millis): void {
    const { ratePerMs, burst } = this.limits
    const capacity = this.parts.burst * burst
    this.returned += this.bucket.setLimits(this.parts.rate * ratePerMs, capacity, now)
  }

  private checkExpiry(now: Millis): void {
    if (now >= this.validUntil && this.validUntil > -Infinity) this.clear(now)
  }
}

/** Returns whether a share is so much smaller that the allocator can use the difference before the next regular report. */
function isReduced(before: ShareParts, after: ShareParts): boolean {
  const limit = 1 - REPORTED_REDUCTION
  return after.rate < limit * before.rate || after.burst < limit * before.burst
}
