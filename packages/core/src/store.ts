/** The version of an adapter's weights; a higher number is newer. */
export type AdapterVersion = number

/** A value of the platform's store. */
export interface StoreItem {
  readonly key: string
  readonly value: Buffer
  /** Revision of its last change. */
  readonly revision: number
}

/** A change of a key; without an item it was removed. */
export interface StoreEvent {
  readonly key: string
  readonly revision: number
  readonly item?: StoreItem
}

/** All items under a prefix. Pages may be of different moments. */
export interface StoreRange {
  readonly items: readonly StoreItem[]
  /** The store's revision at the last page. */
  readonly revision: number
}

/** `latest` is linearizable; `stale` is cheaper and may lag by seconds. */
export type ReadConsistency = "latest" | "stale"

/** What a watch brought: changes, or word that the history it needs is gone. */
export type WatchResult =
  | { readonly kind: "events"; readonly events: readonly StoreEvent[]; readonly revision: number }
  | { readonly kind: "compacted" }

/** A change of several keys that happens in full or not at all. */
export interface Transaction {
  /** Keys and the revisions that they must have; 0 for a key that must not exist. */
  readonly conditions: readonly { readonly key: string; readonly revision: number }[]
  readonly puts: readonly {
    readonly key: string
    readonly value: Buffer
    readonly lease?: string
  }[]
  readonly removals: readonly string[]
}

/** What became of a transaction. */
export type TransactionResult =
  | { readonly kind: "done"; readonly revision: number }
  /** A condition didn't hold; nothing was changed. */
  | { readonly kind: "conflict" }
  /** The lease has ended; nothing was changed. */
  | { readonly kind: "no-lease" }

/** The platform's store. A method throws a PlatformError when the store doesn't answer or refuses; a write may then still happen. */
export interface StorePort {
  readRange(prefix: string, freshness: ReadConsistency, timeoutMs: number): Promise<StoreRange>
  /** Waits for changes under a prefix after a revision. No event within the wait gives an empty list. */
  watchRange(prefix: string, afterRevision: number, waitMs: number): Promise<WatchResult>
  runTransaction(change: Transaction, timeoutMs: number): Promise<TransactionResult>
  openLease(ttlMs: number, timeoutMs: number): Promise<string>
  /** Returns false when the lease has ended. */
  renewLease(lease: string, timeoutMs: number): Promise<boolean>
  closeLease(lease: string, timeoutMs: number): Promise<void>
}
