import type { Millis } from "@galenaway/core"
import type { QuotaLimits } from "./limits.js"
import { type AccountGrant, type AccountReport, NO_SHARE, type ShareParts } from "./messages.js"
import { TokenBucket } from "./token-bucket.js"

/** A share that a holder may have received. */
interface SentShare {
  readonly number: number
  readonly share: ShareParts
  /** The share that was in force at the holder when it sent the report. */
  readonly before: ShareParts
  readonly until: Millis
}

interface HolderRecord {
  /** Number of the last report. */
  readonly number: number
  /** Whether the holder has applied a share of this allocator. */
  readonly isConfirmed: boolean
  /** The share in force as the holder has reported it last. */
  reported: ShareParts
  reportedUntil: Millis
  /** Shares that were sent since the one that the holder has applied. */
  sent: readonly SentShare[]
  demandPerMs: number
  demandUntil: Millis
}

/** Times and identity of the allocator of an account. */
export interface AllocationTerms {
  readonly token: number
  /** Time from which the allocator may grant. */
  readonly startedAt: Millis
  /** Time from which no share of an earlier allocator is in force. */
  readonly settledAt: Millis
  readonly validMs: Millis
}

/** Part of the rate that is allocated as shares. The rest refills the allocator's bucket, from which instances with new demand receive units at once, also from a new allocator. */
const MAX_SHARED_RATE = 0.5
/** Part of the burst that is allocated as shares. */
const MAX_SHARED_BURST = 0.5
const MAX_SHARED: ShareParts = { rate: MAX_SHARED_RATE, burst: MAX_SHARED_BURST }
/** A share exceeds the demand by this factor, since demand varies between two reports. */
const RATE_MARGIN = 1.25
/** How long a reported demand counts. It exceeds the longest interval between two reports. */
const DEMAND_VALID_MS = 4000
/** Smallest useful stock, in requests. With less, the share of the rate would often overflow. */
const MIN_STOCK_REQUESTS = 4

/**
 * Allocates the quota of one account. All shares that may be in force sum to at
 * most a part of the quota; the rest of the rate refills the allocator's own bucket.
 * A share counts until its holder has reported a smaller one or it has expired. So
 * the stock of all instances never exceeds the burst, nor their refill the rate.
 */
export class AccountAllocation {
  private readonly holders = new Map<string, HolderRecord>()
  private readonly bucket: TokenBucket
  /** Shares of the earlier allocator whose holders now rely on this one. Before all others have expired, only these can be allocated. */
  private inherited = NO_SHARE

  constructor(
    private readonly terms: AllocationTerms,
    limits: QuotaLimits,
    now: Millis,
  ) {
    this.bucket = new TokenBucket(0, now)
    this.updateBucket(limits, now)
    this.bucket.add(this.computeInitialUnits(limits, now), now)
    this.bucket.trim()
  }

  /** Handles a holder's report and grants it a share and units. Returns undefined for a report that was overtaken by a later one. */
  handle(
    holder: string,
    number: number,
    report: AccountReport,
    limits: QuotaLimits,
    now: Millis,
  ): AccountGrant | undefined {
    this.removeExpired(now)
    const known = this.holders.get(holder)
    if (known && known.number >= number) return undefined
    const record = this.updateHolder(holder, known, number, report, now)
    const freed = known ? getCommitted(known, now).burst - getCommitted(record, now).burst : 0
    this.updateBucket(limits, now)
    this.applyReturned(report, freed * limits.burst, now)
    const share = this.chooseShare(record, report, limits, now)
    const stock = this.allocateStock(share.burst - getCommitted(record, now).burst, now)
    const until = now + this.terms.validMs
    record.sent = [...record.sent, { number, share, before: report.share, until }]
    this.updateBucket(limits, now)
    const missing = report.firstRequested - stock
    const available = this.bucket.count(now)
    const wanted = Math.max(0, report.requested - stock)
    const units = missing <= available ? Math.min(wanted, available) : 0
    const taken = this.bucket.take(units, now)
    return {
      account: report.account,
      share,
      isRenewal: now < this.terms.settledAt && !record.isConfirmed,
      units: stock + units,
      overflowsAt: taken?.overflowsAt ?? 0,
      retryAfterMs: this.computeRetryMs(missing - units, limits, now),
    }
  }

  /** Whether nothing would be lost without the allocation: no share is in force and the bucket is full. */
  isIdle(now: Millis): boolean {
    this.removeExpired(now)
    return this.holders.size === 0 && this.bucket.count(now) >= this.bucket.capacity
  }

  /** Sums the demand that the holders have reported, in units per ms. */
  sumDemand(now: Millis): number {
    let sum = 0
    for (const { demandPerMs, demandUntil } of this.holders.values())
      if (now < demandUntil) sum += demandPerMs
    return sum
  }

  /** Counts the instances that hold a share or have recently reported demand. */
  countHolders(now: Millis): number {
    this.removeExpired(now)
    return this.holders.size
  }

  /** Returns the units in the allocator's own bucket. */
  countUnits(now: Millis): number {
    return this.bucket.count(now)
  }

  private updateHolder(
    holder: string,
    known: HolderRecord | undefined,
    number: number,
    report: AccountReport,
    now: Millis,
  ): HolderRecord {
    const sent = known?.sent ?? []
    const applied = sent.find((each) => each.number === report.appliedNumber)
    const isConfirming = applied !== undefined && report.token === this.terms.token
    // An unconfirmed report may have been sent long ago, to an earlier allocator of the same process.
    if (isConfirming && !known?.isConfirmed)
      this.inherited = addParts(this.inherited, applied.before)
    const record: HolderRecord = {
      number,
      isConfirmed: isConfirming || (known?.isConfirmed ?? false),
      reported: report.share,
      reportedUntil: now + this.terms.validMs,
      sent: sent.filter((each) => each.number > report.appliedNumber),
      demandPerMs: report.demandPerMs,
      demandUntil: now + DEMAND_VALID_MS,
    }
    this.holders.set(holder, record)
    return record
  }

