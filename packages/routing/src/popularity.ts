import type { AdapterName, Millis } from "@galenaway/core"

interface DecayedCount {
  value: number
  at: Millis
}

const MAX_ENTRY_COUNT = 4096

/** Exponentially decayed request counts of adapters. The least recently requested ones are removed when there are too many. */
export class Popularity {
  private readonly entries = new Map<AdapterName, DecayedCount>()

  constructor(private readonly halfLifeMs: Millis) {}

  /** Records a request. */
  add(adapter: AdapterName, now: Millis): void {
    const value = this.get(adapter, now) + 1
    // Entries stay in the order of their last use, so the first one is the least recently used.
    this.entries.delete(adapter)
    this.entries.set(adapter, { value, at: now })
    const [leastRecent] = this.entries.keys()
    if (this.entries.size > MAX_ENTRY_COUNT && leastRecent !== undefined)
      this.entries.delete(leastRecent)
  }

  /** Returns an adapter's decayed count, 0 when there were no requests. */
  get(adapter: AdapterName, now: Millis): number {
    const row = this.entries.get(adapter)
    return row ? row.value * 2 ** ((row.at - now) / this.halfLifeMs) : 0
  }
}
