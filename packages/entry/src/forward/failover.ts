import { type Millis, waitFor } from "@galenaway/core"
import type { Destination } from "./answer.js"
import type { DestinationResult } from "./destinations.js"

/** An attempt that may be silent and go on again. */
export interface SilentAttempt {
  /** Whether the endpoint has sent nothing for longer than its timeout. False once the attempt has ended. */
  readonly isSilent: boolean
  /** Ends the attempt as failed. Does nothing after its end. */
  endSilent(): void
}

/** The dependencies of a {@link Failover}. */
export interface FailoverDependencies {
  /** Finds the endpoint that would continue the call. */
  find(): Promise<DestinationResult>
  /** Takes a retry from the retry budget. Returns false if there is none at present. */
  acquireRetry(): boolean
  /** Aborted when the caller closes its connection. */
  readonly disconnectSignal: AbortSignal
  /** Called when a search fails unexpectedly; the attempt then keeps its endpoint. */
  onError(error: unknown): void
}

const SEARCH_INTERVAL_MS: Millis = 100

/**
 * Finds another endpoint for a call whose endpoint is silent. Silence doesn't show
 * that an endpoint has failed, so the attempt continues until the other endpoint
 * can take the call, and keeps its endpoint if it goes on before.
 */
export class Failover {
  private isSearching = false
  /** The attempt that is replaced next; a later one takes the place of an earlier one. */
  private attempt: SilentAttempt | undefined
  private destination: Destination | undefined

  constructor(private readonly deps: FailoverDependencies) {}

  /** Searches until an endpoint is found, and ends the attempt then. Stops when the attempt goes on or ends. A search that runs is continued for the later attempt. Never rejects. */
  async run(attempt: SilentAttempt): Promise<void> {
    this.attempt = attempt
    if (this.isSearching) return
    this.isSearching = true
    try {
      while (this.attempt.isSilent && !this.deps.disconnectSignal.aborted) await this.search()
    } catch (error) {
      this.deps.onError(error)
    } finally {
      this.isSearching = false
    }
  }

  /** Returns the endpoint that was found, once. */
  takeDestination(): Destination | undefined {
    const { destination } = this
    this.destination = undefined
    return destination
  }

  private async search(): Promise<void> {
    const result = await this.deps.find()
    const { attempt } = this
    if (!attempt?.isSilent) return
    if (result.kind === "found" && this.deps.acquireRetry()) {
      this.destination = result.destination
      attempt.endSilent()
      return
    }
    await waitFor(SEARCH_INTERVAL_MS, this.deps.disconnectSignal)
  }
}
