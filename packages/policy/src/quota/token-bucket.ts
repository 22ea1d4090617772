import type { Millis } from "@galenaway/core"

/** Units that were taken and may be put back. */
export interface TakenUnits {
  readonly units: number
  /** The bucket's total of additions at which the units begin to overflow. */
  readonly overflowsAt: number
}

/**
 * A token bucket in monotonic time. The units that are taken in any window are at
 * most its capacity plus what was added in the window. Units that are put back
 * keep this limit: those that would have overflowed in the meantime are dropped.
 */
export class TokenBucket {
  /** All that was added, including what overflowed. */
  private addedTotal = 0
  private ratePerMs = 0
  private capacityUnits = 0
  /** Units before the additions since the last `trim`; undefined without any. */
  private unitsBefore: number | undefined

  constructor(
    private units: number,
    private updatedAt: Millis,
  ) {}

  /** Units that the bucket holds at most. */
  get capacity(): number {
    return this.capacityUnits
  }

  /** Changes the rate and the capacity. Units above the capacity are removed and returned. */
  setLimits(ratePerMs: number, capacity: number, now: Millis): number {
    this.refill(now)
    const reduction = Math.max(0, this.capacityUnits - capacity)
    // Units that would now overflow can't be put back either.
    this.addedTotal += reduction
    this.ratePerMs = ratePerMs
    this.capacityUnits = capacity
    return this.trim()
  }

  /** Returns the number of units in the bucket. */
  count(now: Millis): number {
    this.refill(now)
    return this.units
  }

  /** Takes units. Returns undefined and takes nothing if there are fewer. */
  take(units: number, now: Millis): TakenUnits | undefined {
    this.refill(now)
    if (this.units < units) return undefined
    const overflowsAt = this.addedTotal + this.capacityUnits - this.units
    this.units -= units
    return { units, overflowsAt }
  }

  /** Adds units that another bucket has lost. The bucket may hold more than its capacity until `trim`, which must follow without a pause. */
  add(units: number, now: Millis): void {
    this.refill(now)
    this.unitsBefore ??= this.units
    this.units += units
  }

  /** Removes the units above the capacity and returns their number. */
  trim(): number {
    const surplus = Math.max(0, this.units - this.capacityUnits)
    this.units -= surplus
    // Added units that were taken at once leave no less room for those that are put back.
    if (this.unitsBefore !== undefined)
      this.addedTotal += Math.max(0, this.units - this.unitsBefore)
    this.unitsBefore = undefined
    return surplus
  }

  /** Puts units back that were taken from this bucket. Returns how many it accepted. */
  putBack({ units, overflowsAt }: TakenUnits, now: Millis): number {
    this.refill(now)
    const overflow = Math.max(0, this.addedTotal - overflowsAt)
    const room = Math.max(0, this.capacityUnits - this.units)
    const accepted = Math.max(0, Math.min(units - overflow, room))
    this.units += accepted
    this.addedTotal += accepted
    return accepted
  }

  /** Removes all units and stops the refill. */
  clear(now: Millis): void {
    this.setLimits(0, 0, now)
  }

  /** Computes the time until the bucket has a number of units, Infinity if it never has. */
  computeWaitMs(units: number, now: Millis): Millis {
    this.refill(now)
    if (this.units >= units) return 0
    if (units > this.capacityUnits || this.ratePerMs <= 0) return Infinity
    return (units - this.units) / this.ratePerMs
  }

  private refill(now: Millis): void {
    const elapsedMs = now - this.updatedAt
    if (elapsedMs <= 0) return
    this.updatedAt = now
    const added = this.ratePerMs * elapsedMs
    this.addedTotal += added
    if (this.units < this.capacityUnits)
      this.units = Math.min(this.capacityUnits, this.units + added)
  }
}