  private removeExpired(now: Millis): void {
    for (const [holder, record] of this.holders) {
      const { rate, burst } = getCommitted(record, now)
      if (rate === 0 && burst === 0 && now >= record.demandUntil) this.holders.delete(holder)
    }
  }

  /** Puts units back: stock at most up to the burst that the report has freed, as other stock has expired. */
  private applyReturned({ returned, refunds }: AccountReport, freed: number, now: Millis): void {
    this.bucket.add(Math.max(0, Math.min(returned, freed)), now)
    this.bucket.trim()
    for (const refund of refunds)
      if (refund.token === this.terms.token) this.bucket.putBack(refund, now)
  }

  private chooseShare(
    record: HolderRecord,
    { meanCost }: AccountReport,
    limits: QuotaLimits,
    now: Millis,
  ): ShareParts {
    const committed = getCommitted(record, now)
    const free = this.getFree(record, now)
    const wanted = this.computeWanted(record, meanCost, limits, now)
    return {
      rate: Math.max(0, Math.min(wanted.rate, committed.rate + free.rate)),
      burst: Math.max(0, Math.min(wanted.burst, committed.burst + free.burst)),
    }
  }

  /** Computes a share in proportion to the demand. A stock that is too small for a request is useless. */
  private computeWanted(
    { demandPerMs }: HolderRecord,
    meanCost: number,
    { ratePerMs, burst }: QuotaLimits,
    now: Millis,
  ): ShareParts {
    const total = this.sumDemand(now)
    if (total <= 0 || ratePerMs <= 0) return NO_SHARE
    const part = demandPerMs / total
    const stockPart = MAX_SHARED_BURST * part
    if (stockPart * burst < MIN_STOCK_REQUESTS * meanCost) return NO_SHARE
    return {
      rate: part * Math.min(MAX_SHARED_RATE, (RATE_MARGIN * total) / ratePerMs),
      burst: stockPart,
    }
  }

  /** Computes when a holder can get units. If the demand exceeds the quota, the holders get them in turn. */
  private computeRetryMs(missing: number, { ratePerMs }: QuotaLimits, now: Millis): Millis {
    if (missing <= 0) return 0
    const isExceeded = this.sumDemand(now) > ratePerMs
    return this.bucket.computeWaitMs(missing, now) * (isExceeded ? this.holders.size : 1)
  }

  /** Returns what can be added to a holder's share. */
  private getFree({ isConfirmed }: HolderRecord, now: Millis): ShareParts {
    if (now >= this.terms.settledAt)
      return subtractParts(MAX_SHARED, sumCommitted(this.holders.values(), now))
    if (!isConfirmed) return NO_SHARE
    const confirmed = [...this.holders.values()].filter((holder) => holder.isConfirmed)
    return subtractParts(this.inherited, sumCommitted(confirmed, now))
  }

  /** Takes the units of an increased share of the burst from the allocator's bucket, which is as full after it. */
  private allocateStock(increase: number, now: Millis): number {
    if (increase <= 0) return 0
    const part = Math.min(1, increase / this.getOwnParts(now).burst)
    const units = part * this.bucket.count(now)
    this.bucket.take(units, now)
    return units
  }

  private updateBucket({ ratePerMs, burst }: QuotaLimits, now: Millis): void {
    const own = this.getOwnParts(now)
    this.bucket.setLimits(own.rate * ratePerMs, own.burst * burst, now)
  }

  /** The parts of the quota that belong to the allocator's bucket. */
  private getOwnParts(now: Millis): ShareParts {
    if (now < this.terms.settledAt)
      return { rate: 1 - MAX_SHARED_RATE, burst: 1 - MAX_SHARED_BURST }
    const { rate, burst } = sumCommitted(this.holders.values(), now)
    return { rate: Math.max(0, 1 - rate), burst: Math.max(0, 1 - burst) }
  }

  /** An allocator that follows another one starts empty, since the earlier one may just have granted everything. */
  private computeInitialUnits({ ratePerMs }: QuotaLimits, now: Millis): number {
    const { startedAt, settledAt } = this.terms
    const inRecoveryMs = Math.min(now, settledAt) - startedAt
    const afterMs = Math.max(0, now - settledAt)
    return ratePerMs * ((1 - MAX_SHARED_RATE) * inRecoveryMs + afterMs)
  }
}

function sumCommitted(records: Iterable<HolderRecord>, now: Millis): ShareParts {
  let rate = 0
  let burst = 0
  for (const record of records) {
    const committed = getCommitted(record, now)
    rate += committed.rate
    burst += committed.burst
  }
  return { rate, burst }
}

/** Returns the largest share that a holder may have in force. */
function getCommitted(record: HolderRecord, now: Millis): ShareParts {
  const isReportedValid = now < record.reportedUntil
  let rate = isReportedValid ? record.reported.rate : 0
  let burst = isReportedValid ? record.reported.burst : 0
  for (const { share, until } of record.sent) {
    if (now >= until) continue
    rate = Math.max(rate, share.rate)
    burst = Math.max(burst, share.burst)
  }
  return { rate, burst }
}

function addParts(a: ShareParts, b: ShareParts): ShareParts {
  return { rate: a.rate + b.rate, burst: a.burst + b.burst }
}

function subtractParts(a: ShareParts, b: ShareParts): ShareParts {
  return { rate: a.rate - b.rate, burst: a.burst - b.burst }
}
