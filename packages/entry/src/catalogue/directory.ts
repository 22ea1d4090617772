import { EventEmitter } from "node:events"
import {
  type Clock,
  type EndpointId,
  getEra,
  type Millis,
  type Registration,
  type ServiceName,
  type StoreItem,
} from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import type { CatalogueFormat } from "./format.js"
import { GoneEndpoints } from "./gone-endpoints.js"
import { SkipLog } from "./skip-log.js"

interface DirectoryEvents {
  /** An endpoint is new, or its process has restarted. */
  started: [Registration]
  /** An endpoint was removed. */
  gone: [Registration]
  /** The list was replaced, changed or not. Emitted after the other events. */
  read: []
}

interface DirectoryEntry {
  readonly registration: Registration
  readonly item: StoreItem
}

/** How long entries are kept that expired during an outage of the store, or that a restored copy lacks. */
const OUTAGE_RETENTION_MS = 2000

/** The endpoints that are registered in the store. Items that can't be decoded are logged and skipped. */
export class EndpointDirectory extends EventEmitter<DirectoryEvents> {
  private entries = new Map<EndpointId, DirectoryEntry>()
  private byService = new Map<ServiceName, readonly Registration[]>()
  private revision = 0
  private outageEndedAt: Millis = -Infinity
  private isStoreDown = false
  private readonly gone = new GoneEndpoints()
  private readonly skipLog: SkipLog

  constructor(
    private readonly format: CatalogueFormat,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    super()
    this.skipLog = new SkipLog(log, "registration skipped")
  }

  /** Whether the registrations have been read from the store at least once. */
  get hasRead(): boolean {
    return this.revision > 0
  }

  /** Lists the live endpoints of a service. Empty for an unknown service. */
  listLive(service: ServiceName): readonly Registration[] {
    return this.byService.get(service) ?? []
  }

  /** Lists all endpoints, including leaving ones. */
  listAll(): readonly Registration[] {
    return [...this.entries.values()].map(({ registration }) => registration)
  }

  /** Returns an endpoint, or undefined when it isn't registered. */
  find(id: EndpointId): Registration | undefined {
    return this.entries.get(id)?.registration
  }

  /** Lists the store items of all entries, for a peer that can't reach the store. */
  listItems(): readonly StoreItem[] {
    return [...this.entries.values()].map(({ item }) => item)
  }

  /** Records that a read of the store failed. */
  onOutage(): void {
    this.isStoreDown = true
  }

  /** Replaces the list with a read of all registrations. Ignores a read with a lower revision than the last one. */
  apply(items: readonly StoreItem[], revision: number): void {
    if (revision < this.revision) return
    const isRestored = this.hasRead && getEra(revision) > getEra(this.revision)
    if (isRestored) this.gone.onRestore(this.clock.now())
    // The copy of a restored store lacks endpoints that have registered since; they register again.
    if (this.isStoreDown || isRestored) this.outageEndedAt = this.clock.now()
    this.isStoreDown = false
    const next = new Map<EndpointId, DirectoryEntry>()
    for (const item of items) this.addItem(next, item)
    if (this.clock.now() - this.outageEndedAt < OUTAGE_RETENTION_MS) this.addMissing(next)
    this.revision = revision
    this.replace(next)
  }

  /** Replaces the list with a peer's items. Ignored once the store has been read. */
  applyFromPeer(items: readonly StoreItem[]): void {
    if (this.hasRead) return
    const next = new Map<EndpointId, DirectoryEntry>()
    for (const item of items) this.addItem(next, item)
    this.replace(next)
  }

  private addItem(next: Map<EndpointId, DirectoryEntry>, item: StoreItem): void {
    const known = this.entries.get(item.key.slice(this.format.registrationPrefix.length))
    if (known?.item.revision === item.revision) {
      next.set(known.registration.id, known)
      return
    }
    const entry = this.format.readRegistration(item)
    if (entry.kind === "foreign") {
      this.skipLog.write(item.key, entry.reason)
      return
    }
    this.skipLog.remove(item.key)
    const { registration } = entry
    if (known && (registration.startedAt ?? 0) < (known.registration.startedAt ?? 0))
      next.set(registration.id, known)
    else if (!this.gone.has(registration, this.clock.now()))
      next.set(registration.id, { registration, item })
  }

  private addMissing(next: Map<EndpointId, DirectoryEntry>): void {
    for (const [id, entry] of this.entries) if (!next.has(id)) next.set(id, entry)
  }

  private replace(next: Map<EndpointId, DirectoryEntry>): void {
    const before = this.entries
    this.entries = next
    this.byService = groupLiveByService(next)
    for (const [id, { registration }] of next) {
      const known = before.get(id)?.registration
      if (!known || known.startedAt !== registration.startedAt) this.emit("started", registration)
      if (known && known.phase !== registration.phase)
        this.log.info({ endpoint: id, phase: registration.phase }, "endpoint changed phase")
    }
    for (const [id, { registration }] of before)
      if (!next.has(id)) {
        this.log.info({ endpoint: id }, "endpoint removed")
        this.gone.add(registration, this.clock.now())
        this.emit("gone", registration)
      }
    this.emit("read")
  }
}

function groupLiveByService(
  entries: ReadonlyMap<EndpointId, DirectoryEntry>,
): Map<ServiceName, readonly Registration[]> {
  const groups = new Map<ServiceName, Registration[]>()
  for (const { registration } of entries.values()) {
    if (registration.phase !== "live") continue
    const group = groups.get(registration.service) ?? []
    group.push(registration)
    groups.set(registration.service, group)
  }
  return groups
}
