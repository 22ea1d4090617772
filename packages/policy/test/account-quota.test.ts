import type { AccountQuota } from "@galenaway/core"
import { expect } from "chai"
import {
  type AccountReport,
  computeLimits,
  computeShareTimes,
  NO_SHARE,
  type QuotaDecision,
  QuotaQueue,
  ShareAllocator,
  ShareHolder,
  TokenBucket,
} from "@galenaway/policy"

/** Part of the rate and of the burst that is allocated as shares at most. */
const MAX_SHARED = 0.5
const BOUNDS = { windowMs: 8000, excess: 0.1, slack: 0 }
const TIMES = computeShareTimes(3000, BOUNDS)
const QUOTA: AccountQuota = { unit: "requests", ratePerS: 100, burst: 300, plainTokens: 1 }
const LIMITS = computeLimits(QUOTA, BOUNDS)
const ACCOUNT = "acme"
const DAY_MS = 86_400_000
/** Time at which no share of an earlier allocator is left. */
const SETTLED = TIMES.validMs
/** Time at which the bucket of an unused account is full. */
const FULL = SETTLED + 5000

it("a bucket is exact after a year of use", () => {
  const start = 365 * DAY_MS
  const bucket = new TokenBucket(0, start - DAY_MS)
  bucket.setLimits(0.1, 100, start - DAY_MS)
  expect(bucket.count(start)).to.equal(100)
  expect(bucket.take(100, start)).not.to.equal(undefined)
  let taken = 0
  for (let now = start; now < start + 100_000; now += 7) if (bucket.take(1, now)) taken++
  expect(taken).to.be.within(9_998, 10_000)
})

it("a bucket ignores times before its last one", () => {
  const bucket = new TokenBucket(0, 1000)
  bucket.setLimits(1, 100, 1000)
  expect(bucket.count(1010)).to.equal(10)
  expect(bucket.count(500)).to.equal(10)
  expect(bucket.count(1011)).to.equal(11)
})

it("a bucket states the time until it has a number of units", () => {
  const bucket = new TokenBucket(0, 0)
  bucket.setLimits(0.5, 100, 0)
  const waitMs = bucket.computeWaitMs(20, 0)
  expect(bucket.take(20, waitMs - 1)).to.equal(undefined)
  expect(bucket.take(20, waitMs)).not.to.equal(undefined)
  expect(bucket.computeWaitMs(101, waitMs)).to.equal(Infinity)
})

// Guards against units that are used twice because they are put back into a bucket that was refilled meanwhile.
it("units that are put back late don't raise what a bucket gives in a window", () => {
  const bucket = new TokenBucket(100, 0)
  bucket.setLimits(0.1, 100, 0)
  const early = bucket.take(60, 0)
  const late = bucket.take(40, 0)
  if (!early || !late) throw new Error("nothing taken")
  expect(bucket.putBack(late, 100)).to.equal(40)
  // Without the first take, the bucket would have been full at the start, and 40 have been put back since.
  expect(bucket.putBack(early, 100)).to.equal(10)
})

it("a request without an allocator is refused with a time to retry", () => {
  const queue = new QuotaQueue(createHolder("a"), TIMES, () => false)
  const decision = queue.take(ACCOUNT, QUOTA, 1, 0, fail)
  expect(decision).to.deep.equal({ kind: "refused", reason: "no-allocator", retryAfterMs: 1000 })
})

it("a request that waits for a silent allocator is refused in time", () => {
  const queue = new QuotaQueue(createHolder("a"), TIMES, () => true)
  const decisions: QuotaDecision[] = []
  expect(queue.take(ACCOUNT, QUOTA, 1, 0, (each) => decisions.push(each))).to.equal(undefined)
  queue.buildUrgent(0)
  queue.refuseOverdue(TIMES.replyTimeoutMs - 1)
  expect(decisions).to.deep.equal([])
  queue.refuseOverdue(TIMES.replyTimeoutMs)
  expect(decisions.map(({ kind }) => kind)).to.deep.equal(["refused"])
})

