import type { EndpointId, Millis, Registration } from "@galenaway/core"

/** How long removed endpoints are known. A copy from which the store is restored is younger. */
const RETENTION_MS = 60_000
/** How long registrations of a copy are held back. The store has removed those without heartbeats by then. */
const HOLD_MS = 5000

interface GoneEndpoint {
  readonly startedAt: number | undefined
  readonly at: Millis
}

/**
 * The endpoints that were removed lately. A store that was restored from an older
 * copy lists them again until it finds that they send no heartbeats.
 */
export class GoneEndpoints {
  private readonly byId = new Map<EndpointId, GoneEndpoint>()
  private restoredAt: Millis = -Infinity

  /** Records that an endpoint was removed. */
  add({ id, startedAt }: Registration, now: Millis): void {
    // The order of insertion is that of the removals.
    this.byId.delete(id)
    this.byId.set(id, { startedAt, at: now })
    for (const [known, { at }] of this.byId)
      if (now - at > RETENTION_MS) this.byId.delete(known)
      else return
  }

  /** Records that the store was restored. */
  onRestore(now: Millis): void {
    this.restoredAt = now
  }

  /** Returns whether a registration is that of a removed process, as the copy of a restored store has it. */
  has({ id, startedAt }: Registration, now: Millis): boolean {
    if (now - this.restoredAt >= HOLD_MS) return false
    const gone = this.byId.get(id)
    return gone !== undefined && (startedAt ?? 0) <= (gone.startedAt ?? 0)
  }
}
