import type { InstanceId, Millis } from "@galenaway/core"

interface PublishedList {
  readonly instances: readonly InstanceId[]
  readonly at: Millis
}

/** What an owner published is used for this time. Owners send updates more often. */
const PUBLISHED_LIFETIME_MS = 3000

/**
 * Which instances report that they are slow. Each instance reports to the owners of
 * engines, and each owner publishes the list of its followers that are slow.
 */
export class SlowInstances {
  /** Whether each follower is slow, as it has reported. */
  private readonly followers = new Map<InstanceId, boolean>()
  private readonly published = new Map<InstanceId, PublishedList>()

  /** Records what a follower reports. */
  onReport(follower: InstanceId, isSlow: boolean): void {
    this.followers.set(follower, isSlow)
  }

  /** Removes a follower whose connection has ended. */
  removeFollower(follower: InstanceId): void {
    this.followers.delete(follower)
  }

  /** Records what an owner publishes. */
  onPublished(owner: InstanceId, instances: readonly InstanceId[], now: Millis): void {
    this.published.set(owner, { instances, at: now })
  }

  /** Lists the followers that are slow. */
  listFollowers(): readonly InstanceId[] {
    return [...this.followers].flatMap(([follower, isSlow]) => (isSlow ? [follower] : []))
  }

  /** Lists all instances that are known to be slow; undefined if no instance has reported anything recently. */
  listAll(now: Millis): ReadonlySet<InstanceId> | undefined {
    for (const [owner, { at }] of this.published)
      if (now - at >= PUBLISHED_LIFETIME_MS) this.published.delete(owner)
    if (this.published.size === 0 && this.followers.size === 0) return undefined
    const lists = [...this.published.values()].map(({ instances }) => instances)
    return new Set([...this.listFollowers(), ...lists.flat()])
  }
}
