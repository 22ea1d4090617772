import type { AccountName, AdapterName, AdapterVersion, Clock, Millis } from "@galenaway/core"
import { FairShares, FairTurns, type GetWeight, type TurnRequest } from "@galenaway/policy"

/** The options of a request to load an adapter. */
export interface LoadOptions {
  /** Maximum time to wait for the load, in ms. */
  readonly waitMs: Millis
  /** Whether the engine has just refused a request because it doesn't hold the adapter. */
  readonly wasMissing: boolean
  /** Whether another engine can load the adapter. A load that would wait for long is then refused immediately. */
  readonly canRedirect: boolean
  /** 0 is the most urgent. */
  readonly priority: number
  /** Time until the request misses its latency objective, in ms; 0 if it has missed it. */
  readonly objectiveInMs: Millis
  /** The client account of the request; undefined if it has none. */
  readonly account?: AccountName
}

/** The result of a request to load an adapter. */
export type LoadOutcome =
  | { readonly kind: "held"; readonly version: AdapterVersion }
  | { readonly kind: "refused"; readonly reason: string }

interface Waiter {
  readonly expiresAt: Millis
  readonly options: LoadOptions
  /** Time at which the request misses its latency objective. */
  readonly objectiveAt: Millis
  readonly resolve: (outcome: LoadOutcome) => void
}

/** A queued load of an adapter. A defined version is the minimum version. */
export interface PendingLoad {
  readonly adapter: AdapterName
  readonly version: AdapterVersion | undefined
  /** Whether all waiting requests can use another engine. */
  readonly canRedirect: boolean
}

interface QueueEntry {
  version: AdapterVersion | undefined
  waiters: Waiter[]
}

/** What decides about the turn of a queued load. Every load has the same cost. */
interface LoadTurn extends TurnRequest {
  /** Undefined for a load that isn't queued yet. */
  readonly adapter: AdapterName | undefined
  readonly urgency: number
}

/** Loads of an account that is ahead of its share by more than this number of loads go last. */
const MAX_LEAD_COUNT = 1
const LOAD_COST = 1

/** A queue of the adapters to load on one engine. Requests for the same adapter share one entry. */
export class LoadQueue {
  private readonly entries = new Map<AdapterName, QueueEntry>()
  private readonly shares: FairShares
  /** Whether a request was added since the controller last cleared this flag. */
  hasNewEntries = false

  /** `loadMs` is the expected duration of one load, in ms. */
  constructor(
    private readonly clock: Clock,
    private readonly loadMs: Millis,
    getWeight?: GetWeight,
  ) {
    this.shares = new FairShares(getWeight)
  }

  /** Adds a request. Resolves when the adapter is loaded, the request is refused or its wait has expired; never rejects. */
  add(
    adapter: AdapterName,
    version: AdapterVersion | undefined,
    options: LoadOptions,
  ): Promise<LoadOutcome> {
    const entry = this.entries.get(adapter) ?? { version: undefined, waiters: [] }
    this.entries.set(adapter, entry)
    entry.version = maxVersion(entry.version, version)
    this.hasNewEntries = true
    const now = this.clock.now()
    this.shares.recordRequest(options.account, now)
    return new Promise((resolve) => {
      const objectiveAt = now + options.objectiveInMs
      entry.waiters.push({ expiresAt: now + options.waitMs, options, objectiveAt, resolve })
    })
  }

  /** Returns whether requests are waiting for an adapter. */
  has(adapter: AdapterName): boolean {
    return this.entries.has(adapter)
  }

  /** Records that the load of an adapter was ordered, which its account has used. */
  recordLoad(adapter: AdapterName): void {
    const entry = this.entries.get(adapter)
    if (entry) this.shares.recordUse(this.buildTurn(adapter, entry), this.clock.now())
  }

  /**
   * Lists the queued loads: first those that can still meet their latency
   * objective, then the others. Both groups are ordered by priority, and loads
   * of equal priority by arrival; those of accounts beyond their shares go last.
   */
  list(): readonly PendingLoad[] {
    return this.listTurns().flatMap(({ adapter }) => {
      const entry = adapter === undefined ? undefined : this.entries.get(adapter)
      if (adapter === undefined || !entry) return []
      const canRedirect = entry.waiters.every(({ options }) => options.canRedirect)
      return [{ adapter, version: entry.version, canRedirect }]
    })
  }

