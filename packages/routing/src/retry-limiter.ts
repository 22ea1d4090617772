import type { Millis } from "@galenaway/core"

/** The fleet's limit of retries to one service within a window: a share of the requests plus a fixed number. */
export interface RetryLimits {
  readonly share: number
  readonly fixed: number
  readonly windowMs: Millis
}

/** Buckets of a window. A retry leaves the window at most one bucket late, never early. */
const BUCKET_COUNT = 10
/** Part of the limit that is used. The rest allows for differences between the instances' windows and the fleet's. */
const SAFETY_SHARE = 0.7

interface RequestCounts {
  requests: number
  retries: number
}

/**
 * Enforces one instance's part of the fleet's retry limit for one service. The
 * share applies to this instance's requests and the fixed number is divided by
 * the number of instances, so the sum over the fleet stays below the limit
 * without messages between instances.
 */
export class RetryLimiter {
  private readonly buckets = new Map<number, RequestCounts>()
  private readonly bucketMs: number

  constructor(private readonly limits: RetryLimits) {
    this.bucketMs = limits.windowMs / BUCKET_COUNT
  }

  /** Records a new request. */
  recordRequest(now: Millis): void {
    this.getBucket(now).requests++
  }

  /** Takes one retry. Returns false and changes nothing when none is left. `instances` is the size of the fleet. */
  acquire(now: Millis, instances: number): boolean {
    const { requests, retries } = this.countWindow(now)
    const fixedPart = (this.limits.fixed * SAFETY_SHARE) / Math.max(1, instances)
    if (retries + 1 > this.limits.share * SAFETY_SHARE * requests + fixedPart) return false
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
      // The oldest bucket lies only partly in the window: its retries count, its requests don't.
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
