import { PlatformError, type PlatformPort, type VersionedValue } from "@galenaway/core"

/** How the store handles one call. */
export type CallBehavior =
  | { readonly kind: "answered" }
  /** The call takes effect, but its reply is lost. */
  | { readonly kind: "reply-lost" }
  /** The call does not reach the store. */
  | { readonly kind: "request-lost" }
  /** The call fails, and takes effect `afterMs` milliseconds later. */
  | { readonly kind: "late"; readonly afterMs: number }

/** Options of a memory store. */
export interface MemoryStoreOptions {
  /** Waits for a time in milliseconds; usually the `wait` of a manual clock. */
  readonly wait: (ms: number) => Promise<void>
  /**
   * Returns how a call is handled; called once for each call. By default every call is
   * answered.
   */
  readonly getBehavior?: () => CallBehavior
  /**
   * Returns the delay of a call in milliseconds; called once for each call. No
   * delay by default.
   */
  readonly getDelayMs?: () => number
}

/**
 * The platform's single-key operations in memory, with delays from a test's
 * clock. Calls whose reply does not arrive reject with a `PlatformError`.
 */
export interface MemoryStore extends Pick<PlatformPort, "read" | "compareAndSwap"> {
  /** While set, every call fails without an effect. */
  isDown: boolean
  /** The stored values by key. */
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
    const behavior = options.getBehavior?.() ?? { kind: "answered" }
    await options.wait(options.getDelayMs?.() ?? 0)
    if (store.isDown) throw new PlatformError("memory", "down")
    switch (behavior.kind) {
      case "answered":
        return run()
      case "reply-lost":
        run()
        break
      case "request-lost":
        break
      case "late":
        void options.wait(behavior.afterMs).then(run)
        break
    }
    throw new PlatformError("memory", behavior.kind)
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
