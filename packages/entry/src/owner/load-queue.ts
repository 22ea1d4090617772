import type { AdapterName, AdapterVersion, Clock, Millis } from "@galenaway/core"

/** How a load is asked for. */
export interface LoadOptions {
  readonly waitMs: Millis
  /** The engine has just turned a request away because it doesn't hold the adapter. */
  readonly wasMissing: boolean
  /** Another engine can be asked: a load that has to wait long is refused at once. */
  readonly canRedirect: boolean
  /** 0 is the most urgent. */
  readonly priority: number
  /** Time until the request misses its latency objective; 0 when it has. */
  readonly objectiveInMs: Millis
}

/** What became of a request to load an adapter. */
export type LoadOutcome =
  | { readonly kind: "held"; readonly version: AdapterVersion }
  | { readonly kind: "refused"; readonly reason: string }

interface Waiter {
  readonly expiresAt: Millis
  readonly options: LoadOptions
  /** When the request misses its objective. */
  readonly objectiveAt: Millis
  readonly resolve: (outcome: LoadOutcome) => void
}

/** An adapter that should be loaded, in at least the given version. */
export interface PendingLoad {
  readonly adapter: AdapterName
  readonly version: AdapterVersion | undefined
  /** Everyone who waits can ask another engine. */
  readonly canRedirect: boolean
}

interface QueueEntry {
  version: AdapterVersion | undefined
  waiters: Waiter[]
}

/** The loads that an engine's keeper is asked for. */
export class LoadQueue {
  private readonly entries = new Map<AdapterName, QueueEntry>()
  /** Set when something was added since it was last cleared. */
  hasNewEntries = false

  /** `loadMs` is the time of one load. */
  constructor(
    private readonly clock: Clock,
    private readonly loadMs: Millis,
  ) {}

  /** Adds a wish; resolves when the adapter is there, refused, or the wait is over. */
  add(
    adapter: AdapterName,
    version: AdapterVersion | undefined,
    options: LoadOptions,
  ): Promise<LoadOutcome> {
    const row = this.entries.get(adapter) ?? { version: undefined, waiters: [] }
    this.entries.set(adapter, row)
    row.version = maxVersion(row.version, version)
    this.hasNewEntries = true
    const now = this.clock.now()
    return new Promise((resolve) => {
      const objectiveAt = now + options.objectiveInMs
      row.waiters.push({ expiresAt: now + options.waitMs, options, objectiveAt, resolve })
    })
  }

  /** Tells whether somebody waits for an adapter. */
  has(adapter: AdapterName): boolean {
    return this.entries.has(adapter)
  }

  /**
   * Lists what is wanted: first what can still meet its objective, the most
   * urgent first, then the rest; equals in the order in which they came.
   */
  list(): readonly PendingLoad[] {
    const latest = this.clock.now() + this.loadMs
    return [...this.entries]
      .map(([adapter, row]) => ({ adapter, row, urgency: computeEntryUrgency(row, latest) }))
      .sort((a, b) => a.urgency - b.urgency)
      .map(({ adapter, row: { version, waiters } }) => ({
        adapter,
        version,
        canRedirect: waiters.every(({ options }) => options.canRedirect),
      }))
  }

  /** Counts the adapters that are wanted at least as urgently. */
  countAhead({ priority, objectiveInMs }: LoadOptions): number {
    const latest = this.clock.now() + this.loadMs
    const own = computeUrgency(priority, objectiveInMs > this.loadMs)
    let count = 0
    for (const row of this.entries.values()) if (computeEntryUrgency(row, latest) <= own) count++
    return count
  }

  /** Tells the waiters that the adapter is there. */
  resolve(adapter: AdapterName, version: AdapterVersion): void {
    this.settle(adapter, { kind: "held", version })
  }

  /** Tells the waiters that the adapter won't come. */
  refuse(adapter: AdapterName, reason: string): void {
    this.settle(adapter, { kind: "refused", reason })
  }

  /** Refuses everything. */
  refuseAll(reason: string): void {
    for (const adapter of [...this.entries.keys()]) this.refuse(adapter, reason)
  }

  /** Refuses those whose wait is over. */
  refuseExpired(): void {
    const now = this.clock.now()
    for (const [adapter, row] of this.entries) {
      for (const { expiresAt, resolve } of row.waiters)
        if (expiresAt <= now) resolve({ kind: "refused", reason: "the load takes too long" })
      row.waiters = row.waiters.filter(({ expiresAt }) => expiresAt > now)
      if (row.waiters.length === 0) this.entries.delete(adapter)
    }
  }

  private settle(adapter: AdapterName, outcome: LoadOutcome): void {
    const row = this.entries.get(adapter)
    this.entries.delete(adapter)
    for (const { resolve } of row?.waiters ?? []) resolve(outcome)
  }
}

const LATE_PRIORITY_OFFSET = 1000

function computeEntryUrgency({ waiters }: QueueEntry, latest: Millis): number {
  return Math.min(
    ...waiters.map(({ options, objectiveAt }) =>
      computeUrgency(options.priority, objectiveAt > latest),
    ),
  )
}

function computeUrgency(priority: number, canBeOnTime: boolean): number {
  return canBeOnTime ? priority : LATE_PRIORITY_OFFSET + priority
}

function maxVersion(
  a: AdapterVersion | undefined,
  b: AdapterVersion | undefined,
): AdapterVersion | undefined {
  return a === undefined ? b : Math.max(a, b ?? 0)
}
