import type { AdapterName, Millis } from "@galenaway/core"

/** Duration of a load from the weight store while few loads are in progress. */
export const DEFAULT_LOAD_MS = 255
const MAX_LOAD_MS = 2000
/** Engines accept no more concurrent loads than this. */
const MAX_LOAD_COUNT = 4
const MIN_LOAD_COUNT = 2
/** Ratios of the estimated to the default load time: above the first, one load fewer runs concurrently; above the second, only the minimum number. */
const FULL_CONCURRENCY_RATIO = 1.06
const REDUCED_CONCURRENCY_RATIO = 1.25
/** Load time from an engine's local copy of an adapter, as a share of the time from the weight store. */
const COPY_LOAD_SHARE = 0.105
const POLL_INTERVAL_MS = 15
/** Weight of one load in the moving average. */
const SAMPLE_WEIGHT = 0.25
/** If the first poll finds the adapter loaded, the actual load time may be shorter, so the estimate decreases by this much plus a share of its excess over the default. */
const MIN_DECREASE_MS = 1
const DECREASE_SHARE = 0.04
/** Number of most recently loaded adapters of which an engine is expected to have a local copy. */
const MAX_COPY_COUNT = 60

/**
 * Estimates the current duration of a load from the weight store as a moving
 * average over the loads of all engines of an owner.
 */
export class LoadTimeEstimator {
  private estimateMs: Millis = DEFAULT_LOAD_MS

  /** The estimated duration of a load, in ms. */
  get expectedMs(): Millis {
    return this.estimateMs
  }

  /** Maximum number of loads that an engine should run concurrently. It decreases when the weight store is overloaded and loads take longer. */
  get maxConcurrentLoads(): number {
    const ratio = this.estimateMs / DEFAULT_LOAD_MS
    if (ratio <= FULL_CONCURRENCY_RATIO) return MAX_LOAD_COUNT
    return ratio <= REDUCED_CONCURRENCY_RATIO ? MAX_LOAD_COUNT - 1 : MIN_LOAD_COUNT
  }

  /** Records a finished load: the time from the order until a poll found it finished, and the number of polls. */
  record(ms: Millis, pollCount: number): void {
    const excess = this.estimateMs - DEFAULT_LOAD_MS
    if (pollCount <= 1)
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
  /** Whether the time until the load is finished is a valid sample for the estimator. */
  readonly isMeasurable: boolean
}

/** Schedules the polls that check whether an engine has finished its loads and unloads of adapters. */
export class LoadPollSchedule {
  private readonly polls = new Map<AdapterName, ScheduledPoll>()
  /** Adapters of which the engine is expected to have a local copy, least recently loaded first. */
  private readonly copies = new Set<AdapterName>()

  constructor(private readonly estimator: LoadTimeEstimator) {}

  /** Schedules the first poll of a load that the engine has accepted. */
  onLoadOrdered(adapter: AdapterName, now: Millis): void {
    const isCopy = this.copies.has(adapter)
    const ms = this.estimator.expectedMs * (isCopy ? COPY_LOAD_SHARE : 1)
    this.polls.set(adapter, { dueAt: now + ms, pollCount: 0, isMeasurable: !isCopy })
  }

  /** Schedules the next poll of an adapter that is still loading, not before its estimated time from the weight store: a load from a local copy would have finished. */
  onStillLoading(adapter: AdapterName, orderedAt: Millis, now: Millis): void {
    const previous = this.polls.get(adapter)
    const nextAt = now + POLL_INTERVAL_MS
    const expectedAt = orderedAt + this.estimator.expectedMs
    const dueAt = now < expectedAt ? Math.max(nextAt, expectedAt) : nextAt
    const pollCount = (previous?.pollCount ?? 0) + 1
    this.polls.set(adapter, { dueAt, pollCount, isMeasurable: previous?.isMeasurable ?? true })
  }

  /** Schedules the next poll after one without an answer. The time of this load is not recorded. */
  onPollUnanswered(adapter: AdapterName, now: Millis): void {
    this.polls.set(adapter, { dueAt: now + POLL_INTERVAL_MS, pollCount: 0, isMeasurable: false })
  }

  /** Records that an adapter is loaded, and ends its polls. */
  onLoaded(adapter: AdapterName, orderedAt: Millis, now: Millis): void {
    const poll = this.polls.get(adapter)
    if (poll?.isMeasurable === true) this.estimator.record(now - orderedAt, poll.pollCount + 1)
    this.polls.delete(adapter)
    this.recordCopy(adapter)
  }

  /** Schedules the next poll at a given time, for example of an unload. No load time is recorded for it. */
  schedule(adapter: AdapterName, dueAt: Millis): void {
    this.polls.set(adapter, { dueAt, pollCount: 0, isMeasurable: false })
  }

  /** Returns the time of the next poll; 0 if it is due immediately. */
  getDueTime(adapter: AdapterName): Millis {
    return this.polls.get(adapter)?.dueAt ?? 0
  }

  /** Records that an engine has a local copy of an adapter. */
  recordCopy(adapter: AdapterName): void {
    this.copies.delete(adapter)
    this.copies.add(adapter)
    const [oldest] = this.copies
    if (this.copies.size > MAX_COPY_COUNT && oldest !== undefined) this.copies.delete(oldest)
  }
}
