import { type Clock, type Millis, type StorePort, type StoreRange, waitFor } from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import { DependencyState } from "./dependency.js"
import type { EndpointDirectory } from "./directory.js"
import type { ReadFreshness } from "./read-freshness.js"

const READ_TIMEOUT_MS = 1000
/** Interval between reads, as a share of the time in which an endpoint's leaving must take effect. A read may be behind for half of that time. */
const POLL_SHARE = 0.25

/**
 * Reads the registrations at a fixed interval. A watch would end with every
 * endpoint's heartbeat and costs ten times as much as stale reads, whose number
 * doesn't depend on how many endpoints write. A stale read that may be too far
 * behind is followed by a linearizable one.
 */
export class DirectoryPoller {
  private readonly abortController = new AbortController()
  private readonly dependency: DependencyState
  private readonly intervalMs: Millis

  constructor(
    private readonly store: StorePort,
    private readonly prefix: string,
    private readonly directory: EndpointDirectory,
    private readonly freshness: ReadFreshness,
    private readonly clock: Clock,
    drainLimitMs: Millis,
    private readonly log: Log,
  ) {
    this.intervalMs = POLL_SHARE * drainLimitMs
    this.dependency = new DependencyState("store-registrations", log)
  }

  /** Starts reading. Runs until `stop` is called. */
  start(): void {
    void this.run()
  }

  /** Stops reading. */
  stop(): void {
    this.abortController.abort()
  }

  private async run(): Promise<void> {
    while (!this.abortController.signal.aborted) {
      await this.read()
      await waitFor(this.intervalMs, this.abortController.signal)
    }
  }

  private async read(): Promise<void> {
    try {
      const { items, revision } = await this.readRecent()
      this.directory.apply(items, revision)
      this.dependency.onSuccess()
    } catch (error) {
      this.directory.onOutage()
      this.dependency.onFailure(error)
    }
  }

  private async readRecent(): Promise<StoreRange> {
    const { freshness } = this
    if (freshness.consistency === "latest") return this.readLatest()
    const range = await this.store.readRange(this.prefix, "stale", READ_TIMEOUT_MS)
    if (freshness.isRecent(range.revision)) return range
    const stated = freshness.newest?.revision
    this.log.debug({ revision: range.revision, stated }, "stale read may be behind, reading again")
    return this.readLatest()
  }

  private async readLatest(): Promise<StoreRange> {
    const at = this.clock.now()
    const range = await this.store.readRange(this.prefix, "latest", READ_TIMEOUT_MS)
    this.freshness.onStated({ revision: range.revision, at })
    return range
  }
}
