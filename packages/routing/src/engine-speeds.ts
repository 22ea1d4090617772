import type { EndpointId, Millis, ServiceName } from "@galenaway/core"

/** What one instance has seen of an engine's speed since its last report. */
export interface SpeedSample {
  /** Mean time between two events of the engine's streams, as a multiple of the service's mean at the same instance. */
  readonly slowdown: number
  /** Number of these times. */
  readonly count: number
}

interface SpeedRow {
  /** Sum and number of the times since the last report. */
  sum: number
  count: number
  /** What the owner has learned from all samples, and their weight. */
  learned: number
  weight: number
  /** What the owner has published; undefined before that. */
  published: number | undefined
}

/** Weight of one time between events in the service's mean. */
const MEAN_SMOOTHING_SHARE = 0.01
/** A pause for a long prompt or a failure counts as at most this multiple of the mean. */
const MAX_TIME_FACTOR = 4
/** The number of times that the first estimate, an engine like the others, stands for. */
const PRIOR_COUNT = 40
/** The weight of earlier samples is limited, so that a changed engine is noticed within some hundred events. */
const MAX_WEIGHT_COUNT = 600
const MIN_SLOWDOWN = 0.25
const MAX_SLOWDOWN = 4
/** A change of this share is worth a message to all instances. */
const PUBLISH_SHARE = 0.15

/**
 * Learns how much longer work takes on each engine than on the others of its service.
 *
 * Load pattern: dozens of instances share dozens of engines of different speeds, so
 * one instance sends each engine a request now and then, too few to learn its speed.
 * Each instance compares the engines by the times between events, its owner merges
 * the samples of all instances, and what it learns is published to all.
 */
export class EngineSpeeds {
  private readonly rows = new Map<EndpointId, SpeedRow>()
  private readonly meanMs = new Map<ServiceName, Millis>()

  /** Records the time between two events of a stream. */
  onEvent(endpoint: EndpointId, service: ServiceName, ms: Millis): void {
    if (ms <= 0) return
    const mean = this.meanMs.get(service) ?? ms
    const limited = Math.min(ms, MAX_TIME_FACTOR * mean)
    this.meanMs.set(service, mean + MEAN_SMOOTHING_SHARE * (limited - mean))
    const row = this.getRow(endpoint)
    row.sum += limited / mean
    row.count++
  }

  /** Returns what was seen of an engine since the last call; undefined if nothing was. */
  takeSample(endpoint: EndpointId): SpeedSample | undefined {
    const row = this.rows.get(endpoint)
    if (!row || row.count === 0) return undefined
    const sample = { slowdown: row.sum / row.count, count: row.count }
    row.sum = 0
    row.count = 0
    return sample
  }

  /** Merges the sample of an instance. Returns whether the result has changed enough to be published. Called by the engine's owner. */
  onSample(endpoint: EndpointId, { slowdown, count }: SpeedSample): boolean {
    const row = this.getRow(endpoint)
    row.weight = Math.min(MAX_WEIGHT_COUNT, row.weight + count)
    row.learned += (Math.min(count, row.weight) / row.weight) * (limit(slowdown) - row.learned)
    return Math.abs(row.learned - (row.published ?? 1)) >= PUBLISH_SHARE * (row.published ?? 1)
  }

  /** Returns what the owner of an engine publishes. */
  getLearned(endpoint: EndpointId): number {
    return this.rows.get(endpoint)?.learned ?? 1
  }

  /** Records what the owner of an engine has published. */
  onPublished(endpoint: EndpointId, slowdown: number): void {
    this.getRow(endpoint).published = limit(slowdown)
  }

  /** Returns how much longer work takes on an engine than on the others, 1 until its owner has published it. */
  getSlowdown(endpoint: EndpointId): number {
    return this.rows.get(endpoint)?.published ?? 1
  }

  /** Removes what was learned of an engine. */
  remove(endpoint: EndpointId): void {
    this.rows.delete(endpoint)
  }

  /** Removes the engines that aren't listed. */
  removeUnlisted(listed: ReadonlySet<EndpointId>): void {
    for (const id of this.rows.keys()) if (!listed.has(id)) this.rows.delete(id)
  }

  private getRow(endpoint: EndpointId): SpeedRow {
    let row = this.rows.get(endpoint)
    if (!row) {
      row = { sum: 0, count: 0, learned: 1, weight: PRIOR_COUNT, published: undefined }
      this.rows.set(endpoint, row)
    }
    return row
  }
}

function limit(slowdown: number): number {
  return Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, slowdown))
}
