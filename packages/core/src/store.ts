/** The version of an adapter's weights. A higher number is newer. */
export type AdapterVersion = number

/** A key in the platform's store and its value. An item that can't be decoded has an empty value and revision 0. */
export interface StoreItem {
  readonly key: string
  readonly value: Buffer
  /** The store's revision at the item's last change, see {@link encodeRevision}. */
  readonly revision: number
}

/** Revisions of one era, more than a store writes in decades. The product with any likely era is a safe integer. */
const REVISIONS_PER_ERA = 2 ** 36
/** The highest revision that an era can have. */
export const MAX_REVISION = REVISIONS_PER_ERA - 1

/**
 * Encodes the revision of a store that can be restored from an older copy. The
 * store then gives out some revisions again, in a later era. Encoded revisions rise
 * over a restore too: those of a later era are higher.
 */
export function encodeRevision(era: number, revision: number): number {
  return era * REVISIONS_PER_ERA + revision
}

/** Returns the era of an encoded revision. */
export function getEra(revision: number): number {
  return Math.floor(revision / REVISIONS_PER_ERA)
}

/** Returns the store's own number of an encoded revision. */
export function getRevisionInEra(revision: number): number {
  return revision % REVISIONS_PER_ERA
}

/** A change of a key. `item` is undefined if the key was removed. */
export interface StoreEvent {
  readonly key: string
  readonly revision: number
  readonly item?: StoreItem
}

/** All items under a prefix. They are read in pages, and the pages may reflect different revisions. */
export interface StoreRange {
  readonly items: readonly StoreItem[]
  /** The lowest revision of a page. All changes up to it are in the items; later ones may be or not, so changes are followed from here. */
  readonly revision: number
}

/** The consistency of a read: `latest` is linearizable; `stale` is cheaper and may lag by seconds. */
export type ReadConsistency = "latest" | "stale"

/** The result of a watch: the changes, or `compacted` if the store no longer has the history that the watch needs. */
export type WatchResult =
  | { readonly kind: "events"; readonly events: readonly StoreEvent[]; readonly revision: number }
  | { readonly kind: "compacted" }

/** A change of several keys that is applied atomically. */
export interface Transaction {
  /** Keys and their expected revisions; 0 for a key that must not exist. */
  readonly conditions: readonly { readonly key: string; readonly revision: number }[]
  readonly puts: readonly {
    readonly key: string
    readonly value: Buffer
    readonly lease?: string
  }[]
  readonly removals: readonly string[]
}

/** The result of a transaction. */
export type TransactionResult =
  | { readonly kind: "done"; readonly revision: number }
  /** A condition was not met; nothing was changed. */
  | { readonly kind: "conflict" }
  /** The lease has ended; nothing was changed. */
  | { readonly kind: "no-lease" }

/** The platform's store. Its revisions are encoded, see {@link encodeRevision}; revision 0 stands for a missing key in every era. A method throws a PlatformError if the store doesn't answer or refuses; a write may still take effect after that. */
export interface StorePort {
  /** Calls a function each time that an answer shows that the store was restored from an older copy: what was written since the copy is gone. */
  onRestore(listener: () => void): void
  readRange(prefix: string, consistency: ReadConsistency, timeoutMs: number): Promise<StoreRange>
  /** Waits up to `waitMs` for changes under a prefix after a revision. Returns an empty list if there were none. Rejects when `signal` is aborted. */
  watchRange(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<WatchResult>
  runTransaction(change: Transaction, timeoutMs: number): Promise<TransactionResult>
  /** Opens a lease that ends if it isn't renewed within `ttlMs`. Returns its id. */
  openLease(ttlMs: number, timeoutMs: number): Promise<string>
  /** Returns false when the lease has ended. */
  renewLease(lease: string, timeoutMs: number): Promise<boolean>
  /** Ends a lease and removes the keys that were put under it. */
  closeLease(lease: string, timeoutMs: number): Promise<void>
}
