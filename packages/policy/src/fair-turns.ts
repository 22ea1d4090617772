import type { AccountName, Millis } from "@galenaway/core"

/** What decides about the turn of a waiting request. */
export interface TurnRequest {
  /** Requests without an account share the turns of one. */
  readonly account?: AccountName
  /** What the request uses of the capacity, in one unit for all requests of a queue: tokens for prompts, 1 for a load. */
  readonly cost: number
}

/** Returns the weight of an account, above 0. The share of an account is its part of the weights of all active accounts. */
export type GetWeight = (account: AccountName | undefined) => number

interface AccountUse {
  /** Virtual time up to which the account has used its share. */
  readonly usedUntil: number
  readonly lastRequestAt: Millis
}

/** A lead counts up to this number of mean requests, so that an account isn't held back for long after a peak. */
const MAX_LEAD_COUNT = 16
/** Accounts without a request for this time aren't active. What they used is forgotten. */
const ACTIVE_MS = 10_000
/** Weight of one request in the moving average of the costs. */
const COST_WEIGHT_SHARE = 0.02

/**
 * What each account has used of a capacity, compared with its share. Each use is
 * divided among the active accounts by weight; an account that has used more than
 * its parts is ahead by the difference, and one that has used less saves nothing up.
 * As in weighted fair queueing, virtual time is what an account of weight 1 has received.
 */
export class FairShares {
  private virtualTime = 0
  private meanCost = 0
  private readonly uses = new Map<AccountName | undefined, AccountUse>()

  constructor(private readonly getWeight: GetWeight = () => 1) {}

  /** Returns a copy, with which later turns can be computed in advance. */
  copy(): FairShares {
    const copy = new FairShares(this.getWeight)
    copy.virtualTime = this.virtualTime
    copy.meanCost = this.meanCost
    for (const [account, use] of this.uses) copy.uses.set(account, use)
    return copy
  }

  /** Whether several accounts are active. */
  get isDivided(): boolean {
    return this.uses.size > 1
  }

  /** Returns whether an account is ahead of its share by more than a number of mean requests. */
  isBeyond(account: AccountName | undefined, allowedCount: number): boolean {
    return this.computeLead(account) > allowedCount * this.meanCost
  }

  /** Computes by how much an account is ahead of its share, in the unit of costs; 0 if it isn't. */
  computeLead(account: AccountName | undefined): number {
    const { usedUntil } = this.uses.get(account) ?? { usedUntil: 0 }
    return Math.max(0, usedUntil - this.virtualTime) * this.getWeight(account)
  }

  /** Records that a request of an account waits, so that the account is active. */
  recordRequest(account: AccountName | undefined, now: Millis): void {
    const { usedUntil } = this.uses.get(account) ?? { usedUntil: 0 }
    this.uses.set(account, { usedUntil, lastRequestAt: now })
  }

  /** Records that a request uses its cost. A single active account is never ahead of its share. */
  recordUse({ account, cost }: TurnRequest, now: Millis): void {
    if (!this.isDivided) return
    const weight = this.getWeight(account)
    const averagedShare = this.meanCost === 0 ? 1 : COST_WEIGHT_SHARE
    this.meanCost += averagedShare * (cost - this.meanCost)
    const lead = Math.min(this.computeLead(account) + cost, MAX_LEAD_COUNT * this.meanCost)
    this.uses.set(account, { usedUntil: this.virtualTime + lead / weight, lastRequestAt: now })
    this.virtualTime += cost / this.computeActiveWeight(now)
  }

  /** Computes the weight of all active accounts, and removes the others. */
  private computeActiveWeight(now: Millis): number {
    let sum = 0
    for (const [account, { lastRequestAt }] of this.uses)
      if (now - lastRequestAt < ACTIVE_MS) sum += this.getWeight(account)
      else this.uses.delete(account)
    return sum
  }
}

/**
 * The turns of waiting requests. Those of accounts that aren't beyond their shares by
 * more than an allowed number of mean requests go first, in the order in which they
 * are given; then the account that is ahead of its share by the least has its turn.
 * With one account that is the given order.
 */
export class FairTurns<T extends TurnRequest> {
  private readonly waiting: T[]

  /** Records what is served in `shares`. */
  constructor(
    waiting: readonly T[],
    private readonly shares: FairShares,
    private readonly allowedCount: number,
  ) {
    this.waiting = [...waiting]
  }

  /** Returns the request whose turn is next. */
  peek(): T | undefined {
    const { waiting, shares, allowedCount } = this
    if (!shares.isDivided) return waiting[0]
    const isWithin = ({ account }: T) => !shares.isBeyond(account, allowedCount)
    return waiting.find(isWithin) ?? this.findLeastAhead()
  }

  /** Removes a request that is served. */
  serve(request: T, now: Millis): void {
    this.shares.recordUse(request, now)
    this.remove(request)
  }

  /** Removes a request that isn't served. It costs its account nothing. */
  remove(request: T): void {
    this.waiting.splice(this.waiting.indexOf(request), 1)
  }

  private findLeastAhead(): T | undefined {
    let least: T | undefined
    let leastLead = Infinity
    for (const request of this.waiting) {
      const lead = this.shares.computeLead(request.account)
      if (lead >= leastLead) continue
      least = request
      leastLead = lead
    }
    return least
  }
}
