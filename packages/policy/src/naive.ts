import type { AdapterKey, EndpointId, EndpointInfo, EngineReport } from "@galenaway/core"

/** The state of one engine as known to the naive router. Its last report doesn't include requests that other instances sent since. */
export interface NaiveEngineState {
  readonly info: EndpointInfo
  isReachable: boolean
  report: EngineReport | undefined
  /** When each resident adapter was last used, in milliseconds, to find the least recently used. */
  readonly lastUsed: Map<AdapterKey, number>
}

/** The naive router's decision for a request. */
export type NaiveDecision =
  | { readonly kind: "use"; readonly endpoint: EndpointId }
  | {
      readonly kind: "load"
      readonly endpoint: EndpointId
      /** The adapter to evict first. Undefined when a slot is free. */
      readonly evict: AdapterKey | undefined
    }
  | { readonly kind: "refuse" }

/**
 * Chooses the least loaded engine that reported the adapter as resident. If there
 * is none, chooses the least loaded of all engines to load the adapter, and evicts the
 * least recently used adapter there unless a slot is free. It is the baseline against
 * which other strategies are measured.
 */
export function chooseNaiveEndpoint(
  rows: Iterable<NaiveEngineState>,
  adapter: AdapterKey,
  now: number,
): NaiveDecision {
  const usable = [...rows].filter((row) => row.isReachable && row.info.kind === "engine")
  const holders = usable.filter((row) => row.lastUsed.has(adapter))
  const row = findLeastLoaded(holders.length > 0 ? holders : usable)
  if (!row) return { kind: "refuse" }
  if (holders.length > 0) {
    row.lastUsed.set(adapter, now)
    return { kind: "use", endpoint: row.info.id }
  }
  const evict = row.lastUsed.size >= row.info.slots ? findLeastRecentlyUsed(row) : undefined
  return { kind: "load", endpoint: row.info.id, evict }
}

function findLeastLoaded(rows: readonly NaiveEngineState[]): NaiveEngineState | undefined {
  let best: NaiveEngineState | undefined
  for (const row of rows) if (!best || getLoad(row) < getLoad(best)) best = row
  return best
}

function getLoad(row: NaiveEngineState): number {
  return (row.report?.running ?? 0) + (row.report?.waiting ?? 0)
}

function findLeastRecentlyUsed(row: NaiveEngineState): AdapterKey | undefined {
  let oldest: AdapterKey | undefined
  let oldestAt = Infinity
  for (const [adapter, usedAt] of row.lastUsed) {
    if (usedAt >= oldestAt) continue
    oldest = adapter
    oldestAt = usedAt
  }
  return oldest
}
