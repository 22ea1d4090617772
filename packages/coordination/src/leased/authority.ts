import { type EndpointId, getEra, type Millis } from "@galenaway/core"
import type { OwnerRecord } from "./claims.js"

/**
 * Time limits of ownership, all derived from the lease length, so that two
 * owners never send orders at the same time.
 */
export interface AuthorityTimes {
  /** How long a confirmation of the records is valid, counted from when it was requested. */
  readonly confirmationValidMs: Millis
  /** The timeout after which the sender of an order aborts it. */
  readonly orderTimeoutMs: Millis
  /**
   * How long a successor waits between its claim and its first order if the previous
   * owner's process may still run.
   */
  readonly takeOverMs: Millis
}

/** The time for which a confirmation is valid, as a fraction of the lease length. */
const CONFIRMATION_SHARE = 0.6
/** The timeout of an order, as a fraction of the lease length. */
const ORDER_TIMEOUT_SHARE = 0.015

/**
 * Computes the time limits for a lease length. They ensure that the last order
 * of an owner that can't confirm its records ends before its successor's first
 * order starts.
 */
export function computeAuthorityTimes(leaseMs: Millis): AuthorityTimes {
  return {
    confirmationValidMs: leaseMs * CONFIRMATION_SHARE,
    orderTimeoutMs: Math.round(leaseMs * ORDER_TIMEOUT_SHARE),
    takeOverMs: leaseMs,
  }
}

interface OwnedEntry {
  readonly record: OwnerRecord
  /** The time from which this process may send orders. */
  readonly activeFrom: Millis
  /** The last confirmation of a record of an earlier era of the store; undefined for one of the current era. */
  readonly frozenAt?: Millis
}

/**
 * Decides whether this process may send orders to an endpoint. It may if a
 * linearizable read of the records, sent less than `confirmationValidMs` ago,
 * returned it as the owner. A suspected pause of the process ends the permission
 * at once, see {@link OrderAuthority.suspend}. When the store was restored from an
 * older copy, the records of the earlier era can't be confirmed any more: their
 * permission ends after their last confirmation unless they are claimed again.
 */
export class OrderAuthority {
  private readonly owned = new Map<EndpointId, OwnedEntry>()
  /** The time at which the latest confirmation was requested. */
  private confirmedAt: Millis = -Infinity

  constructor(readonly times: AuthorityTimes) {}

  /**
   * Adds a record that this process has written. Set `canOrderAtOnce` if no
   * other process can still send orders.
   */
  add(record: OwnerRecord, canOrderAtOnce: boolean, now: Millis): void {
    this.addFrom(record, canOrderAtOnce ? now : now + this.times.takeOverMs)
  }

  /** Adds a record that this process has written, and by which it may send orders from `activeFrom` on. */
  addFrom(record: OwnerRecord, activeFrom: Millis): void {
    this.owned.set(record.endpoint, { record, activeFrom })
  }

  /**
   * Replaces a record of an earlier era by one that this process has written again.
   * Orders go on if its last confirmation is so recent that no other instance can
   * have claimed the endpoint since and sent an order; otherwise from `settledAt`
   * on, when no permission of the earlier era is left.
   */
  renew(record: OwnerRecord, settledAt: Millis, now: Millis): void {
    const before = this.owned.get(record.endpoint)
    const { takeOverMs, confirmationValidMs } = this.times
    const isRecent =
      before?.frozenAt !== undefined && now - before.frozenAt < takeOverMs - confirmationValidMs
    this.addFrom(record, isRecent ? before.activeFrom : Math.max(now, settledAt))
  }

  /** Freezes the records of earlier eras, see {@link OrderAuthority.listFrozen}. Call it before a confirmation of a later era. */
  freezeEarlier(era: number): void {
    for (const [endpoint, entry] of this.owned)
      if (entry.frozenAt === undefined && getEra(entry.record.revision) < era)
        this.owned.set(endpoint, { ...entry, frozenAt: this.confirmedAt })
  }

  /** Lists the endpoints whose records are of an earlier era, and must be claimed again. */
  listFrozen(): readonly EndpointId[] {
    return [...this.owned].flatMap(([endpoint, { frozenAt }]) =>
      frozenAt === undefined ? [] : [endpoint],
    )
  }

