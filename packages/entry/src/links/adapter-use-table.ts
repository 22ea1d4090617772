import type { AdapterName, EndpointId } from "@galenaway/core"

/** The changed numbers of this instance's requests that use the adapters of one engine. */
export interface EndpointUseCounts {
  readonly endpoint: EndpointId
  readonly adapters: { adapter: AdapterName; inFlight: number }[]
}

/** Counts the requests of this instance by engine and adapter. Owners use the counts to evict only adapters that no request uses. */
export class AdapterUseTable {
  private readonly inFlight = new Map<EndpointId, Map<AdapterName, number>>()
  private readonly changed = new Map<EndpointId, Set<AdapterName>>()

  /** Adds a request that is sent to an engine. */
  add(endpoint: EndpointId, adapter: AdapterName): void {
    this.change(endpoint, adapter, 1)
  }

  /** Removes a request that has ended. */
  remove(endpoint: EndpointId, adapter: AdapterName): void {
    this.change(endpoint, adapter, -1)
  }

  /** Returns the counts that changed since the last call, which may be 0. */
  takeChanges(): readonly EndpointUseCounts[] {
    const result = [...this.changed].map(([endpoint, names]) => {
      const counts = this.inFlight.get(endpoint)
      const adapters = [...names].map((adapter) => ({
        adapter,
        inFlight: counts?.get(adapter) ?? 0,
      }))
      return { endpoint, adapters }
    })
    this.changed.clear()
    return result
  }

  private change(endpoint: EndpointId, adapter: AdapterName, by: number): void {
    const counts = this.inFlight.get(endpoint) ?? new Map<AdapterName, number>()
    this.inFlight.set(endpoint, counts)
    const count = Math.max(0, (counts.get(adapter) ?? 0) + by)
    if (count === 0) counts.delete(adapter)
    else counts.set(adapter, count)
    const changed = this.changed.get(endpoint) ?? new Set<AdapterName>()
    this.changed.set(endpoint, changed.add(adapter))
  }
}
