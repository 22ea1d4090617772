import type { AdapterName, Millis } from "@galenaway/core"

/** Time of a load from the weight store while few are on their way. */
export const DEFAULT_LOAD_MS = 255
const MAX_LOAD_MS = 2000
/** Engines take no more at once. */
const MAX_LOAD_COUNT = 4
const MIN_LOAD_COUNT = 2
/** Load times, as multiples of the usual one, up to which more loads are begun. */
const FULL_CONCURRENCY_RATIO = 1.06
const REDUCED_CONCURRENCY_RATIO = 1.25
/** An engine's own copy of an adapter loads in about a tenth of the time. */
const COPY_LOAD_SHARE = 0.105
const POLL_INTERVAL_MS = 15
/** Weight of one load in the expected time. */
const SAMPLE_WEIGHT = 0.25
/** After a load that had arrived by the first question, the next one is asked for a little earlier. */
const MIN_DECREASE_MS = 1
const DECREASE_SHARE = 0.04
/** Adapters of which an engine is expected to have a copy still. */
const MAX_COPY_COUNT = 60

/** The time that a load from the weight store takes now, learned from the loads of all engines of an owner. */
export class LoadTimeEstimator {
  private estimateMs: Millis = DEFAULT_LOAD_MS

  /** The expected time. */
  get expectedMs(): Millis {
    return this.estimateMs
  }

  /** How many loads an engine should have on their way: fewer when the weight store is slowed by too many. */
  get maxConcurrentLoads(): number {
    const slowness = this.estimateMs / DEFAULT_LOAD_MS
    if (slowness <= FULL_CONCURRENCY_RATIO) return MAX_LOAD_COUNT
    return slowness <= REDUCED_CONCURRENCY_RATIO ? MAX_LOAD_COUNT - 1 : MIN_LOAD_COUNT
  }

  /** Takes a load that was found to be there after so long, and how often it was asked for. */
  record(ms: Millis, questions: number): void {
    const excess = this.estimateMs - DEFAULT_LOAD_MS
    if (questions <= 1)
      this.estimateMs -= Math.min(excess, MIN_DECREASE_MS + DECREASE_SHARE * excess)
    else
      this.estimateMs = Math.min(
        MAX_LOAD_MS,
        this.estimateMs + SAMPLE_WEIGHT * Math.max(0, ms - this.estimateMs),
      )
  }
}

interface ScheduledPoll {
  dueAt: Millis
  pollCount: number
  /** Whether the time until it is there tells how long loads from the weight store take. */
  readonly isMeasurable: boolean
}

/** When to ask an engine whether an adapter has arrived. */
export class LoadPollSchedule {
  private readonly polls = new Map<AdapterName, ScheduledPoll>()
  /** In the order of their last arrival. */
  private readonly copies = new Set<AdapterName>()

  constructor(private readonly estimator: LoadTimeEstimator) {}

  /** Notes that a load was accepted. */
  onLoadOrdered(adapter: AdapterName, now: Millis): void {
    const isCopy = this.copies.has(adapter)
    const ms = this.estimator.expectedMs * (isCopy ? COPY_LOAD_SHARE : 1)
    this.polls.set(adapter, { dueAt: now + ms, pollCount: 0, isMeasurable: !isCopy })
  }

  /** Notes that an adapter wasn't there: a missing copy takes as long as a load from the store. */
  onStillLoading(adapter: AdapterName, orderedAt: Millis, now: Millis): void {
    const before = this.polls.get(adapter)
    const next = now + POLL_INTERVAL_MS
    const expected = orderedAt + this.estimator.expectedMs
    const dueAt = now < expected ? Math.max(next, expected) : next
    const pollCount = (before?.pollCount ?? 0) + 1
    this.polls.set(adapter, { dueAt, pollCount, isMeasurable: before?.isMeasurable ?? true })
  }

  /** Notes a question that got no answer: when it was there can't be told from then on. */
  onPollUnanswered(adapter: AdapterName, now: Millis): void {
    this.polls.set(adapter, { dueAt: now + POLL_INTERVAL_MS, pollCount: 0, isMeasurable: false })
  }

  /** Notes that an adapter has arrived. */
  onLoaded(adapter: AdapterName, orderedAt: Millis, now: Millis): void {
    const arrival = this.polls.get(adapter)
    if (arrival?.isMeasurable === true)
      this.estimator.record(now - orderedAt, arrival.pollCount + 1)
    this.polls.delete(adapter)
    this.recordCopy(adapter)
  }

  /** Sets the next time by hand. */
  schedule(adapter: AdapterName, until: Millis): void {
    this.polls.set(adapter, { dueAt: until, pollCount: 0, isMeasurable: false })
  }

  /** Returns when to ask next; 0 for at once. */
  getDueTime(adapter: AdapterName): Millis {
    return this.polls.get(adapter)?.dueAt ?? 0
  }

  /** Notes that an engine has a copy of an adapter. */
  recordCopy(adapter: AdapterName): void {
    this.copies.delete(adapter)
    this.copies.add(adapter)
    const [oldest] = this.copies
    if (this.copies.size > MAX_COPY_COUNT && oldest !== undefined) this.copies.delete(oldest)
  }
}
