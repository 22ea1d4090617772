import type { EndpointId, Millis } from "@galenaway/core"
import type { OwnerRecord } from "./claims.js"

/** The times that ownership rests on, all derived from the time within which two owners must not both order. */
export interface AuthorityTimes {
  /** How long a confirmation of the records counts, from the moment it was asked for. */
  readonly confirmationValidMs: Millis
  /** How long an order may be on its way before its sender gives it up. */
  readonly orderTimeoutMs: Millis
  /** How long a successor waits after its claim when the owner before may be alive. */
  readonly takeOverMs: Millis
}

const CONFIRMATION_SHARE = 0.6
const ORDER_TIMEOUT_SHARE = 0.015

/** Derives the times from the lease's length. The last order of an owner that can't confirm its records has ended before a successor's first. */
export function computeAuthorityTimes(leaseMs: Millis): AuthorityTimes {
  return {
    confirmationValidMs: leaseMs * CONFIRMATION_SHARE,
    orderTimeoutMs: Math.round(leaseMs * ORDER_TIMEOUT_SHARE),
    takeOverMs: leaseMs,
  }
}

interface OwnedEntry {
  readonly record: OwnerRecord
  readonly activeFrom: Millis
}

/**
 * Tells whether this process may give an endpoint orders. It may while a
 * linearizable read of the records, sent at most `confirmedMs` ago, showed it
 * as the owner; a pause of the process ends that at once.
 */
export class OrderAuthority {
  private readonly owned = new Map<EndpointId, OwnedEntry>()
  private confirmedAt: Millis = -Infinity

  constructor(readonly times: AuthorityTimes) {}

  /** Takes a record that this process has written. `canOrderAtOnce` where no other process can still order. */
  add(record: OwnerRecord, canOrderAtOnce: boolean, now: Millis): void {
    const activeFrom = canOrderAtOnce ? now : now + this.times.takeOverMs
    this.owned.set(record.endpoint, { record, activeFrom })
  }

  /** Takes the records of a linearizable read that was sent at `sentAt`; it may be older than this process's last claims. Returns the endpoints that were lost. */
  confirm(records: ReadonlyMap<EndpointId, OwnerRecord>, sentAt: Millis): readonly EndpointId[] {
    this.confirmedAt = Math.max(this.confirmedAt, sentAt)
    const lost = [...this.owned].filter(
      ([endpoint, { record }]) => (records.get(endpoint)?.revision ?? 0) > record.revision,
    )
    for (const [endpoint] of lost) this.owned.delete(endpoint)
    return lost.map(([endpoint]) => endpoint)
  }

  /**
   * Takes the records of another instance's linearizable read, sent at
   * `sentAt` or later. Records that are older than this process's own say
   * nothing and are left out; the result is false then.
   */
  confirmByPeer(records: ReadonlyMap<EndpointId, OwnerRecord>, sentAt: Millis): boolean {
    const isOld = [...this.owned].some(([endpoint, { record }]) => {
      const told = records.get(endpoint)
      return told === undefined || told.revision < record.revision
    })
    if (isOld) return false
    this.confirm(records, sentAt)
    return true
  }

  /**
   * Takes the word of all other instances that they can't reach the store
   * either, asked for at `askedAt`. What a claimant of them may write later it
   * can use only after `takeOverMs`. Returns false, and takes nothing, when one
   * of them knows of a newer owner.
   */
  confirmInOutage(told: readonly ReadonlyMap<EndpointId, OwnerRecord>[], askedAt: Millis): boolean {
    const hasNewer = [...this.owned].some(([endpoint, { record }]) =>
      told.some((records) => (records.get(endpoint)?.revision ?? 0) > record.revision),
    )
    if (!hasNewer) this.confirmedAt = Math.max(this.confirmedAt, askedAt)
    return !hasNewer
  }

  /** Withdraws all permissions until the records are confirmed again, since the process may have stood still. */
  suspend(): void {
    this.confirmedAt = -Infinity
  }

  /** Gives an endpoint up. */
  remove(endpoint: EndpointId): void {
    this.owned.delete(endpoint)
  }

  /** Returns the fencing token under which an order may be given now, or undefined when none may be. */
  getToken(endpoint: EndpointId, now: Millis): number | undefined {
    const holding = this.owned.get(endpoint)
    if (!holding || now < holding.activeFrom) return undefined
    return now - this.confirmedAt < this.times.confirmationValidMs
      ? holding.record.revision
      : undefined
  }

  /** Lists the endpoints that this process owns, with those that it may not order yet. */
  listEndpoints(): readonly EndpointId[] {
    return [...this.owned.keys()]
  }

  /** Returns the record under which this process owns an endpoint. */
  getRecord(endpoint: EndpointId): OwnerRecord | undefined {
    return this.owned.get(endpoint)?.record
  }
}
