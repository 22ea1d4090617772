import { type Clock, describeError, type Millis, type StorePort } from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import type { PartId, PartState } from "@galenaway/routing"
import { formatPart, formatPartKey } from "../fleet/records.js"

/** The dependencies of {@link PartStore}. */
export interface PartStoreDependencies {
  readonly store: StorePort
  readonly clock: Clock
  readonly log: Log
  /** Returns whether this instance writes first. The others write what is still missing after a while. */
  isFirstWriter(): boolean
}

const STORE_TIMEOUT_MS = 700
/** Time after which any instance writes a state that the store doesn't have. */
const TAKEOVER_MS = 1500
const MAX_RECORD_COUNT = 128

/** Writes the states of request parts to the store, so that they outlive the instances. */
export class PartStore {
  /** When this instance first had a state that the store didn't have. */
  private readonly missingSince = new Map<PartId, Millis>()
  private readonly writing = new Set<PartId>()

  constructor(private readonly deps: PartStoreDependencies) {}

  /** Writes a new state at once if that is up to this instance. */
  write(state: PartState): void {
    if (this.deps.isFirstWriter()) void this.put(state)
  }

  /** Writes the states that a read of the store didn't show, and removes the oldest records beyond the limit. */
  onRead(stored: readonly PartState[], known: readonly PartState[]): void {
    const generations = new Map(stored.map(({ part, generation }) => [part, generation]))
    const now = this.deps.clock.now()
    for (const state of known) {
      if ((generations.get(state.part) ?? 0) >= state.generation) {
        this.missingSince.delete(state.part)
        continue
      }
      const since = this.missingSince.get(state.part) ?? now
      this.missingSince.set(state.part, since)
      if (this.deps.isFirstWriter() || now - since >= TAKEOVER_MS) void this.put(state)
    }
    const excess = stored.slice(0, Math.max(0, stored.length - MAX_RECORD_COUNT))
    if (this.deps.isFirstWriter() && excess.length > 0) void this.remove(excess)
  }

  private async put(state: PartState): Promise<void> {
    const { part } = state
    if (this.writing.has(part)) return
    this.writing.add(part)
    const put = { key: formatPartKey(part), value: formatPart(state) }
    await this.run(state, { conditions: [], puts: [put], removals: [] })
    this.writing.delete(part)
  }

  private async remove(states: readonly PartState[]): Promise<void> {
    const [first] = states
    if (!first) return
    const removals = states.slice(0, 16).map(({ part }) => formatPartKey(part))
    await this.run(first, { conditions: [], puts: [], removals })
  }

  private async run(
    { part }: PartState,
    change: Parameters<StorePort["runTransaction"]>[0],
  ): Promise<void> {
    try {
      await this.deps.store.runTransaction(change, STORE_TIMEOUT_MS)
    } catch (error) {
      this.deps.log.warn({ part, err: describeError(error) }, "state of a request part not written")
    }
  }
}
