import { randomInt } from "node:crypto"
import {
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
  endsAt: number
}

interface StoredItem extends StoreItem {
  readonly lease?: string
}

const MAX_LEASE = 1_000_000
const PEER = "lease-store"

/**
 * A store in memory: revisions, conditions, leases, watches, and history that
 * can be forgotten. `isDown` makes every call fail; `loseAnswers` makes the
 * next writes happen without an answer.
 */
export class LeaseStore implements StorePort {
  isDown = false
  remainingLostAnswers = 0
  private revision = 1
  private readonly items = new Map<string, StoredItem>()
  private readonly leases = new Map<string, Lease>()
  private history: StoreEvent[] = []
  private forgotten = 0
  private readonly waiters = new Set<() => void>()

  /** `now` is the time in ms that leases run by. */
  constructor(private readonly now: () => number) {}

  readRange(prefix: string): Promise<StoreRange> {
    return this.answer(() => ({
      items: [...this.items.values()]
        .filter(({ key }) => key.startsWith(prefix))
        .sort((a, b) => (a.key < b.key ? -1 : 1)),
      revision: this.revision,
    }))
  }

  async watchRange(prefix: string, afterRevision: number, waitMs: number): Promise<WatchResult> {
    const find = () =>
      this.history.filter(({ key, revision }) => key.startsWith(prefix) && revision > afterRevision)
    if (!this.isDown && afterRevision >= this.forgotten && find().length === 0)
      await this.waitForChange(waitMs)
    return this.answer(() =>
      afterRevision < this.forgotten
        ? { kind: "compacted" }
        : { kind: "events", events: find(), revision: this.revision },
    )
  }

  runTransaction(change: Transaction): Promise<TransactionResult> {
    return this.answer(() => {
      const result = this.apply(change)
      if (result.kind === "done" && this.remainingLostAnswers > 0) {
        this.remainingLostAnswers--
        throw new PlatformError(PEER, "the answer was lost")
      }
      return result
    })
  }

  openLease(ttlMs: number): Promise<string> {
    return this.answer(() => {
      const lease = String(randomInt(1, MAX_LEASE))
      this.leases.set(lease, { ttlMs, endsAt: this.now() + ttlMs })
      return lease
    })
  }

  renewLease(id: string): Promise<boolean> {
    return this.answer(() => {
      const lease = this.leases.get(id)
      if (lease) lease.endsAt = this.now() + lease.ttlMs
      return lease !== undefined
    })
  }

  closeLease(lease: string): Promise<void> {
    return this.answer(() => {
      this.endLease(lease)
    })
  }

  /** Writes an item as operators and endpoints do, without a condition. */
  put(key: string, value: unknown): void {
    const text = typeof value === "string" ? value : JSON.stringify(value)
    this.write(key, Buffer.from(text))
  }

  /** Removes an item. */
  remove(key: string): void {
    if (!this.items.delete(key)) return
    this.revision++
    this.record({ key, revision: this.revision })
  }

  /** Forgets the history: watches from earlier revisions are told so. */
  compactHistory(): void {
    this.history = []
    this.forgotten = this.revision + 1
    this.revision++
    this.wakeWaiters()
  }

  private apply({ conditions, puts, removals }: Transaction): TransactionResult {
    this.endLapsed()
    const holds = conditions.every(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
    )
    if (!holds) return { kind: "conflict" }
    if (puts.some(({ lease }) => lease !== undefined && !this.leases.has(lease)))
      return { kind: "no-lease" }
    for (const key of removals) this.remove(key)
    const revision = this.revision + 1
    for (const { key, value, lease } of puts) this.writeAt(revision, key, value, lease)
    return { kind: "done", revision: this.revision }
  }

  private write(key: string, value: Buffer): void {
    this.writeAt(this.revision + 1, key, value, undefined)
  }

  private writeAt(revision: number, key: string, value: Buffer, lease: string | undefined): void {
    this.revision = revision
    const item = { key, value, revision, ...(lease !== undefined && { lease }) }
    this.items.set(key, item)
    this.record({ key, revision, item })
  }

  private record(event: StoreEvent): void {
    this.history.push(event)
    this.wakeWaiters()
  }

  private wakeWaiters(): void {
    for (const wake of this.waiters) wake()
  }

  private endLapsed(): void {
    for (const [id, { endsAt }] of this.leases) if (endsAt <= this.now()) this.endLease(id)
  }

  private endLease(id: string): void {
    this.leases.delete(id)
    for (const { key, lease } of [...this.items.values()]) if (lease === id) this.remove(key)
  }

  private waitForChange(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer)
        this.waiters.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, ms)
      this.waiters.add(wake)
    })
  }

  private answer<T>(run: () => T): Promise<T> {
    return new Promise((resolve, reject) => {
      if (this.isDown) {
        reject(new PlatformError(PEER, "the store is down"))
        return
      }
      this.endLapsed()
      try {
        resolve(run())
      } catch (error) {
        reject(error instanceof Error ? error : new Error(String(error)))
      }
    })
  }
}
