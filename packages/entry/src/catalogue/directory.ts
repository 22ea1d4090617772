import { EventEmitter } from "node:events"
import type {
  Clock,
  EndpointId,
  Millis,
  Registration,
  ServiceName,
  StoreItem,
} from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import type { CatalogueFormat } from "./format.js"

interface DirectoryEvents {
  /** An endpoint is new, or its process has started anew. */
  started: [Registration]
  /** An endpoint left the list. */
  gone: [Registration]
  /** A reading was taken. */
  read: []
}

interface Entry {
  readonly registration: Registration
  readonly item: StoreItem
}

/** How long entries that lapsed during an outage of the store may be missing after it. */
const RETURN_MS = 2000

/** The endpoints that have registered themselves. Entries that can't be read are skipped. */
export class EndpointDirectory extends EventEmitter<DirectoryEvents> {
  private entries = new Map<EndpointId, Entry>()
  private byService = new Map<ServiceName, readonly Registration[]>()
  private revision = 0
  private outageEndedAt: Millis = -Infinity
  private isOut = false
  private readonly skipped = new Map<string, number>()

  constructor(
    private readonly format: CatalogueFormat,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    super()
  }

  /** Whether a list was ever read. */
  get hasRead(): boolean {
    return this.revision > 0
  }

  /** Lists the live endpoints of a service. */
  listLive(service: ServiceName): readonly Registration[] {
    return this.byService.get(service) ?? []
  }

  /** Lists all endpoints, leaving ones included. */
  listAll(): readonly Registration[] {
    return [...this.entries.values()].map(({ registration }) => registration)
  }

  /** Finds an endpoint. */
  find(id: EndpointId): Registration | undefined {
    return this.entries.get(id)?.registration
  }

  /** The items behind the list, for a peer that can't reach the store. */
  listItems(): readonly StoreItem[] {
    return [...this.entries.values()].map(({ item }) => item)
  }

  /** Notes that the store didn't answer. */
  onOutage(): void {
    this.isOut = true
  }

  /** Takes a reading of all registrations. An older one than the last is left out. */
  apply(items: readonly StoreItem[], revision: number): void {
    if (revision < this.revision) return
    if (this.isOut) this.outageEndedAt = this.clock.now()
    this.isOut = false
    const next = new Map<EndpointId, Entry>()
    for (const item of items) this.addItem(next, item)
    if (this.clock.now() - this.outageEndedAt < RETURN_MS) this.keepMissing(next)
    this.revision = revision
    this.replace(next)
  }

  /** Takes a peer's list while this instance has none. */
  applyFromPeer(items: readonly StoreItem[]): void {
    if (this.hasRead) return
    const next = new Map<EndpointId, Entry>()
    for (const item of items) this.addItem(next, item)
    this.replace(next)
  }

  private addItem(next: Map<EndpointId, Entry>, item: StoreItem): void {
    const known = this.entries.get(item.key.slice(this.format.registrationPrefix.length))
    if (known?.item.revision === item.revision) {
      next.set(known.registration.id, known)
      return
    }
    const entry = this.format.readRegistration(item)
    if (entry.kind === "registration")
      next.set(entry.registration.id, { registration: entry.registration, item })
    else this.skip(item, entry.reason)
  }

  private skip({ key, revision }: StoreItem, reason: string): void {
    if (this.skipped.get(key) === revision) return
    this.skipped.set(key, revision)
    this.log.warn({ key, reason }, "registration skipped")
  }

  private keepMissing(next: Map<EndpointId, Entry>): void {
    for (const [id, entry] of this.entries) if (!next.has(id)) next.set(id, entry)
  }

  private replace(next: Map<EndpointId, Entry>): void {
    const before = this.entries
    this.entries = next
    this.byService = groupLive(next)
    for (const [id, { registration }] of next) {
      const known = before.get(id)?.registration
      if (!known || known.startedAt !== registration.startedAt) this.emit("started", registration)
      if (known && known.phase !== registration.phase)
        this.log.info({ endpoint: id, phase: registration.phase }, "endpoint changed phase")
    }
    for (const [id, { registration }] of before)
      if (!next.has(id)) {
        this.log.info({ endpoint: id }, "endpoint left the list")
        this.emit("gone", registration)
      }
    this.emit("read")
  }
}

function groupLive(
  entries: ReadonlyMap<EndpointId, Entry>,
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