it("a refused request is granted after the stated time", () => {
  const { queue, allocator } = createPair()
  drain(queue, allocator, SETTLED)
  const refused = send(queue, allocator, 5, SETTLED)
  if (refused?.kind !== "refused") throw new Error("not refused")
  const retryAt = SETTLED + refused.retryAfterMs
  expect(send(queue, allocator, 5, retryAt)?.kind).to.equal("granted")
})

it("the cost of a request that never ran is granted again", () => {
  const { queue, holder, allocator } = createPair()
  for (let now = SETTLED; now < FULL; now += 20) send(queue, allocator, 1, now)
  const granted = send(queue, allocator, 100, FULL)
  if (granted?.kind !== "granted") throw new Error("not granted")
  drain(queue, allocator, FULL)
  holder.release(granted.permit, FULL)
  for (const { report } of queue.buildRegular(FULL))
    queue.onReply(allocator.handle(report, FULL), FULL)
  // Without the units that were given back, this would take a second.
  expect(send(queue, allocator, 100, FULL + 100)?.kind).to.equal("granted")
})

it("a reduced quota applies to the stock and the rate of a share at once", () => {
  const { queue, holder, allocator } = createPair()
  for (let now = SETTLED; now < SETTLED + 3000; now += 20) send(queue, allocator, 1, now)
  const now = SETTLED + 3000
  const share = holder.getShare(ACCOUNT, QUOTA, now)
  const parts = share.getParts(now)
  expect(parts.burst).to.be.greaterThan(0.8 * MAX_SHARED)
  share.setQuota({ ...QUOTA, ratePerS: 10, burst: 30 }, now)
  let taken = 0
  while (share.take(1, now)) taken++
  expect(taken).to.be.at.most(parts.burst * 1.05 * 30)
  expect(share.computeWaitMs(3, now)).to.be.at.least(2 / 0.0105)
})

it("a share ends with its time although its holder was paused", () => {
  const { queue, holder, allocator } = createPair()
  for (let now = SETTLED; now < SETTLED + 3000; now += 20) send(queue, allocator, 1, now)
  const share = holder.getShare(ACCOUNT, QUOTA, SETTLED + 3000)
  expect(share.getParts(SETTLED + 3000).rate).to.be.greaterThan(0)
  expect(share.take(1, SETTLED + 3000 + TIMES.validMs)).to.equal(undefined)
})

// Guards against a share that is allocated twice: to a holder that can't be reached and to another one.
it("the share of a holder that is silent is allocated again only when it has expired", () => {
  const allocator = createAllocator(1, 0)
  const first = grantShare(allocator, "a", 1, SETTLED)
  expect(first.rate).to.be.greaterThan(0.8 * MAX_SHARED)
  const beforeExpiry = grantShare(allocator, "b", 1, SETTLED + TIMES.validMs - 1)
  expect(first.rate + beforeExpiry.rate).to.be.at.most(MAX_SHARED + 1e-9)
  expect(first.burst + beforeExpiry.burst).to.be.at.most(MAX_SHARED + 1e-9)
  const afterExpiry = grantShare(allocator, "b", 2, SETTLED + TIMES.validMs)
  expect(afterExpiry.rate).to.be.greaterThan(0.8 * MAX_SHARED)
})

it("a reduced share counts as before until its holder has applied the reduction", () => {
  const allocator = createAllocator(1, 0)
  const share = grantShare(allocator, "a", 1, SETTLED)
  const reduced = grantShare(allocator, "a", 2, SETTLED + 10, { share, demandPerMs: 0.001 })
  expect(reduced.rate).to.be.lessThan(share.rate)
  expect(grantShare(allocator, "b", 1, SETTLED + 20).rate).to.be.at.most(
    MAX_SHARED - share.rate + 1e-9,
  )
  const applied = { share: reduced, appliedNumber: 2, token: 1, demandPerMs: 0.001 }
  grantShare(allocator, "a", 3, SETTLED + 30, applied)
  expect(grantShare(allocator, "b", 2, SETTLED + 40).rate).to.be.greaterThan(0.8 * MAX_SHARED)
})