  /** Counts the queued adapters that are loaded before that of a request with these options. */
  countAhead({ priority, objectiveInMs, account }: LoadOptions): number {
    const urgency = computeUrgency(priority, objectiveInMs > this.loadMs)
    const added = {
      adapter: undefined,
      urgency,
      cost: LOAD_COST,
      ...(account !== undefined && { account }),
    }
    return this.listTurns(added).indexOf(added)
  }

  /** Lists the turns of the queued loads and of one that would be added. */
  private listTurns(added?: LoadTurn): readonly LoadTurn[] {
    const now = this.clock.now()
    const shares = this.shares.copy()
    const queued = [...this.entries].map(([adapter, entry]) => this.buildTurn(adapter, entry))
    if (added) shares.recordRequest(added.account, now)
    const turns = [...queued, ...(added ? [added] : [])].sort((a, b) => a.urgency - b.urgency)
    const firstLate = turns.findIndex(({ urgency }) => urgency >= LATE_PRIORITY_OFFSET)
    const onTimeCount = firstLate < 0 ? turns.length : firstLate
    return [
      ...orderTurns(turns.slice(0, onTimeCount), shares, now),
      ...orderTurns(turns.slice(onTimeCount), shares, now),
    ]
  }

  private buildTurn(adapter: AdapterName, { waiters }: QueueEntry): LoadTurn {
    const loadedAt = this.clock.now() + this.loadMs
    const urgencies = waiters.map(({ options, objectiveAt }) =>
      computeUrgency(options.priority, objectiveAt > loadedAt),
    )
    const urgency = Math.min(...urgencies)
    const account = waiters[urgencies.indexOf(urgency)]?.options.account
    return { adapter, urgency, cost: LOAD_COST, ...(account !== undefined && { account }) }
  }

  /** Resolves all requests for an adapter as loaded. */
  resolve(adapter: AdapterName, version: AdapterVersion): void {
    this.settle(adapter, { kind: "held", version })
  }

  /** Refuses all requests for an adapter. */
  refuse(adapter: AdapterName, reason: string): void {
    this.settle(adapter, { kind: "refused", reason })
  }

  /** Refuses all requests. */
  refuseAll(reason: string): void {
    for (const adapter of [...this.entries.keys()]) this.refuse(adapter, reason)
  }

  /** Refuses the requests whose wait has expired. */
  refuseExpired(): void {
    const now = this.clock.now()
    for (const [adapter, entry] of this.entries) {
      for (const { expiresAt, resolve } of entry.waiters)
        if (expiresAt <= now) resolve({ kind: "refused", reason: "the load takes too long" })
      entry.waiters = entry.waiters.filter(({ expiresAt }) => expiresAt > now)
      if (entry.waiters.length === 0) this.entries.delete(adapter)
    }
  }

  private settle(adapter: AdapterName, outcome: LoadOutcome): void {
    const entry = this.entries.get(adapter)
    this.entries.delete(adapter)
    for (const { resolve } of entry?.waiters ?? []) resolve(outcome)
  }
}

/** Estimates the time in ms until a load is finished that has `ahead` others before it, of which `concurrent` run at a time. */
export function estimateLoadEnd(ahead: number, concurrent: number, loadMs: Millis): Millis {
  const waiting = Math.max(0, ahead + 1 - concurrent)
  return loadMs + (waiting * loadMs) / concurrent
}

/** Offset that orders loads that can't meet their objective after all others. */
const LATE_PRIORITY_OFFSET = 1000

/** Orders loads by the shares of their accounts, if each of them is ordered in turn. */
function orderTurns(
  loads: readonly LoadTurn[],
  shares: FairShares,
  now: Millis,
): readonly LoadTurn[] {
  const turns = new FairTurns(loads, shares, MAX_LEAD_COUNT)
  const ordered: LoadTurn[] = []
  for (let load = turns.peek(); load; load = turns.peek()) {
    turns.serve(load, now)
    ordered.push(load)
  }
  return ordered
}

function computeUrgency(priority: number, canMeetObjective: boolean): number {
  return canMeetObjective ? priority : LATE_PRIORITY_OFFSET + priority
}

function maxVersion(
  a: AdapterVersion | undefined,
  b: AdapterVersion | undefined,
): AdapterVersion | undefined {
  return a === undefined ? b : Math.max(a, b ?? 0)
}
