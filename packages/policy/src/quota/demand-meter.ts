import type { Millis } from "@galenaway/core"

/** Time after which a request has lost most of its weight in the estimate. */
const TIME_CONSTANT_MS = 1000

/** Estimates the demand of an account at one instance: an average with exponentially falling weights. */
export class DemandMeter {
  private unitsPerMs = 0
  private requestsPerMs = 0
  private updatedAt: Millis = -Infinity

  /** Records a request, whether it is granted or refused. */
  record(cost: number, now: Millis): void {
    this.decay(now)
    this.unitsPerMs += cost / TIME_CONSTANT_MS
    this.requestsPerMs += 1 / TIME_CONSTANT_MS
  }

  /** Returns the estimated units per ms. */
  getRate(now: Millis): number {
    this.decay(now)
    return this.unitsPerMs
  }

  /** Returns the mean cost of the recent requests, 0 without any. */
  getMeanCost(): number {
    return this.requestsPerMs > 0 ? this.unitsPerMs / this.requestsPerMs : 0
  }

  /** Returns the mean time between the recent requests, Infinity without any. */
  getMeanIntervalMs(): Millis {
    return 1 / this.requestsPerMs
  }

  private decay(now: Millis): void {
    if (now <= this.updatedAt) return
    const factor = Math.exp(-(now - this.updatedAt) / TIME_CONSTANT_MS)
    this.unitsPerMs *= factor
    this.requestsPerMs *= factor
    this.updatedAt = now
  }
}
