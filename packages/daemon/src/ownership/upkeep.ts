import { describeError, type EndpointId, type PlatformPort, waitFor } from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import type { StoredConfigurationKeeper } from "../configuration/stored.js"
import type { Dispatcher } from "../router/dispatcher.js"
import type { ViewTable } from "../router/views.js"
import type { Settings } from "../settings.js"
import type { OwnershipDocuments } from "./documents.js"
import type { Membership } from "./membership.js"
import type { OwnedEndpoints } from "./owned.js"
import type { LoadShares } from "./shares.js"

const LIST_INTERVAL_MS = 1000
const SHARE_INTERVAL_MS = 500
const RETRY_INTERVAL_MS = 200
const CONFIGURATION_INTERVAL_MS = 100

/** What the upkeep works on. */
export interface UpkeepParts {
  readonly settings: Settings
  readonly platform: PlatformPort
  readonly keeper: StoredConfigurationKeeper
  readonly documents: OwnershipDocuments
  readonly membership: Membership
  readonly owned: OwnedEndpoints
  readonly shares: LoadShares
  readonly dispatcher: Dispatcher
  readonly views: ViewTable
  readonly log: Log
}

/** The work that an instance repeats: the platform's list, the configuration, its load share, unanswered messages. */
export class Upkeep {
  private readonly stopped = new AbortController()
  private appliedRevision = -1

  constructor(private readonly parts: UpkeepParts) {}

  /** Starts to repeat. */
  start(): void {
    void this.repeat(LIST_INTERVAL_MS, () => this.readList())
    void this.repeat(SHARE_INTERVAL_MS, () => {
      this.updateShare()
    })
    void this.repeat(CONFIGURATION_INTERVAL_MS, () => {
      this.applyConfiguration()
    })
    void this.repeat(RETRY_INTERVAL_MS, () => {
      this.parts.owned.retry()
    })
  }

  /** Stops repeating. */
  stop(): void {
    this.stopped.abort()
  }

  /** Recomputes this instance's share of the weight store's budget. It is also called when an ownership changes. */
  updateShare(): void {
    const { documents, shares, dispatcher, keeper } = this.parts
    if (documents.isPlatformUp)
      for (const document of documents.list()) shares.handleDocument(document)
    dispatcher.setLoadShare(shares.compute(keeper.getPolicy().loads))
  }

  private async repeat(intervalMs: number, run: () => Promise<void> | void): Promise<void> {
    const { signal } = this.stopped
    while (!signal.aborted) {
      await run()
      await waitFor(intervalMs, signal)
    }
  }

  /** Reads the platform's list of instances and endpoints. */
  private async readList(): Promise<void> {
    const { platform, membership, views, log } = this.parts
    try {
      const listings = await platform.list()
      membership.handleListings(listings)
      this.handlePhases(views.handleListings(listings))
    } catch (error) {
      log.debug({ step: "platform", error: describeError(error) }, "list-failed")
    }
  }

  /** Puts a changed configuration in force: the policy of this data centre, and drains. */
  private applyConfiguration(): void {
    const { keeper, settings, dispatcher, views, membership } = this.parts
    if (keeper.revision === this.appliedRevision) return
    this.appliedRevision = keeper.revision
    dispatcher.setPolicy(keeper.getPolicy({ dataCentre: settings.dataCentre }))
    const { drains } = keeper.stored.configuration
    const drained = drains.filter((drain) => drain.kind === "endpoint").map((drain) => drain.id)
    this.handlePhases(views.setDraining(new Set(drained)))
    membership.setDrained(keeper.isDrained("instance", settings.id))
  }

  private handlePhases(endpoints: readonly EndpointId[]): void {
    const { dispatcher, views } = this.parts
    for (const endpoint of endpoints) dispatcher.setPhase(endpoint, views.getPhase(endpoint))
  }
}
