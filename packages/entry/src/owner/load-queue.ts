import type { AdapterName, AdapterVersion, Clock, Millis } from "@galenaway/core"

/** How a load is asked for. */
export interface LoadAsk {
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
  readonly until: Millis
  readonly ask: LoadAsk
  /** When the request misses its objective. */
  readonly objectiveAt: Millis
  readonly resolve: (outcome: LoadOutcome) => void
}

/** An adapter that should be loaded, in at least the given version. */
export interface WantedLoad {
  readonly adapter: AdapterName
  readonly version: AdapterVersion | undefined
  /** Everyone who waits can ask another engine. */
  readonly canRedirect: boolean
}

interface Row {
  version: AdapterVersion | undefined
  waiters: Waiter[]
}

/** The loads that an engine's keeper is asked for. */
export class LoadQueue {
  private readonly rows = new Map<AdapterName, Row>()
  /** Set when something was added since it was last cleared. */
  hasNews = false

  /** `loadMs` is the time of one load. */
  constructor(
    private readonly clock: Clock,
    private readonly loadMs: Millis,
  ) {}

  /** Adds a wish; resolves when the adapter is there, refused, or the wait is over. */
  add(
    adapter: AdapterName,
    version: AdapterVersion | undefined,
    ask: LoadAsk,
  ): Promise<LoadOutcome> {
    const row = this.rows.get(adapter) ?? { version: undefined, waiters: [] }
    this.rows.set(adapter, row)
    row.version = maxVersion(row.version, version)
    this.hasNews = true
    const now = this.clock.now()
    return new Promise((resolve) => {
      const objectiveAt = now + ask.objectiveInMs
      row.waiters.push({ until: now + ask.waitMs, ask, objectiveAt, resolve })
    })
  }

  /** Tells whether somebody waits for an adapter. */
  has(adapter: AdapterName): boolean {
    return this.rows.has(adapter)
  }

  /**
   * Lists what is wanted: first what can still meet its objective, the most
   * urgent first, then the rest; equals in the order in which they came.
   */
  list(): readonly WantedLoad[] {
    const latest = this.clock.now() + this.loadMs
    return [...this.rows]
      .map(([adapter, row]) => ({ adapter, row, urgency: computeUrgency(row, latest) }))
      .sort((a, b) => a.urgency - b.urgency)
      .map(({ adapter, row: { version, waiters } }) => ({
        adapter,
        version,
        canRedirect: waiters.every(({ ask }) => ask.canRedirect),
      }))
  }

  /** Counts the adapters that are wanted at least as urgently. */
  countAhead({ priority, objectiveInMs }: LoadAsk): number {
    const latest = this.clock.now() + this.loadMs
    const own = rankAsk(priority, objectiveInMs > this.loadMs)
    let count = 0
    for (const row of this.rows.values()) if (computeUrgency(row, latest) <= own) count++
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
    for (const adapter of [...this.rows.keys()]) this.refuse(adapter, reason)
  }

  /** Refuses those whose wait is over. */
  dropExpired(): void {
    const now = this.clock.now()
    for (const [adapter, row] of this.rows) {
      for (const { until, resolve } of row.waiters)
        if (until <= now) resolve({ kind: "refused", reason: "the load takes too long" })
      row.waiters = row.waiters.filter(({ until }) => until > now)
      if (row.waiters.length === 0) this.rows.delete(adapter)
    }
  }

  private settle(adapter: AdapterName, outcome: LoadOutcome): void {
    const row = this.rows.get(adapter)
    this.rows.delete(adapter)
    for (const { resolve } of row?.waiters ?? []) resolve(outcome)
  }
}

const LATE_RANK = 1000

function computeUrgency({ waiters }: Row, latest: Millis): number {
  return Math.min(
    ...waiters.map(({ ask, objectiveAt }) => rankAsk(ask.priority, objectiveAt > latest)),
  )
}

function rankAsk(priority: number, canBeOnTime: boolean): number {
  return canBeOnTime ? priority : LATE_RANK + priority
}

function maxVersion(
  a: AdapterVersion | undefined,
  b: AdapterVersion | undefined,
): AdapterVersion | undefined {
  return a === undefined ? b : Math.max(a, b ?? 0)
}
