import type { Clock, Millis, ReadConsistency } from "@galenaway/core"

/** How long stale reads may be seconds behind after the store has lost its history or was restored. */
const LAG_MS = 5000

/** Chooses how consistent the regular reads are: stale ones are cheaper, but for a while after a fault they can be seconds behind. */
export class ReadFreshness {
  private faultAt: Millis = -Infinity

  constructor(private readonly clock: Clock) {}

  /** Records that the store has lost its history or was restored. */
  onFault(): void {
    this.faultAt = this.clock.now()
  }

  /** Returns the consistency of a regular read that is sent now. */
  get consistency(): ReadConsistency {
    return this.clock.now() - this.faultAt < LAG_MS ? "latest" : "stale"
  }
}
