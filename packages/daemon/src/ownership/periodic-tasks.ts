import { describeError, type EndpointId, type PlatformPort, waitFor } from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import type { StoredActiveConfiguration } from "../configuration/stored-active-configuration.js"
import type { Dispatcher } from "../router/dispatcher.js"
import type { EndpointViewTable } from "../router/views.js"
import type { Settings } from "../settings.js"
import type { OwnershipDocuments } from "./documents.js"
import type { Membership } from "./membership.js"
import type { OwnedEndpoints } from "./owned.js"
import type { LoadShares } from "./shares.js"

const LISTINGS_INTERVAL_MS = 1000
const SHARE_INTERVAL_MS = 500
const RETRY_INTERVAL_MS = 200
const CONFIGURATION_INTERVAL_MS = 100

/** The dependencies of {@link PeriodicTasks}. */
export interface PeriodicTasksDependencies {
  readonly settings: Settings
  readonly platform: PlatformPort
  readonly activeConfiguration: StoredActiveConfiguration
  readonly documents: OwnershipDocuments
  readonly membership: Membership
  readonly owned: OwnedEndpoints
  readonly shares: LoadShares
  readonly dispatcher: Dispatcher
  readonly views: EndpointViewTable
  readonly log: Log
}

/**
 * Runs the periodic work of an instance: platform listings, configuration, load
 * share and message retries.
 */
export class PeriodicTasks {
  private readonly stopped = new AbortController()
  private appliedRevision = -1

  constructor(private readonly deps: PeriodicTasksDependencies) {}

  /** Starts all tasks. */
  start(): void {
    void this.runPeriodically(LISTINGS_INTERVAL_MS, () => this.refreshListings())
    void this.runPeriodically(SHARE_INTERVAL_MS, () => {
      this.updateShare()
    })
    void this.runPeriodically(CONFIGURATION_INTERVAL_MS, () => {
      this.applyConfiguration()
    })
    void this.runPeriodically(RETRY_INTERVAL_MS, () => {
      this.deps.owned.retryPending()
    })
  }

  /** Stops all tasks after their current run. */
  stop(): void {
    this.stopped.abort()
  }

  /**
   * Recomputes this instance's share of the weight store's load budget. Also
   * called when an ownership changes.
   */
  updateShare(): void {
    const { documents, shares, dispatcher, activeConfiguration } = this.deps
    if (documents.isPlatformReachable)
      for (const document of documents.list()) shares.handleDocument(document)
    dispatcher.setLoadShare(shares.computeShare(activeConfiguration.getPolicy().loads))
  }

  private async runPeriodically(
    intervalMs: number,
    run: () => Promise<void> | void,
  ): Promise<void> {
    const { signal } = this.stopped
    while (!signal.aborted) {
      await run()
      await waitFor(intervalMs, signal)
    }
  }

  /** Reads the platform's listings of instances and endpoints. */
  private async refreshListings(): Promise<void> {
    const { platform, membership, views, log } = this.deps
    try {
      const listings = await platform.list()
      membership.handleListings(listings)
      this.updatePhases(views.handleListings(listings))
    } catch (error) {
      log.debug({ step: "platform", error: describeError(error) }, "platform listings not read")
    }
  }

  /** Applies a changed configuration: the policy of this data centre, and the drains. */
  private applyConfiguration(): void {
    const { activeConfiguration, settings, dispatcher, views, membership } = this.deps
    if (activeConfiguration.revision === this.appliedRevision) return
    this.appliedRevision = activeConfiguration.revision
    dispatcher.setPolicy(activeConfiguration.getPolicy({ dataCentre: settings.dataCentre }))
    const { drains } = activeConfiguration.stored.configuration
    const drained = drains.filter((drain) => drain.kind === "endpoint").map((drain) => drain.id)
    this.updatePhases(views.setDraining(new Set(drained)))
    membership.setDrained(activeConfiguration.isDrained("instance", settings.id))
  }

  private updatePhases(endpoints: readonly EndpointId[]): void {
    const { dispatcher, views } = this.deps
    for (const endpoint of endpoints) dispatcher.setPhase(endpoint, views.getPhase(endpoint))
  }
}
