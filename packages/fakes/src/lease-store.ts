import { randomInt } from "node:crypto"
import {
  encodeRevision,
  getEra,
  getRevisionInEra,
  PlatformError,
  type StoreEvent,
  type StoreItem,
  type StorePort,
  type StoreRange,
  type Transaction,
  type TransactionResult,
  type WatchResult,
} from "@galenaway/core"

interface Lease {
  readonly ttlMs: number
  expiresAt: number
}

interface StoredItem extends StoreItem {
  readonly lease?: string
}

/** The state of a store at one time. */
export interface StoreCopy {
  readonly revision: number
  readonly items: ReadonlyMap<string, StoredItem>
  readonly leases: ReadonlyMap<string, Lease>
}

const MAX_LEASE_ID = 1_000_000
const PEER_NAME = "lease-store"

/**
 * A store in memory with revisions, conditions, leases, watches and a history
 * that can be compacted. Faults: while `isDown` is set, every call of the port
 * rejects with a `PlatformError`; the next `remainingLostAnswers` successful
 * transactions are applied, but reject as if the answer were lost. The store can
 * return to an earlier copy of its state, which begins a new era.
 */
export class LeaseStore implements StorePort {
  isDown = false
  remainingLostAnswers = 0
  private revision: number
  private readonly items = new Map<string, StoredItem>()
  private readonly leases = new Map<string, Lease>()
  private history: StoreEvent[] = []
  private compactedRevision = 0
  private readonly waiters = new Set<() => void>()
  private readonly restoreListeners: (() => void)[] = []

  /** `now` returns the time in milliseconds by which leases expire. */
  constructor(
    private readonly now: () => number,
    firstEra = 0,
  ) {
    this.revision = encodeRevision(firstEra, 1)
  }

  onRestore(listener: () => void): void {
    this.restoreListeners.push(listener)
  }

  /** The era, which rises by one each time that the store is restored. */
  get era(): number {
    return getEra(this.revision)
  }

  readRange(prefix: string): Promise<StoreRange> {
    return this.runCall(() => ({
      items: [...this.items.values()]
        .filter(({ key }) => key.startsWith(prefix))
        .sort((a, b) => (a.key < b.key ? -1 : 1)),
      revision: this.revision,
    }))
  }

  async watchRange(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<WatchResult> {
    const isKnown = () =>
      getEra(afterRevision) === this.era &&
      afterRevision >= this.compactedRevision &&
      afterRevision <= this.revision
    const findEvents = () =>
      this.history.filter(({ key, revision }) => key.startsWith(prefix) && revision > afterRevision)
    if (!this.isDown && isKnown() && findEvents().length === 0)
      await this.waitForChange(waitMs, signal)
    signal?.throwIfAborted()
    return this.runCall(() =>
      isKnown()
        ? { kind: "events", events: findEvents(), revision: this.revision }
        : { kind: "compacted" },
    )
  }

  runTransaction(change: Transaction): Promise<TransactionResult> {
    return this.runCall(() => {
      const result = this.apply(change)
      if (result.kind === "done" && this.remainingLostAnswers > 0) {
        this.remainingLostAnswers--
        throw new PlatformError(PEER_NAME, "the answer was lost")
      }
      return result
    })
  }

  openLease(ttlMs: number): Promise<string> {
    return this.runCall(() => {
      const lease = String(randomInt(1, MAX_LEASE_ID))
      this.leases.set(lease, { ttlMs, expiresAt: this.now() + ttlMs })
      return lease
    })
  }

  renewLease(id: string): Promise<boolean> {
    return this.runCall(() => {
      const lease = this.leases.get(id)
      if (lease) lease.expiresAt = this.now() + lease.ttlMs
      return lease !== undefined
    })
  }

  closeLease(id: string): Promise<void> {
    return this.runCall(() => {
      this.removeLease(id)
    })
  }

  /**
   * Writes an item without a condition, as operators and endpoints do. A string
   * is stored as it is, another value as JSON.
   */
  put(key: string, value: unknown): void {
    const text = typeof value === "string" ? value : JSON.stringify(value)
    this.writeAtNextRevision(key, Buffer.from(text))
  }

  /** Removes an item without a condition. Has no effect if the key does not exist. */
  remove(key: string): void {
    if (!this.items.delete(key)) return
    this.revision++
    this.record({ key, revision: this.revision })
  }

  /** Discards the history. Watches that start at an earlier revision return "compacted". */
  compactHistory(): void {
    this.history = []
    this.compactedRevision = this.revision + 1
    this.revision++
    this.notifyWaiters()
  }

  /** Takes a copy of the current state. */
  takeCopy(): StoreCopy {
    this.removeExpiredLeases()
    return { revision: this.revision, items: new Map(this.items), leases: new Map(this.leases) }
  }

  /** Returns to a copy: later changes and leases are gone, and their revisions are given out again in a new era. */
  restore({ revision, items, leases }: StoreCopy): void {
    const era = this.era + 1
    const encode = (earlier: number) => encodeRevision(era, getRevisionInEra(earlier))
    this.items.clear()
    for (const [key, item] of items)
      this.items.set(key, { ...item, revision: encode(item.revision) })
    this.leases.clear()
    for (const [id, lease] of leases) this.leases.set(id, lease)
    this.revision = encode(revision)
    this.history = []
    this.compactedRevision = this.revision
    this.notifyWaiters()
    for (const listener of this.restoreListeners) listener()
  }

  private apply({ conditions, puts, removals }: Transaction): TransactionResult {
    this.removeExpiredLeases()
    const areConditionsMet = conditions.every(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
    )
    if (!areConditionsMet) return { kind: "conflict" }
    if (puts.some(({ lease }) => lease !== undefined && !this.leases.has(lease)))
      return { kind: "no-lease" }
    for (const key of removals) this.remove(key)
    const revision = this.revision + 1
    for (const { key, value, lease } of puts) this.writeAtRevision(revision, key, value, lease)
    return { kind: "done", revision: this.revision }
  }

  private writeAtNextRevision(key: string, value: Buffer): void {
    this.writeAtRevision(this.revision + 1, key, value, undefined)
  }

  private writeAtRevision(
    revision: number,
    key: string,
    value: Buffer,
    lease: string | undefined,
  ): void {
    this.revision = revision
    const item = { key, value, revision, ...(lease !== undefined && { lease }) }
    this.items.set(key, item)
    this.record({ key, revision, item })
  }

  private record(event: StoreEvent): void {
    this.history.push(event)
    this.notifyWaiters()
  }

  private notifyWaiters(): void {
    for (const end of this.waiters) end()
  }

  private removeExpiredLeases(): void {
    for (const [id, { expiresAt }] of this.leases) if (expiresAt <= this.now()) this.removeLease(id)
  }

  private removeLease(id: string): void {
    this.leases.delete(id)
    for (const { key, lease } of [...this.items.values()]) if (lease === id) this.remove(key)
  }

  private waitForChange(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer)
        signal?.removeEventListener("abort", end)
        this.waiters.delete(end)
        resolve()
      }
      const timer = setTimeout(end, ms)
      signal?.addEventListener("abort", end, { once: true })
      this.waiters.add(end)
    })
  }

  private runCall<T>(run: () => T): Promise<T> {
    return new Promise((resolve, reject) => {
      if (this.isDown) {
        reject(new PlatformError(PEER_NAME, "the store is down"))
        return
      }
      this.removeExpiredLeases()
      try {
        resolve(run())
      } catch (error) {
        reject(error instanceof Error ? error : new Error(String(error)))
      }
    })
  }
}
