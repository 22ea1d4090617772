import type { Millis } from "@galenaway/core"
import type { PaceEstimator } from "@galenaway/policy"

/** The times of a deployment that placements of model requests are weighed by. */
export interface PlacementCosts {
  /** Cost of a hop to another data centre. */
  readonly hopMs: Millis
  /** Cost of a full batch. Each running request costs its share of it. */
  readonly fullBatchMs: Millis
  /** Cost of a load for the request that waits for it. */
  readonly loadMs: Millis
  /** Cost from which a popular adapter is loaded on another engine too. */
  readonly replicatePopularMs: Millis
  /** Cost from which any adapter is loaded on another engine too, since the wait alone would make a request late. */
  readonly replicateAnyMs: Millis
}

/** The costs until others are learned. */
export const DEFAULT_PLACEMENT_COSTS: PlacementCosts = {
  hopMs: 8,
  fullBatchMs: 30,
  loadMs: 260,
  replicatePopularMs: 50,
  replicateAnyMs: 220,
}

/** Time between two events of a stream for which the default cost of a full batch holds. */
const DEFAULT_EVENT_MS = 40
/** The answer about an adapter that an engine already holds takes less. */
const MIN_LOAD_MS = 20
/** Round trips of a request on a new connection. */
const ROUND_TRIP_COUNT = 2
/** A learned figure replaces its default when it differs by this factor, after this number of measurements. */
const CLEAR_FACTOR = 2
const MIN_MEASUREMENT_COUNT = 4
const MEASUREMENT_COUNT = 16
/** A request that joins a load waits only for the rest of it, so most waits are shorter than the load. */
const LOAD_QUANTILE = 0.8
/** A busy instance delays some of its connections, near ones as much as distant ones. */
const ROUND_TRIP_QUANTILE = 0.5
/** Part of the default cost of a hop that remains where round trips take no time, for the price of the bytes. */
const MIN_HOP_SHARE = 0.5

/** A quantile of the latest measurements. */
class RecentQuantile {
  private readonly latest: Millis[] = []
  private value: Millis | undefined

  constructor(private readonly quantile: number) {}

  record(ms: Millis): void {
    this.latest.push(ms)
    if (this.latest.length > MEASUREMENT_COUNT) this.latest.shift()
    if (this.latest.length < MIN_MEASUREMENT_COUNT) return
    const sorted = [...this.latest].sort((a, b) => a - b)
    this.value = sorted[Math.floor(this.quantile * sorted.length)]
  }

  /** The quantile; undefined until there are enough measurements. */
  get ms(): Millis | undefined {
    return this.value
  }
}

/**
 * Learns the times of one deployment that placements are weighed by.
 *
 * Load pattern: loads, events and hops take several times longer or shorter than the
 * defaults. With the defaults, requests would wait for a busy engine although a load
 * is faster, or cause a load that takes longer than the wait.
 */
export class PlacementCostTable {
  private readonly load = new RecentQuantile(LOAD_QUANTILE)
  private readonly localRoundTrip = new RecentQuantile(ROUND_TRIP_QUANTILE)
  private readonly remoteRoundTrip = new RecentQuantile(ROUND_TRIP_QUANTILE)

  /** Records how long a request waited for an adapter that an owner loaded. A wait that is too short for a load is ignored: the engine held the adapter. */
  recordLoad(ms: Millis): void {
    if (ms >= MIN_LOAD_MS) this.load.record(ms)
  }

  /** Records the time of a round trip within the own data centre or to another one. */
  recordRoundTrip(ms: Millis, isLocal: boolean): void {
    if (isLocal) this.localRoundTrip.record(ms)
    else this.remoteRoundTrip.record(ms)
  }

  /** Time of a round trip to another data centre beyond one in the own. */
  get roundTripMs(): Millis {
    return this.hopMs / ROUND_TRIP_COUNT
  }

  private get hopMs(): Millis {
    const { hopMs } = DEFAULT_PLACEMENT_COSTS
    const { ms: localMs } = this.localRoundTrip
    const { ms: remoteMs } = this.remoteRoundTrip
    if (localMs === undefined || remoteMs === undefined) return hopMs
    const learned = replaceIfClear(ROUND_TRIP_COUNT * Math.max(0, remoteMs - localMs), hopMs)
    return Math.max(MIN_HOP_SHARE * hopMs, learned)
  }

  /** Returns the costs for the engines of a service with the given pace. */
  getCosts(pace: PaceEstimator): PlacementCosts {
    const defaults = DEFAULT_PLACEMENT_COSTS
    // Loads cost more than their time, since they evict other adapters: a faster one isn't cheaper than the default.
    const { ms: learnedLoadMs = defaults.loadMs } = this.load
    const loadMs = Math.max(defaults.loadMs, replaceIfClear(learnedLoadMs, defaults.loadMs))
    const eventMs = replaceIfClear(pace.eventMs, DEFAULT_EVENT_MS)
    // A replica is worth a wait that is a certain part of the load which it takes.
    const loadRatio = loadMs / defaults.loadMs
    return {
      hopMs: this.hopMs,
      fullBatchMs: (defaults.fullBatchMs * eventMs) / DEFAULT_EVENT_MS,
      loadMs,
      replicatePopularMs: defaults.replicatePopularMs * loadRatio,
      replicateAnyMs: defaults.replicateAnyMs * loadRatio,
    }
  }
}

function replaceIfClear(learned: Millis, defaultMs: Millis): Millis {
  const isClear = learned >= CLEAR_FACTOR * defaultMs || CLEAR_FACTOR * learned <= defaultMs
  return isClear ? learned : defaultMs
}
