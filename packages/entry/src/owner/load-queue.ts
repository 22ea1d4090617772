import type { AdapterName, AdapterVersion, Clock, Millis } from "@galenaway/core"
import type { LoadAsk, LoadOutcome } from "./engine-keeper.js"

interface Waiter {
  readonly until: Millis
  readonly canRedirect: boolean
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

/** The loads that an engine's keeper is asked for, in the order in which they came. */
export class LoadQueue {
  private readonly rows = new Map<AdapterName, Row>()
  /** Set when something was added since it was last cleared. */
  hasNews = false

  constructor(private readonly clock: Clock) {}

  /** Adds a wish; resolves when the adapter is there, refused, or the wait is over. */
  add(
    adapter: AdapterName,
    version: AdapterVersion | undefined,
    { waitMs, canRedirect }: LoadAsk,
  ): Promise<LoadOutcome> {
    const row = this.getRow(adapter)
    row.version = maxVersion(row.version, version)
    this.hasNews = true
    return new Promise((resolve) => {
      row.waiters.push({ until: this.clock.now() + waitMs, canRedirect, resolve })
    })
  }

  /** Lists what is wanted, oldest first. */
  list(): readonly WantedLoad[] {
    return [...this.rows].map(([adapter, { version, waiters }]) => ({
      adapter,
      version,
      canRedirect: waiters.every((waiter) => waiter.canRedirect),
    }))
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

  private getRow(adapter: AdapterName): Row {
    let row = this.rows.get(adapter)
    if (!row) {
      row = { version: undefined, waiters: [] }
      this.rows.set(adapter, row)
    }
    return row
  }
}

function maxVersion(
  a: AdapterVersion | undefined,
  b: AdapterVersion | undefined,
): AdapterVersion | undefined {
  return a === undefined ? b : Math.max(a, b ?? 0)
}
