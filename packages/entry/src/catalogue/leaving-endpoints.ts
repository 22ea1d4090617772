import type { EndpointId, Millis, Registration } from "@galenaway/core"

/** One run of an endpoint's process, from its start to its end. */
export type EndpointLifetime = Pick<Registration, "id" | "startedAt">

interface LeavingRecord {
  startedAt: number | undefined
  readonly addedAt: Millis
  /** Time since which the endpoint isn't registered. Undefined while it is. */
  unlistedAt: Millis | undefined
}

/**
 * Time for which a leaving endpoint is kept in the table after it was removed. It
 * is longer than endpoints take to leave, since the registration of one that
 * couldn't renew it in an outage of the store comes back afterwards.
 */
const RETENTION_MS = 600_000

/** The lifetimes of endpoints that are known to be leaving. A lifetime that leaves never becomes live again. */
export class LeavingEndpoints {
  private readonly records = new Map<EndpointId, LeavingRecord>()

  /** Records that a lifetime is leaving. Returns false if this or a later lifetime of the endpoint was recorded before. */
  add({ id, startedAt }: EndpointLifetime, now: Millis): boolean {
    const known = this.records.get(id)
    if (known && !isLaterStart(startedAt, known.startedAt)) return false
    this.records.set(id, { startedAt, addedAt: now, unlistedAt: undefined })
    return true
  }

  /** Returns whether a lifetime is leaving. One whose start isn't known is the recorded one. */
  has({ id, startedAt }: EndpointLifetime): boolean {
    const known = this.records.get(id)
    return known !== undefined && !isLaterStart(startedAt, known.startedAt)
  }

  /** Lists the lifetimes that were recorded at `since` or later and are still registered. */
  listSince(since: Millis): readonly EndpointLifetime[] {
    return [...this.records].flatMap(([id, { startedAt, addedAt, unlistedAt }]) => {
      if (unlistedAt !== undefined || addedAt < since) return []
      return [startedAt === undefined ? { id } : { id, startedAt }]
    })
  }

  /** Updates the table after a read of all registrations: removes endpoints that have started again, and those that were removed long ago. */
  update(findListed: (id: EndpointId) => EndpointLifetime | undefined, now: Millis): void {
    for (const [id, record] of this.records) {
      const listed = findListed(id)
      if (listed) updateListed(record, listed)
      else record.unlistedAt ??= now
      const hasRestarted = listed !== undefined && isLaterStart(listed.startedAt, record.startedAt)
      if (hasRestarted || isExpired(record, now)) this.records.delete(id)
    }
  }
}

/** Returns whether a start is known to be later than another one. */
export function isLaterStart(startedAt: number | undefined, than: number | undefined): boolean {
  return startedAt !== undefined && than !== undefined && startedAt > than
}

function updateListed(record: LeavingRecord, { startedAt }: EndpointLifetime): void {
  record.unlistedAt = undefined
  record.startedAt ??= startedAt
}

/** A lifetime without a known start can't be recognized after it was removed. */
function isExpired({ startedAt, unlistedAt }: LeavingRecord, now: Millis): boolean {
  if (unlistedAt === undefined) return false
  return startedAt === undefined || now - unlistedAt >= RETENTION_MS
}
