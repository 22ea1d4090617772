import { PlatformError, type PlatformPort, type VersionedValue } from "@galenaway/core"

/** What becomes of one call to the store. */
export type CallBehavior =
  | { readonly kind: "answered" }
  /** It takes effect, and its reply is lost. */
  | { readonly kind: "reply-lost" }
  /** It never arrives. */
  | { readonly kind: "request-lost" }
  /** The caller gives up, and the call arrives afterwards. */
  | { readonly kind: "late"; readonly afterMs: number }

/** How a store in memory behaves. */
export interface MemoryStoreOptions {
  readonly wait: (ms: number) => Promise<void>
  /** Asked once for each call. */
  readonly getBehavior?: () => CallBehavior
  /** Asked once for each call, in milliseconds. */
  readonly getDelayMs?: () => number
}

/** The platform's single-key operations in memory, under a test's clock. */
export interface MemoryStore extends Pick<PlatformPort, "read" | "compareAndSwap"> {
  /** Refuses every call while it is set. */
  isDown: boolean
  readonly entries: ReadonlyMap<string, VersionedValue>
  readonly counters: { reads: number; writes: number }
}

/** Creates an empty store. */
export function createMemoryStore(options: MemoryStoreOptions): MemoryStore {
  const entries = new Map<string, VersionedValue>()
  const counters = { reads: 0, writes: 0 }
  let revision = 0
  const write = (key: string, expected: number, value: string) => {
    if (expected !== (entries.get(key)?.revision ?? 0)) return false
    entries.set(key, { value, revision: ++revision })
    return true
  }
  const call = async <T>(run: () => T): Promise<T> => {
    const fate = options.getBehavior?.() ?? { kind: "answered" }
    await options.wait(options.getDelayMs?.() ?? 0)
    if (store.isDown) throw new PlatformError("memory", "down")
    switch (fate.kind) {
      case "answered":
        return run()
      case "reply-lost":
        run()
        break
      case "request-lost":
        break
      case "late":
        void options.wait(fate.afterMs).then(run)
        break
    }
    throw new PlatformError("memory", fate.kind)
  }
  const store: MemoryStore = {
    isDown: false,
    entries,
    counters,
    read: (key) => {
      counters.reads++
      return call(() => entries.get(key))
    },
    compareAndSwap: (key, expected, value) => {
      counters.writes++
      return call(() => write(key, expected, value))
    },
  }
  return store
}
