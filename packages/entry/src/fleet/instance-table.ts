import type { LiveInstance, OwnerRecord } from "@galenaway/coordination"
import type { Clock, InstanceId, Millis } from "@galenaway/core"
import type { RegisteredInstance } from "./records.js"

/** An instance whose registration is missing for this time is considered gone. */
const MISSING_TIMEOUT_MS = 350

/** The instances as the last read of the store listed them, and what is known of those that are missing. */
export class InstanceTable {
  private listed: ReadonlyMap<InstanceId, RegisteredInstance> = new Map()
  /** The last known registration of each instance, including those that are missing now. */
  private readonly lastListed = new Map<InstanceId, RegisteredInstance>()
  private readonly seenAt = new Map<InstanceId, Millis>()

  constructor(
    private readonly self: RegisteredInstance,
    private readonly clock: Clock,
    /** Returns whether an instance has recently sent a message to this one. */
    private readonly isAlive: (id: InstanceId) => boolean,
  ) {}

  /** The instances that the last read listed. */
  get all(): ReadonlyMap<InstanceId, RegisteredInstance> {
    return this.listed
  }

  /** Replaces the instances by those of a read. */
  replace(instances: ReadonlyMap<InstanceId, RegisteredInstance>): void {
    this.listed = instances
    for (const [id, instance] of instances) this.lastListed.set(id, instance)
  }

  /** Finds an instance that is listed, or that isn't listed but still sends messages. */
  find(id: InstanceId): RegisteredInstance | undefined {
    return this.listed.get(id) ?? (this.isAlive(id) ? this.lastListed.get(id) : undefined)
  }

  /** Lists the other instances, with `hasLost` also those that were listed at any time, since the store may have lost their registrations. */
  listOthers(hasLost: boolean): readonly InstanceId[] {
    const ids = hasLost ? this.lastListed.keys() : this.listed.keys()
    return [...ids].filter((id) => id !== this.self.id)
  }

  /** Lists the instances that are listed, that own an engine by these records and were listed until recently, or that still send messages. */
  listLive(records: Iterable<OwnerRecord>): readonly LiveInstance[] {
    const now = this.clock.now()
    for (const id of this.listed.keys()) this.seenAt.set(id, now)
    this.seenAt.set(this.self.id, now)
    const missing = [...records].flatMap((record) => this.findMissing(record, now) ?? [])
    // This process is live even if its registration isn't listed yet or is still that of an earlier process.
    const others = [...this.listed.values()].filter(({ id }) => id !== this.self.id)
    return [this.self, ...others, ...missing]
  }

  /** Finds the owner of a record that isn't listed but counts as live. */
  private findMissing({ owner, incarnation }: OwnerRecord, now: Millis): LiveInstance | undefined {
    if (this.listed.has(owner) || owner === this.self.id) return undefined
    const instance = this.find(owner)
    if (instance) return instance
    const seenAt = this.seenAt.get(owner) ?? now
    this.seenAt.set(owner, seenAt)
    const isRecent = now - seenAt < MISSING_TIMEOUT_MS
    return isRecent ? { id: owner, incarnation, dataCentre: "", isStopping: false } : undefined
  }
}
