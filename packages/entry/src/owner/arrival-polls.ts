import type { AdapterName, Millis } from "@galenaway/core"

/** Time of a load from the weight store while few are on their way. */
export const LOAD_MS = 255
const MAX_LOAD_MS = 2000
/** Engines take no more at once. */
const MAX_ARRIVING = 4
const MIN_ARRIVING = 2
/** Load times, as multiples of the usual one, up to which more loads are begun. */
const UNSLOWED = 1.06
const SLIGHTLY_SLOWED = 1.25
/** An engine's own copy of an adapter loads in about a tenth of the time. */
const COPY_LOAD_SHARE = 0.105
const NEXT_POLL_MS = 15
/** Weight of one load in the expected time. */
const MEMORY = 0.25
/** After a load that had arrived by the first question, the next one is asked for a little earlier. */
const EARLIER_MS = 1
const EARLIER_SHARE = 0.04
/** Adapters of which an engine is expected to have a copy still. */
const COPIES_KEPT = 60

/** The time that a load from the weight store takes now, learned from the loads of all engines of an owner. */
export class LoadTime {
  private ms: Millis = LOAD_MS

  /** The expected time. */
  get expectedMs(): Millis {
    return this.ms
  }

  /** How many loads an engine should have on their way: fewer when the weight store is slowed by too many. */
  get maxArriving(): number {
    const slowness = this.ms / LOAD_MS
    if (slowness <= UNSLOWED) return MAX_ARRIVING
    return slowness <= SLIGHTLY_SLOWED ? MAX_ARRIVING - 1 : MIN_ARRIVING
  }

  /** Takes a load that was found to be there after so long, and how often it was asked for. */
  record(ms: Millis, questions: number): void {
    const excess = this.ms - LOAD_MS
    if (questions <= 1) this.ms -= Math.min(excess, EARLIER_MS + EARLIER_SHARE * excess)
    else this.ms = Math.min(MAX_LOAD_MS, this.ms + MEMORY * Math.max(0, ms - this.ms))
  }
}

interface Arrival {
  due: Millis
  questions: number
  /** Whether the time until it is there tells how long loads from the weight store take. */
  readonly isTimed: boolean
}

/** When to ask an engine whether an adapter has arrived. */
export class ArrivalPolls {
  private readonly arrivals = new Map<AdapterName, Arrival>()
  /** In the order of their last arrival. */
  private readonly copies = new Set<AdapterName>()

  constructor(private readonly loadTime: LoadTime) {}

  /** Notes that a load was accepted. */
  onOrdered(adapter: AdapterName, now: Millis): void {
    const isCopy = this.copies.has(adapter)
    const ms = this.loadTime.expectedMs * (isCopy ? COPY_LOAD_SHARE : 1)
    this.arrivals.set(adapter, { due: now + ms, questions: 0, isTimed: !isCopy })
  }

  /** Notes that an adapter wasn't there: a missing copy takes as long as a load from the store. */
  onNotThere(adapter: AdapterName, orderedAt: Millis, now: Millis): void {
    const before = this.arrivals.get(adapter)
    const next = now + NEXT_POLL_MS
    const expected = orderedAt + this.loadTime.expectedMs
    const due = now < expected ? Math.max(next, expected) : next
    const questions = (before?.questions ?? 0) + 1
    this.arrivals.set(adapter, { due, questions, isTimed: before?.isTimed ?? true })
  }

  /** Notes a question that got no answer: when it was there can't be told from then on. */
  onNotAnswered(adapter: AdapterName, now: Millis): void {
    this.arrivals.set(adapter, { due: now + NEXT_POLL_MS, questions: 0, isTimed: false })
  }

  /** Notes that an adapter has arrived. */
  onArrived(adapter: AdapterName, orderedAt: Millis, now: Millis): void {
    const arrival = this.arrivals.get(adapter)
    if (arrival?.isTimed === true) this.loadTime.record(now - orderedAt, arrival.questions + 1)
    this.arrivals.delete(adapter)
    this.rememberCopy(adapter)
  }

  /** Sets the next time by hand. */
  delay(adapter: AdapterName, until: Millis): void {
    this.arrivals.set(adapter, { due: until, questions: 0, isTimed: false })
  }

  /** Returns when to ask next; 0 for at once. */
  getDue(adapter: AdapterName): Millis {
    return this.arrivals.get(adapter)?.due ?? 0
  }

  /** Notes that an engine has a copy of an adapter. */
  rememberCopy(adapter: AdapterName): void {
    this.copies.delete(adapter)
    this.copies.add(adapter)
    const [oldest] = this.copies
    if (this.copies.size > COPIES_KEPT && oldest !== undefined) this.copies.delete(oldest)
  }
}
