import type { InstanceId, Millis } from "@galenaway/core"

interface HolderRequests {
  /** Requests that the instance last reported as running. */
  readonly reported: number
  /** Requests that it was granted since. */
  readonly granted: number
  /** Time of the last grant or report. */
  readonly updatedAt: Millis
}

/** The requests of an instance that is silent for this time aren't counted: it may be gone. */
const SILENCE_LIMIT_MS = 5000

/** Counts the requests that run on one engine, from the grants and from the reports of the instances that hold them. */
export class RunningRequests {
  private readonly holders = new Map<InstanceId, HolderRequests>()

  /** Counts the requests that run, as far as reported. */
  count(now: Millis): number {
    let count = 0
    for (const { reported, granted, updatedAt } of this.holders.values())
      if (now - updatedAt < SILENCE_LIMIT_MS) count += reported + granted
    return count
  }

  /** Records that an instance may send a request. */
  onGranted(holder: InstanceId, now: Millis): void {
    const { reported, granted } = this.holders.get(holder) ?? { reported: 0, granted: 0 }
    this.holders.set(holder, { reported, granted: granted + 1, updatedAt: now })
  }

  /** Replaces what is known of an instance by the number of requests that it has on the engine. */
  onReported(holder: InstanceId, count: number, now: Millis): void {
    this.holders.set(holder, { reported: count, granted: 0, updatedAt: now })
  }

  /** Removes the requests of an instance that has left the fleet. */
  removeHolder(holder: InstanceId): void {
    this.holders.delete(holder)
  }
}
