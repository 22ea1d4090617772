import {
  type DataCentre,
  describeError,
  type EndpointId,
  type Incarnation,
  type PlatformPort,
  waitFor,
} from "@galenaway/core"
import {
  createDocument,
  formatDocument,
  type Member,
  type Ownership,
  type OwnershipDocument,
  parseDocument,
} from "@galenaway/coordination"
import type { Log, Recorder } from "@galenaway/observe"

const RETRY_MIN_MS = 100
const RETRY_MAX_MS = 2000
/** Pause between two calls of a watch. */
const WATCH_PAUSE_MS = 20

/**
 * Creates the next document from the current one. Returns the same object if no
 * change is needed.
 */
export type DocumentEdit = (document: OwnershipDocument) => OwnershipDocument

interface StoredDocument {
  readonly document: OwnershipDocument
  readonly revision: number
}

/**
 * Caches and edits the ownership documents of the data centres whose endpoints
 * this instance routes to. Watches the documents, keeps the last known versions
 * during an outage of the platform's service, and writes changes by
 * compare-and-swap.
 */
export class OwnershipDocuments {
  private readonly latest = new Map<DataCentre, StoredDocument>()
  private readonly ownerships = new Map<EndpointId, Ownership>()
  private readonly listeners: ((document: OwnershipDocument) => void)[] = []
  private readonly stopped = new AbortController()
  private isReachable = true

  constructor(
    private readonly self: Incarnation,
    readonly dataCentres: readonly DataCentre[],
    private readonly platform: PlatformPort,
    private readonly recorder: Recorder,
    private readonly log: Log,
  ) {}

  /** Whether the last call to the platform's service returned neither an error nor a malformed document. */
  get isPlatformReachable(): boolean {
    return this.isReachable
  }

  /** Registers a listener that is called with every document of a higher epoch. */
  onChange(listener: (document: OwnershipDocument) => void): void {
    this.listeners.push(listener)
  }

  /** Starts to watch the documents. */
  start(): void {
    for (const dataCentre of this.dataCentres) void this.runWatch(dataCentre)
  }

  /** Stops the watches and the running edits. */
  stop(): void {
    this.stopped.abort()
  }

  /** Returns the last known document of a data centre, or undefined if none was read yet. */
  get(dataCentre: DataCentre): OwnershipDocument | undefined {
    return this.latest.get(dataCentre)?.document
  }

  /** Lists the last known document of each data centre. */
  list(): readonly OwnershipDocument[] {
    return [...this.latest.values()].map(({ document }) => document)
  }

  /** Returns the ownership of an endpoint, or undefined if it has no owner. */
  findOwnership(endpoint: EndpointId): Ownership | undefined {
    return this.ownerships.get(endpoint)
  }

  /** Finds a member by its incarnation in all documents. */
  findMember(incarnation: Incarnation): Member | undefined {
    for (const { document } of this.latest.values()) {
      const member = document.members.find((each) => each.incarnation === incarnation)
      if (member) return member
    }
    return undefined
  }

  /**
   * Applies an edit to the current document, with retries, until it has taken
   * effect or needs no change. Each attempt reads the document first, so an
   * earlier write whose reply was lost is detected as already done. Returns
   * false if the signal was aborted or the documents were stopped.
   */
  async edit(dataCentre: DataCentre, edit: DocumentEdit, signal?: AbortSignal): Promise<boolean> {
    let backoffMs = RETRY_MIN_MS
    while (!this.stopped.signal.aborted && signal?.aborted !== true) {
      const isDone = await this.applyEdit(dataCentre, edit)
      if (isDone) return true
      await waitFor(backoffMs * (0.5 + Math.random()), this.stopped.signal)
      backoffMs = Math.min(backoffMs * 2, RETRY_MAX_MS)
    }
    return false
  }

  private async applyEdit(dataCentre: DataCentre, edit: DocumentEdit): Promise<boolean> {
    const key = formatKey(dataCentre)
    try {
      const stored = await this.platform.read(key)
      this.setReachable(true)
      const document = stored ? parseDocument(stored.value) : createDocument(dataCentre)
      if (stored) this.update(dataCentre, { document, revision: stored.revision })
      const next = edit(document)
      if (next === document) return true
      return await this.platform.compareAndSwap(key, stored?.revision ?? 0, formatDocument(next))
    } catch (error) {
      // A write without a reply may have taken effect. The next attempt reads
      // the document again, and the edit then returns it unchanged.
      this.setReachable(false)
      this.log.warn(
        { step: "platform", dataCentre, error: describeError(error) },
        "ownership document not updated",
      )
      return false
    }
  }

  private async runWatch(dataCentre: DataCentre): Promise<void> {
    const { signal } = this.stopped
    let backoffMs = RETRY_MIN_MS
    while (!signal.aborted) {
      try {
        const revision = this.latest.get(dataCentre)?.revision ?? 0
        const stored = await this.fetchNext(dataCentre, revision)
        this.setReachable(true)
        backoffMs = RETRY_MIN_MS
        if (stored) {
          const document = parseDocument(stored.value)
          this.update(dataCentre, { document, revision: stored.revision })
        }
        await waitFor(WATCH_PAUSE_MS, signal)
      } catch {
        this.setReachable(false)
        await waitFor(backoffMs * (0.5 + Math.random()), signal)
        backoffMs = Math.min(backoffMs * 2, RETRY_MAX_MS)
      }
    }
  }

  private fetchNext(dataCentre: DataCentre, revision: number) {
    const key = formatKey(dataCentre)
    return revision === 0
      ? this.platform.read(key)
      : this.platform.watch(key, revision, this.stopped.signal)
  }

  /**
   * Stores a document and notifies the listeners, unless the known one has the
   * same or a higher epoch.
   */
  private update(dataCentre: DataCentre, next: StoredDocument): void {
    const current = this.latest.get(dataCentre)
    if (current && current.document.epoch >= next.document.epoch) return
    this.latest.set(dataCentre, next)
    for (const { endpoint } of current?.document.ownerships ?? []) this.ownerships.delete(endpoint)
    for (const ownership of next.document.ownerships)
      this.ownerships.set(ownership.endpoint, ownership)
    for (const listener of this.listeners) listener(next.document)
  }

  private setReachable(isReachable: boolean): void {
    if (this.isReachable === isReachable) return
    this.isReachable = isReachable
    const kind = isReachable ? "platform-back" : "platform-lost"
    this.recorder.record({ kind, peer: "platform", step: "platform" })
    this.log.warn({ step: "platform", author: this.self }, kind)
  }
}

function formatKey(dataCentre: DataCentre): string {
  return `galenaway/ownership/${dataCentre}`
}
