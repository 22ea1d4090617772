import type { AdapterName, EndpointId } from "@galenaway/core"

/** Requests of this instance by engine and adapter; an owner evicts what nobody uses. */
export class UseTable {
  private readonly inFlight = new Map<EndpointId, Map<AdapterName, number>>()
  private readonly changed = new Map<EndpointId, Set<AdapterName>>()

  /** Counts a request that is sent. */
  add(endpoint: EndpointId, adapter: AdapterName): void {
    this.change(endpoint, adapter, 1)
  }

  /** Counts a request that has ended. */
  remove(endpoint: EndpointId, adapter: AdapterName): void {
    this.change(endpoint, adapter, -1)
  }

  /** Takes the counts that changed since the last call. */
  takeChanges(): ReadonlyMap<EndpointId, ReadonlyMap<AdapterName, number>> {
    const result = new Map<EndpointId, ReadonlyMap<AdapterName, number>>()
    for (const [endpoint, adapters] of this.changed) {
      const counts = this.inFlight.get(endpoint)
      result.set(endpoint, new Map([...adapters].map((name) => [name, counts?.get(name) ?? 0])))
    }
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
