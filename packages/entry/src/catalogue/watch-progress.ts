import { type Clock, getEra, type Millis } from "@galenaway/core"

/** Time without news of the store after which a watch is renewed, as a share of the time in which a configuration must be in force. */
const SILENCE_SHARE = 0.75
/** Time after which a watch is renewed that hasn't returned a change that a peer knows. */
const MISSED_CHANGE_MS = 200

/** Which changes of the operators' items an instance has. */
export interface WatchState {
  /** All changes up to this revision are known. */
  readonly revision: number
  /** The revision of the last of these changes. */
  readonly lastChange: number
  /** Monotonic time at which the store had the revision, or later. */
  readonly at: Millis
}

/**
 * Tracks which changes of the operators' items this instance has, and when that was
 * last confirmed by the store, to this instance or to a peer. A watch that waits
 * receives nothing while nothing changes, so a connection that has gone silent looks
 * the same; the time since the last confirmation limits how long it may have been.
 */
export class WatchProgress {
  private known: WatchState | undefined
  /** A change that a peer knows and this instance doesn't, and when that was found. */
  private missed: { readonly change: number; readonly since: Millis } | undefined

  constructor(
    private readonly clock: Clock,
    /** Time in which a configuration must be in force. */
    private readonly limitMs: Millis,
  ) {}

  /** What is known, or undefined before the first read of the items and after a gap. */
  get state(): WatchState | undefined {
    return this.known
  }

  /** Records an answer of the store: all changes up to `revision` are known, `changes` among them. */
  onAnswer(revision: number, changes: readonly number[], at: Millis): void {
    const { known, missed } = this
    this.known = {
      revision: Math.max(revision, known?.revision ?? 0),
      lastChange: changes.reduce((last, change) => Math.max(last, change), known?.lastChange ?? 0),
      at: Math.max(at, known?.at ?? -Infinity),
    }
    if (missed && this.known.revision >= missed.change) this.missed = undefined
  }

  /** Records that the changes after the known revision can't be watched any more. */
  onGap(): void {
    this.known = undefined
    this.missed = undefined
  }

  /** Records what a peer knows. If this instance lacks none of its changes, the peer's confirmation is as valid as its own. */
  onPeer(peer: WatchState): void {
    const { known } = this
    if (!known || getEra(peer.revision) < getEra(known.revision)) return
    if (known.revision < peer.lastChange) {
      if (this.missed === undefined || this.missed.change < peer.lastChange)
        this.missed = { change: peer.lastChange, since: this.missed?.since ?? this.clock.now() }
      return
    }
    this.onAnswer(peer.revision, [], peer.at)
  }

  /** Whether a peer knows a change that this instance lacks. */
  get isBehind(): boolean {
    return this.missed !== undefined
  }

  /** Returns whether a watch that was sent at `sentAt` has to be renewed: a change is missing, or nothing shows that its connection still works. */
  isOverdue(sentAt: Millis): boolean {
    const now = this.clock.now()
    const { known, missed } = this
    if (missed && now - Math.max(missed.since, sentAt) >= MISSED_CHANGE_MS) return true
    return now - Math.max(known?.at ?? -Infinity, sentAt) >= SILENCE_SHARE * this.limitMs
  }
}