  /**
   * Applies the records of a linearizable read that was sent at `sentAt`. It may
   * be older than this process's last claims. Removes the endpoints that now have
   * a newer owner, and returns them. A restored record is no newer owner.
   */
  confirm(records: ReadonlyMap<EndpointId, OwnerRecord>, sentAt: Millis): readonly EndpointId[] {
    this.confirmedAt = Math.max(this.confirmedAt, sentAt)
    const lost = [...this.owned].filter(([endpoint, { record }]) =>
      isNewer(records.get(endpoint), record),
    )
    for (const [endpoint] of lost) this.owned.delete(endpoint)
    return lost.map(([endpoint]) => endpoint)
  }

  /**
   * Applies the records of another instance's linearizable read, sent at
   * `sentAt` or later, as {@link OrderAuthority.confirm} does. Ignores them all
   * and returns false if the record of an owned endpoint is missing or older than
   * this process's own record.
   */
  confirmByPeer(records: ReadonlyMap<EndpointId, OwnerRecord>, sentAt: Millis): boolean {
    const isOutdated = [...this.owned].some(([endpoint, { record, frozenAt }]) => {
      const peerRecord = records.get(endpoint)
      if (frozenAt !== undefined) return false
      return peerRecord === undefined || peerRecord.revision < record.revision
    })
    if (isOutdated) return false
    this.confirm(records, sentAt)
    return true
  }

  /**
   * Confirms the records during an outage of the store, with the last known
   * records of all other instances, requested at `requestedAt`. Call it only if
   * none of them can reach the store either. That is safe because an instance
   * that claims an endpoint later waits `takeOverMs` before its first order.
   * Returns false, without confirming, if one of them has a newer owner's record.
   */
  confirmInOutage(
    peerRecords: readonly ReadonlyMap<EndpointId, OwnerRecord>[],
    requestedAt: Millis,
  ): boolean {
    const hasNewer = [...this.owned].some(([endpoint, { record }]) =>
      peerRecords.some((records) => isNewer(records.get(endpoint), record)),
    )
    if (!hasNewer) this.confirmedAt = Math.max(this.confirmedAt, requestedAt)
    return !hasNewer
  }

  /**
   * Permits no orders until the records are confirmed again. Call it when the
   * process may have been paused.
   */
  suspend(): void {
    this.confirmedAt = -Infinity
    for (const [endpoint, entry] of this.owned)
      if (entry.frozenAt !== undefined) this.owned.set(endpoint, { ...entry, frozenAt: -Infinity })
  }

  /** Removes an endpoint that this process no longer owns. */
  remove(endpoint: EndpointId): void {
    this.owned.delete(endpoint)
  }

  /** Returns the fencing token for an order sent now, undefined if no order may be sent. */
  getToken(endpoint: EndpointId, now: Millis): number | undefined {
    const entry = this.owned.get(endpoint)
    if (!entry || now < entry.activeFrom) return undefined
    return now - (entry.frozenAt ?? this.confirmedAt) < this.times.confirmationValidMs
      ? entry.record.revision
      : undefined
  }

  /**
   * Lists the endpoints that this process owns, including those to which it may
   * not send orders yet.
   */
  listEndpoints(): readonly EndpointId[] {
    return [...this.owned.keys()]
  }

  /** Returns whether this process has had permission to send orders to an endpoint, so that it can hand the endpoint over at once. */
  isActive(endpoint: EndpointId, now: Millis): boolean {
    return now >= (this.owned.get(endpoint)?.activeFrom ?? Infinity)
  }

  /** Returns the time from which this process may send orders to an endpoint that it owns, Infinity if it doesn't own it. */
  getActiveFrom(endpoint: EndpointId): Millis {
    return this.owned.get(endpoint)?.activeFrom ?? Infinity
  }

  /** Returns the record by which this process owns an endpoint, undefined if it doesn't. */
  getRecord(endpoint: EndpointId): OwnerRecord | undefined {
    return this.owned.get(endpoint)?.record
  }
}

function isNewer(read: OwnerRecord | undefined, { revision }: OwnerRecord): boolean {
  return read !== undefined && !read.isRestored && read.revision > revision
}
