import type { InstanceId, Millis } from "@galenaway/core"
import type { PartId } from "@galenaway/routing"

interface PeerList {
  readonly parts: Set<PartId>
  readonly until: Millis
}

/** The last list counts for this time. Peers send theirs more than once a second. */
const LIFETIME_MS = 1500

/** The request parts that other instances suspect. */
export class PeerSuspects {
  private readonly lists = new Map<InstanceId, PeerList>()

  /** Replaces the suspects of a peer. */
  set(peer: InstanceId, parts: readonly PartId[], now: Millis): void {
    if (parts.length === 0) this.lists.delete(peer)
    else this.lists.set(peer, { parts: new Set(parts), until: now + LIFETIME_MS })
  }

  /** Returns whether a peer suspects a part. */
  has(part: PartId, now: Millis): boolean {
    return [...this.lists.values()].some(({ parts, until }) => until > now && parts.has(part))
  }

  /** Removes a part from the lists of all peers. */
  remove(part: PartId): void {
    for (const { parts } of this.lists.values()) parts.delete(part)
  }
}
