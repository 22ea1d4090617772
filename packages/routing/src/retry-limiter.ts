import type { Millis } from "@galenaway/core"

/** The fleet's limit of repeated sends to one service: a share of its requests in a window, and a fixed number. */
export interface RetryLimits {
  readonly share: number
  readonly fixed: number
  readonly windowMs: Millis
}

/** Buckets of a window; a window then ends at most a tenth late, never early. */
const BUCKET_COUNT = 10
/** What is left to differences between the instances' windows and the fleet's. */
const SAFETY_SHARE = 0.7

interface RequestCounts {
  requests: number
  retries: number
}

/**
 * One instance's part of the fleet's retry limit for one service. The share
 * counts its own requests; the fixed part is divided by the instances, so the
 * sum over the fleet stays below the limit without any message.
 */
export class RetryLimiter {
  private readonly buckets = new Map<number, RequestCounts>()
  private readonly bucketMs: number

  constructor(private readonly limits: RetryLimits) {
    this.bucketMs = limits.windowMs / BUCKET_COUNT
  }

  /** Counts a new request. */
  recordRequest(now: Millis): void {
    this.getBucket(now).requests++
  }

  /** Takes one repeated send. Returns false, and takes nothing, when none is left. */
  acquire(now: Millis, instances: number): boolean {
    const { requests, retries } = this.countWindow(now)
    const own = (this.limits.fixed * SAFETY_SHARE) / Math.max(1, instances)
    if (retries + 1 > this.limits.share * SAFETY_SHARE * requests + own) return false
    this.getBucket(now).retries++
    return true
  }

  private countWindow(now: Millis): RequestCounts {
    const oldest = Math.floor(now / this.bucketMs) - BUCKET_COUNT
    const sum = { requests: 0, retries: 0 }
    for (const [index, counts] of this.buckets) {
      if (index < oldest) {
        this.buckets.delete(index)
        continue
      }
      // Requests of the oldest bucket may lie outside the window, repeats there still count.
      if (index > oldest) sum.requests += counts.requests
      sum.retries += counts.retries
    }
    return sum
  }

  private getBucket(now: Millis): RequestCounts {
    const index = Math.floor(now / this.bucketMs)
    let bucket = this.buckets.get(index)
    if (!bucket) {
      bucket = { requests: 0, retries: 0 }
      this.buckets.set(index, bucket)
    }
    return bucket
  }
}
