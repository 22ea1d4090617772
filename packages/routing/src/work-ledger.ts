import type { EndpointId, Millis } from "@galenaway/core"

interface WorkEntry {
  readonly costMs: Millis
  readonly startedAt: Millis
}

/** The unfinished work of this instance's requests at one endpoint. */
export interface UnfinishedWork {
  readonly count: number
  /** Sum of the expected remaining times, in ms at the usual pace. */
  readonly costMs: Millis
}

/** A request that takes longer than expected counts with this share of its cost. */
const MIN_REMAINING_SHARE = 0.2
const NO_WORK: UnfinishedWork = { count: 0, costMs: 0 }

/** The expected work of this instance's requests that each endpoint still has to do. */
export class WorkLedger {
  private readonly entries = new Map<EndpointId, Set<WorkEntry>>()

  /** Adds a request that is sent to an endpoint. Returns a function that removes it. */
  add(endpoint: EndpointId, costMs: Millis, now: Millis): () => void {
    const entries = this.entries.get(endpoint) ?? new Set<WorkEntry>()
    this.entries.set(endpoint, entries)
    const entry = { costMs, startedAt: now }
    entries.add(entry)
    return () => {
      entries.delete(entry)
      if (entries.size === 0 && this.entries.get(endpoint) === entries)
        this.entries.delete(endpoint)
    }
  }

  /** Returns the work that an endpoint still has to do for this instance. `slowdown` is the time that it takes for work as a multiple of the usual time. */
  getUnfinished(endpoint: EndpointId, slowdown: number, now: Millis): UnfinishedWork {
    const entries = this.entries.get(endpoint)
    if (!entries) return NO_WORK
    let sumMs = 0
    for (const { costMs, startedAt } of entries)
      sumMs += Math.max(MIN_REMAINING_SHARE * costMs, costMs - (now - startedAt) / slowdown)
    return { count: entries.size, costMs: sumMs }
  }
}
