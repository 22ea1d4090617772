import { type StorePort, waitFor } from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import { DependencyState } from "./dependency.js"
import type { CatalogueFormat } from "./format.js"
import type { Serving } from "./serving.js"

const READ_TIMEOUT_MS = 1200
/** How long one watch waits; a connection that went silent is noticed after it. */
const WATCH_MS = 2500
const RETRY_MS = 150

/** Keeps the operators' items current: a read, then watches from its revision; a new read after each gap. */
export class ConfigurationWatch {
  private readonly abort = new AbortController()
  private readonly dependency: DependencyState
  private reading: Promise<number> | undefined

  constructor(
    private readonly store: StorePort,
    private readonly format: CatalogueFormat,
    private readonly serving: Serving,
    private readonly log: Log,
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

  /** Reads at once when a peer tells of a newer version. */
  noticeVersion(version: number, peer: string): void {
    if (version <= this.serving.version || this.reading) return
    this.log.info({ version, peer }, "peer has a newer configuration")
    this.read().catch((error: unknown) => {
      this.dependency.onFailure(error)
    })
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

  private read(): Promise<number> {
    this.reading ??= this.readOnce().finally(() => {
      this.reading = undefined
    })
    return this.reading
  }

  private async readOnce(): Promise<number> {
    const range = await this.store.readRange(this.format.operatorPrefix, "latest", READ_TIMEOUT_MS)
    for (const item of range.items) this.serving.apply(item, "read")
    return range.revision
  }
}
