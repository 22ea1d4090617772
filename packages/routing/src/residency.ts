import type { AdapterName, AdapterVersion, EndpointId, HeldAdapter, Millis } from "@galenaway/core"

/** Where knowledge of an engine's holdings comes from; an owner's word goes before a registration. */
export type ResidencySource = "owner" | "registration"

/** What one instance believes that an engine holds. */
export interface EngineContents {
  readonly endpoint: EndpointId
  readonly source: ResidencySource
  readonly models: ReadonlySet<string>
  readonly adapters: ReadonlyMap<AdapterName, AdapterVersion>
  readonly updatedAt: Millis
}

/** Owners' news older than this gives way to a registration. */
const OWNER_UPDATE_LIFETIME_MS = 3000

/** What one instance believes that each engine holds. */
export class Residency {
  private readonly contents = new Map<EndpointId, EngineContents>()
  private readonly holders = new Map<AdapterName, Set<EndpointId>>()

  /** Takes what an owner or a registration says of an engine. */
  update(
    endpoint: EndpointId,
    source: ResidencySource,
    models: readonly string[],
    adapters: readonly HeldAdapter[],
    now: Millis,
  ): void {
    const known = this.contents.get(endpoint)
    const isNewsFresh =
      known?.source === "owner" && now - known.updatedAt < OWNER_UPDATE_LIFETIME_MS
    if (source === "registration" && isNewsFresh) return
    this.setContents({
      endpoint,
      source,
      models: new Set(models),
      adapters: new Map(adapters.map(({ adapter, version }) => [adapter, version])),
      updatedAt: now,
    })
  }

  /** Lists the engines that hold an adapter, in any version. */
  listHolders(adapter: AdapterName): readonly EndpointId[] {
    return [...(this.holders.get(adapter) ?? [])]
  }

  /** Notes that an owner still vouches for what it told of an engine. */
  confirm(endpoint: EndpointId, now: Millis): void {
    const view = this.contents.get(endpoint)
    if (view?.source === "owner") this.contents.set(endpoint, { ...view, updatedAt: now })
  }

  /** Notes that an engine holds an adapter. */
  add(endpoint: EndpointId, adapter: AdapterName, version: AdapterVersion): void {
    const view = this.contents.get(endpoint)
    if (!view) return
    this.setContents({ ...view, adapters: new Map(view.adapters).set(adapter, version) })
  }

  /** Notes that an engine turned a request away because it doesn't hold the adapter. */
  remove(endpoint: EndpointId, adapter: AdapterName): void {
    const view = this.contents.get(endpoint)
    if (!view?.adapters.has(adapter)) return
    const adapters = new Map(view.adapters)
    adapters.delete(adapter)
    this.setContents({ ...view, adapters })
  }

  /** Returns what is believed of an engine. */
  getContents(endpoint: EndpointId): EngineContents | undefined {
    return this.contents.get(endpoint)
  }

  /** Forgets engines that are gone. */
  removeUnlisted(listed: ReadonlySet<EndpointId>): void {
    for (const id of this.contents.keys()) if (!listed.has(id)) this.reset(id)
  }

  /** Forgets what an engine held, since it has started anew. */
  reset(endpoint: EndpointId): void {
    this.removeHolder(endpoint)
    this.contents.delete(endpoint)
  }

  private setContents(view: EngineContents): void {
    const { endpoint, adapters } = view
    this.removeHolder(endpoint)
    this.contents.set(endpoint, view)
    for (const adapter of adapters.keys()) {
      const holders = this.holders.get(adapter)
      if (holders) holders.add(endpoint)
      else this.holders.set(adapter, new Set([endpoint]))
    }
  }

  private removeHolder(endpoint: EndpointId): void {
    for (const adapter of this.contents.get(endpoint)?.adapters.keys() ?? []) {
      const holders = this.holders.get(adapter)
      holders?.delete(endpoint)
      if (holders?.size === 0) this.holders.delete(adapter)
    }
  }
}