it("a new allocator renews the shares of the one before and allocates nothing else", () => {
  const successor = createAllocator(2, 0)
  const share = { rate: 0.3, burst: 0.2 }
  const renewed = grantShare(successor, "a", 7, 0, { share, token: 1, appliedNumber: 6 })
  expect(renewed.rate).to.equal(0.3)
  expect(grantShare(successor, "b", 1, 10)).to.deep.equal(NO_SHARE)
  expect(grantShare(successor, "b", 2, SETTLED - 1)).to.deep.equal(NO_SHARE)
  expect(grantShare(successor, "b", 3, SETTLED + 1).rate).to.be.greaterThan(0)
})

// Guards against a report that was sent to an earlier allocator of the same process and arrives late.
it("a new allocator passes a share on only after its holder has applied a reply", () => {
  const successor = createAllocator(3, 0)
  const share = { rate: 0.3, burst: 0.2 }
  const stale = { share, token: 1, appliedNumber: 6, demandPerMs: 0 }
  grantShare(successor, "a", 7, 0, stale)
  grantShare(successor, "a", 9, 10, { ...stale, share: NO_SHARE, token: 2, appliedNumber: 8 })
  expect(grantShare(successor, "b", 1, TIMES.validMs - 1).rate).to.equal(0)
})

// Guards against a share that the earlier allocator had allocated anew after it had expired.
it("a renewal has no effect if the share has expired since it was reported", () => {
  const { queue, holder, allocator } = createPair()
  for (let now = SETTLED; now < FULL; now += 20) send(queue, allocator, 1, now)
  const share = holder.getShare(ACCOUNT, QUOTA, FULL)
  for (const { report } of queue.buildRegular(FULL))
    queue.onReply(allocator.handle(report, FULL), FULL)
  const [sent] = queue.buildRegular(FULL + 1)
  if (!sent) throw new Error("no report")
  const reply = createAllocator(2, FULL).handle(sent.report, FULL)
  expect(reply.grants[0]?.share.rate).to.be.greaterThan(0)
  const expired = FULL + TIMES.validMs * 0.99
  expect(share.getParts(expired - 1).rate).to.be.greaterThan(0)
  queue.onReply(reply, expired)
  expect(share.getParts(expired)).to.deep.equal(NO_SHARE)
})

it("a report that was overtaken by a later one changes nothing", () => {
  const allocator = createAllocator(1, 0)
  const share = grantShare(allocator, "a", 2, SETTLED)
  grantShare(allocator, "a", 3, SETTLED + 10, { share, appliedNumber: 2, token: 1 })
  const reply = allocator.handle(
    { holder: "a", number: 1, accounts: [buildReport()] },
    SETTLED + 20,
  )
  expect(reply.grants).to.deep.equal([])
})

it("a share is valid from the sending of its report, however late the reply arrives", () => {
  const { queue, holder, allocator } = createPair()
  const share = holder.getShare(ACCOUNT, QUOTA, FULL)
  queue.take(ACCOUNT, QUOTA, 1, FULL, () => undefined)
  const [sent] = queue.buildUrgent(FULL)
  if (!sent) throw new Error("no report")
  const reply = allocator.handle(sent.report, FULL)
  queue.onReply(reply, FULL + 5000)
  expect(share.getParts(FULL + 5000).rate).to.be.greaterThan(0)
  expect(share.getParts(FULL + TIMES.validMs)).to.deep.equal(NO_SHARE)
})

