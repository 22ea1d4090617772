import type { Millis } from "@galenaway/core"

/** The fleet's limit of repeated sends to one service: a share of its requests in a window, and a fixed number. */
export interface RetryLimits {
  readonly share: number
  readonly fixed: number
  readonly windowMs: Millis
}

/** Buckets of a window; a window then ends at most a tenth late, never early. */
const BUCKETS = 10
/** What is left to differences between the instances' windows and the fleet's. */
const SAFETY = 0.7

interface Counts {
  requests: number
  repeats: number
}

/**
 * One instance's part of the fleet's retry limit for one service. The share
 * counts its own requests; the fixed part is divided by the instances, so the
 * sum over the fleet stays below the limit without any message.
 */
export class RetryAllowance {
  private readonly buckets = new Map<number, Counts>()
  private readonly bucketMs: number

  constructor(private readonly limits: RetryLimits) {
    this.bucketMs = limits.windowMs / BUCKETS
  }

  /** Counts a new request. */
  onRequest(now: Millis): void {
    this.getBucket(now).requests++
  }

  /** Takes one repeated send. Returns false, and takes nothing, when none is left. */
  take(now: Millis, instances: number): boolean {
    const { requests, repeats } = this.countWindow(now)
    const own = (this.limits.fixed * SAFETY) / Math.max(1, instances)
    if (repeats + 1 > this.limits.share * SAFETY * requests + own) return false
    this.getBucket(now).repeats++
    return true
  }

  private countWindow(now: Millis): Counts {
    const oldest = Math.floor(now / this.bucketMs) - BUCKETS
    const sum = { requests: 0, repeats: 0 }
    for (const [index, counts] of this.buckets) {
      if (index < oldest) {
        this.buckets.delete(index)
        continue
      }
      // Requests of the oldest bucket may lie outside the window, repeats there still count.
      if (index > oldest) sum.requests += counts.requests
      sum.repeats += counts.repeats
    }
    return sum
  }

  private getBucket(now: Millis): Counts {
    const index = Math.floor(now / this.bucketMs)
    let bucket = this.buckets.get(index)
    if (!bucket) {
      bucket = { requests: 0, repeats: 0 }
      this.buckets.set(index, bucket)
    }
    return bucket
  }
}
