import { EventEmitter } from "node:events"
import { type Clock, getEra, type ServingConfiguration, type StoreItem } from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import { RouteTable, type VersionTable } from "@galenaway/routing"
import type { CatalogueFormat } from "./format.js"
import { SkipLog } from "./skip-log.js"

interface OperatorCatalogueEvents {
  /** A new configuration is in force. */
  configuration: [ServingConfiguration]
}

/**
 * The configuration and the adapter versions that operators have put in force.
 * A lower configuration version never replaces a higher one.
 */
export class OperatorCatalogue extends EventEmitter<OperatorCatalogueEvents> {
  private routeTable: RouteTable | undefined
  private readonly items = new Map<string, StoreItem>()
  private readonly skipLog: SkipLog

  constructor(
    private readonly format: CatalogueFormat,
    readonly versions: VersionTable,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    super()
    this.skipLog = new SkipLog(log, "operator item skipped")
  }

  /** The routes in force, or undefined before the first configuration. */
  get routes(): RouteTable | undefined {
    return this.routeTable
  }

  /** The configuration version in force, or 0 before the first configuration. */
  get version(): number {
    return this.routeTable?.configuration.version ?? 0
  }

  /** Lists the store items in force, for a peer that can't reach the store. */
  listItems(): readonly StoreItem[] {
    return [...this.items.values()]
  }

  /**
   * Applies an item that an operator wrote. Ignores a revision that isn't newer
   * than the last decoded one of its key in its era; items of two eras are compared
   * by their versions. `source` is logged.
   */
  apply(item: StoreItem, source: string): void {
    const known = this.items.get(item.key)
    const isSameEra = known && getEra(known.revision) === getEra(item.revision)
    if (isSameEra && known.revision >= item.revision) return
    const entry = this.format.readOperatorItem(item)
    switch (entry.kind) {
      case "configuration":
        if (this.isOlder(item.key, entry.configuration.version, this.version)) return
        this.replaceItem(item)
        this.applyConfiguration(entry.configuration, source)
        return
      case "adapter-version":
        if (this.isOlder(item.key, entry.version, this.versions.getNewest(entry.adapter) ?? 0))
          return
        this.replaceItem(item)
        if (this.versions.add(entry.adapter, entry.version, this.clock.now()))
          this.log.info(
            { adapter: entry.adapter, version: entry.version, source },
            "adapter version in force",
          )
        return
      case "foreign":
        this.skipLog.write(item.key, entry.reason)
    }
  }

  private replaceItem(item: StoreItem): void {
    this.items.set(item.key, item)
    this.skipLog.remove(item.key)
  }

  /** Returns whether an item has an older version than the one in force, as in the copy of a restored store. */
  private isOlder(key: string, version: number, inForce: number): boolean {
    if (version >= inForce) return false
    this.skipLog.write(key, `version ${version} is older than ${inForce}, which is in force`)
    return true
  }

  private applyConfiguration(configuration: ServingConfiguration, source: string): void {
    if (configuration.version <= this.version) return
    this.routeTable = new RouteTable(configuration)
    const { version, routes } = configuration
    this.log.info({ version, routes: routes.length, source }, "configuration in force")
    this.emit("configuration", configuration)
  }
}
