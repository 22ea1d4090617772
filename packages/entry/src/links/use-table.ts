import type { AdapterName, EndpointId } from "@galenaway/core"

/** Requests of this instance that use the adapters of one engine, where their number changed. */
export interface EndpointUseChanges {
  readonly endpoint: EndpointId
  readonly adapters: { adapter: AdapterName; inFlight: number }[]
}

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
  takeChanges(): readonly EndpointUseChanges[] {
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