it("units that arrive late are used only as stock", () => {
  const { queue, holder, allocator } = createPair()
  queue.take(ACCOUNT, QUOTA, 100, FULL, () => undefined)
  const [sent] = queue.buildUrgent(FULL)
  if (!sent) throw new Error("no report")
  const reply = allocator.handle(sent.report, FULL)
  expect(reply.grants[0]?.units).to.equal(100)
  expect(reply.grants[0]?.share).to.deep.equal(NO_SHARE)
  const late = FULL + TIMES.replyTimeoutMs + 1
  queue.onReply(reply, late)
  expect(holder.getShare(ACCOUNT, QUOTA, late).take(1, late)).to.equal(undefined)
})

it("a process whose clock may have stood still has no share until it reports again", () => {
  const { queue, holder, allocator } = createPair()
  for (let now = SETTLED; now < FULL; now += 20) send(queue, allocator, 1, now)
  const share = holder.getShare(ACCOUNT, QUOTA, FULL)
  holder.clear(FULL)
  expect(share.take(1, FULL)).to.equal(undefined)
  expect(send(queue, allocator, 1, FULL)?.kind).to.equal("granted")
})

it("a reported share counts for its whole validity", () => {
  const allocator = createAllocator(1, 0)
  const share = { rate: 0.7, burst: 0.5 }
  grantShare(allocator, "a", 1, SETTLED, { share, demandPerMs: 0 })
  const other = grantShare(allocator, "b", 1, SETTLED + TIMES.validMs - 1)
  expect(other.rate).to.be.at.most(0.1 + 1e-9)
})

it("a new allocator grants only the part of the rate that is never shared", () => {
  const allocator = createAllocator(2, 0)
  let granted = 0
  for (let now = 10; now < SETTLED; now += 10) {
    const request = { requested: 1, firstRequested: 1, meanCost: LIMITS.burst }
    const report = { holder: "a", number: now, accounts: [buildReport(request)] }
    granted += allocator.handle(report, now).grants[0]?.units ?? 0
  }
  expect(granted).to.be.within(250, (1 - MAX_SHARED) * LIMITS.ratePerMs * SETTLED + 1)
})

function createHolder(id: string): ShareHolder {
  return new ShareHolder({ id, bounds: BOUNDS, times: TIMES })
}

function createAllocator(token: number, startedAt: number): ShareAllocator {
  return new ShareAllocator({ token, startedAt, times: TIMES, findLimits: () => LIMITS })
}

function createPair() {
  const holder = createHolder("a")
  const queue = new QuotaQueue(holder, TIMES, () => true)
  return { holder, queue, allocator: createAllocator(1, 0) }
}

/** Sends a request and its report, to which the allocator replies at once. */
function send(
  queue: QuotaQueue,
  allocator: ShareAllocator,
  cost: number,
  now: number,
): QuotaDecision | undefined {
  let decision: QuotaDecision | undefined
  const decided = queue.take(ACCOUNT, QUOTA, cost, now, (each) => (decision = each))
  for (const { report } of queue.buildUrgent(now)) queue.onReply(allocator.handle(report, now), now)
  return decided ?? decision
}

/** Uses all units that are left. */
function drain(queue: QuotaQueue, allocator: ShareAllocator, now: number): void {
  while (send(queue, allocator, 5, now)?.kind === "granted");
}

function buildReport(changes: Partial<AccountReport> = {}): AccountReport {
  return {
    account: ACCOUNT,
    share: NO_SHARE,
    token: 0,
    appliedNumber: 0,
    demandPerMs: 1,
    meanCost: 1,
    requested: 0,
    firstRequested: 0,
    returned: 0,
    refunds: [],
    ...changes,
  }
}

/** Sends a report of a holder with much demand. Returns the granted share. */
function grantShare(
  allocator: ShareAllocator,
  holder: string,
  number: number,
  now: number,
  changes: Partial<AccountReport> = {},
) {
  const report = { holder, number, accounts: [buildReport(changes)] }
  return allocator.handle(report, now).grants[0]?.share ?? NO_SHARE
}

function fail(): never {
  throw new Error("decided twice")
}
