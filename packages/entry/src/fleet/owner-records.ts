import type { OwnerRecord } from "@galenaway/coordination"
import { type EndpointId, getEra } from "@galenaway/core"

/** The owner records that an instance knows: those of the store's current era, and the last ones before it. */
export class OwnerRecords {
  private current = new Map<EndpointId, OwnerRecord>()
  /** The records that were known before the store was restored. The store may have lost some of them. */
  private earlier: ReadonlyMap<EndpointId, OwnerRecord> = new Map()
  private currentEra = 0

  /** The era of the store that the records are of. */
  get era(): number {
    return this.currentEra
  }

  /** All records of the current era, restored ones included. */
  get all(): ReadonlyMap<EndpointId, OwnerRecord> {
    return this.current
  }

  /** Finds the record of an endpoint in the current era. */
  find(endpoint: EndpointId): OwnerRecord | undefined {
    return this.current.get(endpoint)
  }

  /** Adds a record that this process has written. */
  set(record: OwnerRecord): void {
    this.current.set(record.endpoint, record)
  }

  /** Begins a later era: what is known stays only for the peers. */
  startEra(era: number): void {
    this.earlier = this.listValid([])
    this.current = new Map()
    this.currentEra = era
  }

  /**
   * Merges the records of a read with the known ones and with those by which this
   * process owns endpoints, since a read may show a record as it was before this
   * process wrote it.
   */
  merge(read: ReadonlyMap<EndpointId, OwnerRecord>, own: readonly OwnerRecord[]): void {
    const merged = new Map(read)
    const ownOfEra = own.filter(({ revision }) => getEra(revision) === this.currentEra)
    for (const known of [...this.current.values(), ...ownOfEra]) {
      const other = merged.get(known.endpoint)
      if (!other || other.revision < known.revision) merged.set(known.endpoint, known)
    }
    this.current = merged
  }

  /**
   * Lists the newest record of each endpoint that was written in its era, with
   * those by which this process owns endpoints. A record that the store has lost is
   * among them, so that a peer doesn't confirm an older one.
   */
  listValid(own: readonly OwnerRecord[]): ReadonlyMap<EndpointId, OwnerRecord> {
    const valid = new Map(this.earlier)
    for (const record of [...own, ...this.current.values()]) {
      const known = valid.get(record.endpoint)
      if (!record.isRestored && (!known || known.revision < record.revision))
        valid.set(record.endpoint, record)
    }
    return valid
  }
}
