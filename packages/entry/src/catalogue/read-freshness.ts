import type { Clock, Millis, ReadConsistency } from "@galenaway/core"

/** How long stale reads may be seconds behind after the store has lost its history or was restored. */
const LAG_MS = 5000
/** Longest time that a stale read may be behind, as a share of the time in which an endpoint's leaving must take effect. */
const MAX_AGE_SHARE = 0.5

/** A revision that the store had reached at a time, as a linearizable read has shown. */
export interface StatedRevision {
  readonly revision: number
  /** Monotonic time at which the read was sent. */
  readonly at: Millis
}

/**
 * Chooses how consistent the regular reads are, and decides which stale reads are
 * recent enough. A stale read doesn't state how far it is behind; its revision
 * shows it, compared with the revisions that linearizable reads of this instance
 * or of a peer have stated lately.
 */
export class ReadFreshness {
  private readonly maxAgeMs: Millis
  private stated: StatedRevision[] = []
  private faultAt: Millis = -Infinity

  /** `drainLimitMs` is the time in which an endpoint's leaving must take effect. */
  constructor(
    private readonly clock: Clock,
    drainLimitMs: Millis,
  ) {
    this.maxAgeMs = MAX_AGE_SHARE * drainLimitMs
  }

  /** Records that the store has lost its history or was restored. */
  onFault(): void {
    this.faultAt = this.clock.now()
  }

  /** Returns the consistency of a regular read that is sent now. */
  get consistency(): ReadConsistency {
    return this.clock.now() - this.faultAt < LAG_MS ? "latest" : "stale"
  }

  /** Records a revision that a linearizable read has stated. */
  onStated(state: StatedRevision): void {
    const oldest = this.clock.now() - this.maxAgeMs
    this.stated = [...this.stated, state].filter(({ at }) => at >= oldest)
  }

  /** The newest recorded revision, or undefined if none is recent. */
  get newest(): StatedRevision | undefined {
    const oldest = this.clock.now() - this.maxAgeMs
    return this.stated
      .filter(({ at }) => at >= oldest)
      .reduce<StatedRevision | undefined>(
        (newest, state) => (newest && newest.at >= state.at ? newest : state),
        undefined,
      )
  }

  /** Returns whether a stale read that has this revision shows the store as it was within the limit. */
  isRecent(revision: number): boolean {
    const oldest = this.clock.now() - this.maxAgeMs
    return this.stated.some((state) => state.at >= oldest && state.revision <= revision)
  }
}
