import type { Clock, EndpointId, HeldAdapter, Millis } from "@galenaway/core"
import type { EngineChange, EngineNews } from "../generated/fleet.js"
import type { EngineSnapshot } from "../owner/index.js"

/** A message about an engine: all that it holds, or what has changed since the last message. */
export type EngineMessage =
  | { readonly kind: "complete"; readonly news: EngineNews }
  | { readonly kind: "change"; readonly change: EngineChange }

interface PublishedEngine {
  readonly snapshot: EngineSnapshot
  /** Time at which the followers last received all adapters of the engine. */
  readonly completeAt: Millis
}

/** An engine is sent with all its adapters at least this often, which corrects followers that went astray. */
const COMPLETE_INTERVAL_MS = 5000
const PERCENT = 100

/**
 * The engines as the followers last received them. An update contains only the
 * adapters that were loaded or evicted since, since the whole list, sent to
 * every instance at every load, would be most of the traffic between instances.
 */
export class PublishedEngines {
  private readonly engines = new Map<EndpointId, PublishedEngine>()

  constructor(private readonly clock: Clock) {}

  /** Records that all followers receive a snapshot, and builds its message. */
  publish(snapshot: EngineSnapshot): EngineMessage {
    const previous = this.engines.get(snapshot.endpoint)
    const now = this.clock.now()
    if (!previous || isCompleteNeeded(previous, snapshot, now)) {
      this.engines.set(snapshot.endpoint, { snapshot, completeAt: now })
      return { kind: "complete", news: formatComplete(snapshot) }
    }
    this.engines.set(snapshot.endpoint, { ...previous, snapshot })
    return { kind: "change", change: formatChange(previous.snapshot, snapshot) }
  }

  /** Records that an engine is no longer published. The next message about it is complete. */
  remove(endpoint: EndpointId): void {
    this.engines.delete(endpoint)
  }
}

/** Builds a message with all adapters of an engine. */
export function formatComplete({
  endpoint,
  models,
  adapters,
  slowdown,
}: EngineSnapshot): EngineNews {
  return {
    endpoint,
    models: [...models],
    adapters: adapters.map(({ adapter, version }) => ({ adapter, version })),
    slowdownPercent: Math.round(slowdown * PERCENT),
  }
}

function formatChange(
  previous: EngineSnapshot,
  { endpoint, adapters }: EngineSnapshot,
): EngineChange {
  const before = indexVersions(previous.adapters)
  const after = indexVersions(adapters)
  return {
    endpoint,
    loaded: adapters
      .filter(({ adapter, version }) => before.get(adapter) !== version)
      .map(({ adapter, version }) => ({ adapter, version })),
    evicted: [...before.keys()].filter((adapter) => !after.has(adapter)),
  }
}

function isCompleteNeeded(
  { snapshot, completeAt }: PublishedEngine,
  next: EngineSnapshot,
  now: Millis,
): boolean {
  if (now - completeAt >= COMPLETE_INTERVAL_MS || snapshot.slowdown !== next.slowdown) return true
  return snapshot.models.join() !== next.models.join()
}

function indexVersions(adapters: readonly HeldAdapter[]): ReadonlyMap<string, number> {
  return new Map(adapters.map(({ adapter, version }) => [adapter, version]))
}
