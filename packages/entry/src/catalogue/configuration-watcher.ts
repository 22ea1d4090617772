import { type InstanceId, type StoreItem, type StorePort, waitFor } from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import { DependencyState } from "./dependency.js"
import type { CatalogueFormat } from "./format.js"
import type { OperatorCatalogue } from "./operator-catalogue.js"

const READ_TIMEOUT_MS = 1200
/** How long one watch waits; a connection that went silent is noticed after it. */
const WATCH_MS = 2500
const RETRY_MS = 400
/** Shortest time between two attempts to get what a peer has told of. */
const LEARN_PAUSE_MS = 400

/**
 * Keeps the operators' items current: a read, then watches from its revision;
 * a new read after each gap. What a peer knows first is read at once, or taken
 * from that peer while the store can't be reached.
 */
export class ConfigurationWatcher {
  private readonly abort = new AbortController()
  private readonly dependency: DependencyState
  private isLearning = false

  constructor(
    private readonly store: StorePort,
    private readonly format: CatalogueFormat,
    private readonly serving: OperatorCatalogue,
    private readonly log: Log,
    /** Fetches the items that a peer has of the store. Throws a GalenawayError. */
    private readonly fetchFrom: (peer: InstanceId) => Promise<readonly StoreItem[]>,
  ) {
    this.dependency = new DependencyState("store-configuration", log)
  }

  /** Starts watching; runs until it is stopped. */
  start(): void {
    void this.run()
  }

  /** Stops watching. */
  stop(): void {
    this.abort.abort()
  }

  /** Notes a version that a peer has; resolves after what came of a newer one. */
  async onPeerVersion(version: number, peer: InstanceId): Promise<void> {
    if (version <= this.serving.version || this.isLearning) return
    this.isLearning = true
    this.log.info({ version, peer }, "peer has a newer configuration")
    try {
      await this.learn(peer)
    } catch (error) {
      this.log.info({ peer, err: error }, "newer configuration not learned")
    }
    await waitFor(LEARN_PAUSE_MS, this.abort.signal)
    this.isLearning = false
  }

  private async learn(peer: InstanceId): Promise<void> {
    if (!this.dependency.isLost) {
      await this.read()
      return
    }
    for (const item of await this.fetchFrom(peer))
      if (item.key.startsWith(this.format.operatorPrefix)) this.serving.apply(item, `peer ${peer}`)
  }

  private async run(): Promise<void> {
    let revision: number | undefined
    while (!this.abort.signal.aborted) {
      try {
        revision = await this.advance(revision)
        this.dependency.onSuccess()
      } catch (error) {
        this.dependency.onFailure(error)
        revision = undefined
        await waitFor(RETRY_MS, this.abort.signal)
      }
    }
  }

  private async advance(revision: number | undefined): Promise<number | undefined> {
    if (revision === undefined) return this.read()
    const prefix = this.format.operatorPrefix
    const result = await this.store.watchRange(prefix, revision, WATCH_MS)
    if (result.kind === "compacted") {
      this.log.info({ revision }, "watched history is gone, reading again")
      return undefined
    }
    for (const { item } of result.events) if (item) this.serving.apply(item, "watch")
    return Math.max(revision, result.revision)
  }

  private async read(): Promise<number> {
    const range = await this.store.readRange(this.format.operatorPrefix, "latest", READ_TIMEOUT_MS)
    for (const item of range.items) this.serving.apply(item, "read")
    return range.revision
  }
}
