import {
  type InstanceId,
  type StoreItem,
  type StorePort,
  waitFor,
  type WatchResult,
} from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import { DependencyState } from "./dependency.js"
import type { CatalogueFormat } from "./format.js"
import type { OperatorCatalogue } from "./operator-catalogue.js"
import type { ReadFreshness } from "./read-freshness.js"

const READ_TIMEOUT_MS = 1200
/** Timeout of one watch. It also ends one whose connection has stopped responding; meanwhile peers report newer versions. */
const WATCH_TIMEOUT_MS = 10_000
const RETRY_DELAY_MS = 400
/** Delay after fetching a configuration that a peer reported, during which further reports are ignored. */
const FETCH_DELAY_MS = 400

/**
 * Keeps the operators' items up to date. Reads them, then watches for changes
 * after the revision of the read, and reads again after a gap or a failure, or
 * when the store was restored from an older copy.
 * When a peer reports a newer configuration, reads the store at once, or fetches
 * the items from that peer while the store can't be reached.
 */
export class ConfigurationWatcher {
  private readonly abortController = new AbortController()
  private readonly dependency: DependencyState
  private isFetching = false
  /** Aborted when the store was restored, which ends the current watch. */
  private restored = new AbortController()

  constructor(
    private readonly store: StorePort,
    private readonly format: CatalogueFormat,
    private readonly catalogue: OperatorCatalogue,
    private readonly log: Log,
    /** Fetches the store items that a peer has read. Throws a GalenawayError on failure. */
    private readonly fetchFromPeer: (peer: InstanceId) => Promise<readonly StoreItem[]>,
    private readonly freshness: ReadFreshness,
  ) {
    this.dependency = new DependencyState("store-configuration", log)
    store.onRestore(() => {
      freshness.onFault()
      this.restored.abort()
    })
  }

  /** Starts watching. Runs until `stop` is called. */
  start(): void {
    void this.run()
  }

  /** Stops watching. */
  stop(): void {
    this.abortController.abort()
  }

  /**
   * Handles the configuration version of a peer. Fetches a newer one unless a
   * fetch is in progress; resolves after the fetch and its delay. Never rejects.
   */
  async onPeerVersion(version: number, peer: InstanceId): Promise<void> {
    if (version <= this.catalogue.version || this.isFetching) return
    this.isFetching = true
    this.log.info({ version, peer }, "peer has a newer configuration")
    try {
      await this.fetchNewer(peer)
    } catch (error) {
      this.log.info({ peer, err: error }, "fetching the newer configuration failed")
    }
    await waitFor(FETCH_DELAY_MS, this.abortController.signal)
    this.isFetching = false
  }

  private async fetchNewer(peer: InstanceId): Promise<void> {
    const { version } = this.catalogue
    if (!this.dependency.isLost) await this.read()
    // A store that was restored may not have the peer's version yet.
    if (this.catalogue.version > version) return
    for (const item of await this.fetchFromPeer(peer))
      if (item.key.startsWith(this.format.operatorPrefix))
        this.catalogue.apply(item, `peer ${peer}`)
  }

  private async run(): Promise<void> {
    let revision: number | undefined
    while (!this.abortController.signal.aborted) {
      try {
        revision = await this.readNext(revision)
        this.dependency.onSuccess()
      } catch (error) {
        this.dependency.onFailure(error)
        revision = undefined
        await waitFor(RETRY_DELAY_MS, this.abortController.signal)
      }
    }
  }

  private async readNext(revision: number | undefined): Promise<number | undefined> {
    if (revision === undefined) return this.read()
    const prefix = this.format.operatorPrefix
    const watch = this.store.watchRange(prefix, revision, WATCH_TIMEOUT_MS)
    const result = await this.waitForWatch(watch)
    if (result.kind === "compacted") {
      this.freshness.onFault()
      this.log.info({ revision }, "watched revisions were compacted, reading again")
      return undefined
    }
    for (const { item } of result.events) if (item) this.catalogue.apply(item, "watch")
    return Math.max(revision, result.revision)
  }

  /** Waits for the result of a watch. When the store is restored meanwhile, the watched revisions are gone. */
  private async waitForWatch(watch: Promise<WatchResult>): Promise<WatchResult> {
    this.restored = new AbortController()
    const { signal } = this.restored
    const restored = new Promise<WatchResult>((resolve) => {
      signal.addEventListener(
        "abort",
        () => {
          resolve({ kind: "compacted" })
        },
        { once: true },
      )
    })
    return Promise.race([watch, restored])
  }

  private async read(): Promise<number> {
    const range = await this.store.readRange(this.format.operatorPrefix, "latest", READ_TIMEOUT_MS)
    for (const item of range.items) this.catalogue.apply(item, "read")
    return range.revision
  }
}
