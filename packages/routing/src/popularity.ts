import type { AdapterName, Millis } from "@galenaway/core"

interface Row {
  value: number
  at: Millis
}

const MAX_ROWS = 4096

/** How often each adapter is asked for: a count whose weight halves with each half-life. */
export class Popularity {
  private readonly rows = new Map<AdapterName, Row>()

  constructor(private readonly halfLifeMs: Millis) {}

  /** Counts a request. */
  add(adapter: AdapterName, now: Millis): void {
    const value = this.get(adapter, now) + 1
    // Rows stay in the order of their last use, so the first one has been idle longest.
    this.rows.delete(adapter)
    this.rows.set(adapter, { value, at: now })
    const [idle] = this.rows.keys()
    if (this.rows.size > MAX_ROWS && idle !== undefined) this.rows.delete(idle)
  }

  /** Returns an adapter's weighted count. */
  get(adapter: AdapterName, now: Millis): number {
    const row = this.rows.get(adapter)
    return row ? row.value * 2 ** ((row.at - now) / this.halfLifeMs) : 0
  }
}
