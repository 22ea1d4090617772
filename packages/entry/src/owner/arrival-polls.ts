import type { AdapterName, Millis } from "@galenaway/core"

/** Time of a load from the weight store while few are on their way. */
export const LOAD_MS = 255
/** An engine's own copy of an adapter loads in about a tenth of the time. */
const COPY_LOAD_MS = 27
const NEXT_POLL_MS = 15
/** Adapters of which an engine is expected to have a copy still. */
const COPIES_KEPT = 60

/** When to ask an engine whether an adapter has arrived. */
export class ArrivalPolls {
  private readonly due = new Map<AdapterName, Millis>()
  /** In the order of their last arrival. */
  private readonly copies = new Set<AdapterName>()

  /** Notes that a load was accepted. */
  onOrdered(adapter: AdapterName, now: Millis): void {
    this.due.set(adapter, now + (this.copies.has(adapter) ? COPY_LOAD_MS : LOAD_MS))
  }

  /** Notes that an adapter wasn't there: a missing copy takes as long as a load from the store. */
  onNotThere(adapter: AdapterName, orderedAt: Millis, now: Millis): void {
    const next = now + NEXT_POLL_MS
    this.due.set(adapter, now < orderedAt + LOAD_MS ? Math.max(next, orderedAt + LOAD_MS) : next)
  }

  /** Notes that an adapter has arrived. */
  onArrived(adapter: AdapterName): void {
    this.due.delete(adapter)
    this.rememberCopy(adapter)
  }

  /** Sets the next time by hand. */
  delay(adapter: AdapterName, until: Millis): void {
    this.due.set(adapter, until)
  }

  /** Returns when to ask next; 0 for at once. */
  getDue(adapter: AdapterName): Millis {
    return this.due.get(adapter) ?? 0
  }

  /** Notes that an engine has a copy of an adapter. */
  rememberCopy(adapter: AdapterName): void {
    this.copies.delete(adapter)
    this.copies.add(adapter)
    const [oldest] = this.copies
    if (this.copies.size > COPIES_KEPT && oldest !== undefined) this.copies.delete(oldest)
  }
}
