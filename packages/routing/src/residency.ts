import type { AdapterName, AdapterVersion, EndpointId, HeldAdapter, Millis } from "@galenaway/core"

/** The source of an engine's contents. An owner's recent update takes precedence over a registration. */
export type ResidencySource = "owner" | "registration"

/** The models and adapters that an engine holds, as last reported to this instance. */
export interface EngineContents {
  readonly endpoint: EndpointId
  readonly source: ResidencySource
  readonly models: ReadonlySet<string>
  readonly adapters: ReadonlyMap<AdapterName, AdapterVersion>
  readonly updatedAt: Millis
}

/** An owner's update older than this is replaced by a registration. */
const OWNER_UPDATE_LIFETIME_MS = 3000

/** The contents of each engine as last reported to one instance, with an index of the holders of each adapter. */
export class Residency {
  private readonly contents = new Map<EndpointId, EngineContents>()
  private readonly holders = new Map<AdapterName, Set<EndpointId>>()

  /** Replaces an engine's contents by an update. Ignores a registration while the owner's last update is recent. */
  update(
    endpoint: EndpointId,
    source: ResidencySource,
    models: readonly string[],
    adapters: readonly HeldAdapter[],
    now: Millis,
  ): void {
    const previous = this.contents.get(endpoint)
    const isOwnerUpdateFresh =
      previous?.source === "owner" && now - previous.updatedAt < OWNER_UPDATE_LIFETIME_MS
    if (source === "registration" && isOwnerUpdateFresh) return
    this.setContents({
      endpoint,
      source,
      models: new Set(models),
      adapters: new Map(adapters.map(({ adapter, version }) => [adapter, version])),
      updatedAt: now,
    })
  }

  /** Applies an owner's changes to its last update: adapters that were loaded and evicted. Has no effect when the contents don't come from the owner. */
  change(
    endpoint: EndpointId,
    loaded: readonly HeldAdapter[],
    evicted: readonly AdapterName[],
    now: Millis,
  ): void {
    const contents = this.contents.get(endpoint)
    if (contents?.source !== "owner") return
    const adapters = new Map(contents.adapters)
    for (const adapter of evicted) adapters.delete(adapter)
    for (const { adapter, version } of loaded) adapters.set(adapter, version)
    this.setContents({ ...contents, adapters, updatedAt: now })
  }

  /** Lists the engines that hold an adapter, in any version. */
  listHolders(adapter: AdapterName): readonly EndpointId[] {
    return [...(this.holders.get(adapter) ?? [])]
  }

  /** Records that an owner confirmed its last update. Has no effect when the contents come from a registration. */
  confirm(endpoint: EndpointId, now: Millis): void {
    const contents = this.contents.get(endpoint)
    if (contents?.source === "owner") this.contents.set(endpoint, { ...contents, updatedAt: now })
  }

  /** Records that an engine holds an adapter. Has no effect on an engine without contents. */
  add(endpoint: EndpointId, adapter: AdapterName, version: AdapterVersion): void {
    const contents = this.contents.get(endpoint)
    if (!contents) return
    this.setContents({ ...contents, adapters: new Map(contents.adapters).set(adapter, version) })
  }

  /** Records that an engine refused a request because it doesn't hold the adapter. */
  remove(endpoint: EndpointId, adapter: AdapterName): void {
    const contents = this.contents.get(endpoint)
    if (!contents?.adapters.has(adapter)) return
    const adapters = new Map(contents.adapters)
    adapters.delete(adapter)
    this.setContents({ ...contents, adapters })
  }

  /** Returns an engine's contents, or undefined when none were reported. */
  getContents(endpoint: EndpointId): EngineContents | undefined {
    return this.contents.get(endpoint)
  }

  /** Removes engines that aren't listed. */
  removeUnlisted(listed: ReadonlySet<EndpointId>): void {
    for (const id of this.contents.keys()) if (!listed.has(id)) this.reset(id)
  }

  /** Removes the contents of an engine that was restarted or is no longer listed. */
  reset(endpoint: EndpointId): void {
    this.removeHolder(endpoint)
    this.contents.delete(endpoint)
  }

  private setContents(contents: EngineContents): void {
    const { endpoint, adapters } = contents
    this.removeHolder(endpoint)
    this.contents.set(endpoint, contents)
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
