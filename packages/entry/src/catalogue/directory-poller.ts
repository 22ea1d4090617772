import { type Millis, type StorePort, waitFor } from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import { DependencyState } from "./dependency.js"
import type { EndpointDirectory } from "./directory.js"
import type { ReadFreshness } from "./read-freshness.js"

const READ_TIMEOUT_MS = 1000
/** Interval between reads, as a share of the time in which an endpoint's leaving must take effect. A read may be outdated, and another one may fail. */
const POLL_SHARE = 0.25

/**
 * Reads the registrations at a fixed interval. A watch would end with every
 * endpoint's heartbeat and costs ten times as much as stale reads, whose number
 * doesn't depend on how many endpoints write.
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
    drainLimitMs: Millis,
    log: Log,
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
      const { consistency } = this.freshness
      const { items, revision } = await this.store.readRange(
        this.prefix,
        consistency,
        READ_TIMEOUT_MS,
      )
      this.directory.apply(items, revision)
      this.dependency.onSuccess()
    } catch (error) {
      this.directory.onOutage()
      this.dependency.onFailure(error)
    }
  }
}
