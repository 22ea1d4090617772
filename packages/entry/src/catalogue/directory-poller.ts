import { type StorePort, waitFor } from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import { DependencyState } from "./dependency.js"
import type { EndpointDirectory } from "./directory.js"

const INTERVAL_MS = 500
const TIMEOUT_MS = 1000

/**
 * Reads the registrations at a fixed interval. Stale reads cost a tenth of a
 * watch that ends with every endpoint's heartbeat, and their number does not
 * depend on how many endpoints write.
 */
export class DirectoryPoller {
  private readonly abort = new AbortController()
  private readonly dependency: DependencyState

  constructor(
    private readonly store: StorePort,
    private readonly prefix: string,
    private readonly directory: EndpointDirectory,
    log: Log,
  ) {
    this.dependency = new DependencyState("store-registrations", log)
  }

  /** Starts reading; runs until it is stopped. */
  start(): void {
    void this.run()
  }

  /** Stops reading. */
  stop(): void {
    this.abort.abort()
  }

  private async run(): Promise<void> {
    while (!this.abort.signal.aborted) {
      await this.read()
      await waitFor(INTERVAL_MS, this.abort.signal)
    }
  }

  private async read(): Promise<void> {
    try {
      const { items, revision } = await this.store.readRange(this.prefix, "stale", TIMEOUT_MS)
      this.directory.apply(items, revision)
      this.dependency.onSuccess()
    } catch (error) {
      this.directory.onOutage()
      this.dependency.onFailure(error)
    }
  }
}
