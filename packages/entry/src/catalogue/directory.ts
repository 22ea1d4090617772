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
import { type EndpointLifetime, isLaterStart, LeavingEndpoints } from "./leaving-endpoints.js"
import { SkipLog } from "./skip-log.js"

interface DirectoryEvents {
  /** An endpoint is new, or its process has restarted. */
  started: [Registration]
  /** An endpoint that was live is leaving. */
  leaving: [Registration]
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
  private readonly leaving = new LeavingEndpoints()
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

  /**
   * Records that an endpoint is leaving, as one of its answers or a peer shows. Its
   * lifetime stays leaving whatever its registration says. Returns whether the
   * lifetime was taken for live until now.
   */
  addLeaving(lifetime: EndpointLifetime): boolean {
    const entry = this.entries.get(lifetime.id)
    if (entry && isLaterStart(entry.registration.startedAt, lifetime.startedAt)) return false
    if (!this.leaving.add(lifetime, this.clock.now())) return false
    if (entry?.registration.phase !== "live") return false
    const registration: Registration = { ...entry.registration, phase: "leaving" }
    this.entries.set(lifetime.id, { ...entry, registration })
    this.byService = groupLiveByService(this.entries)
    this.emit("leaving", registration)
    return true
  }

  /** Lists the registered endpoints that are known since `maxAgeMs` ago or later to be leaving. */
  listLeaving(maxAgeMs: Millis): readonly EndpointLifetime[] {
    return this.leaving.listSince(this.clock.now() - maxAgeMs)
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
    if (known && isLaterStart(known.registration.startedAt, registration.startedAt))
      next.set(registration.id, known)
    else if (!this.gone.has(registration, this.clock.now()))
      next.set(registration.id, { registration: this.checkPhase(registration), item })
  }

  /** Returns a registration with its actual phase: a lifetime that was leaving once isn't live any more. */
  private checkPhase(registration: Registration): Registration {
    if (registration.phase === "leaving") this.leaving.add(registration, this.clock.now())
    return this.leaving.has(registration) ? { ...registration, phase: "leaving" } : registration
  }

  private addMissing(next: Map<EndpointId, DirectoryEntry>): void {
    for (const [id, entry] of this.entries) if (!next.has(id)) next.set(id, entry)
  }

  private replace(next: Map<EndpointId, DirectoryEntry>): void {
    const before = this.entries
    this.entries = next
    this.byService = groupLiveByService(next)
    this.leaving.update((id) => this.find(id), this.clock.now())
    for (const [id, { registration }] of next) {
      const known = before.get(id)?.registration
      if (!known || known.startedAt !== registration.startedAt) this.emit("started", registration)
      if (known && known.phase !== registration.phase) this.onPhaseChanged(registration)
    }
    for (const [id, { registration }] of before)
      if (!next.has(id)) {
        this.log.info({ endpoint: id }, "endpoint removed")
        this.gone.add(registration, this.clock.now())
        this.emit("gone", registration)
      }
    this.emit("read")
  }

  private onPhaseChanged(registration: Registration): void {
    const { id, phase } = registration
    this.log.info({ endpoint: id, phase }, "endpoint changed phase")
    if (phase === "leaving") this.emit("leaving", registration)
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
