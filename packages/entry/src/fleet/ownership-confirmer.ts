import type { OrderAuthority, OwnerRecord, SuspensionDetector } from "@galenaway/coordination"
import {
  type Clock,
  type EndpointId,
  getEra,
  type InstanceId,
  type Millis,
  type StorePort,
} from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import type { DependencyState } from "../catalogue/dependency.js"
import type { StatedRevision } from "../catalogue/read-freshness.js"
import { OWNER_PREFIX, parseFleetRecords } from "./records.js"

/** The owner records that an instance has read. They are at least as new as a linearizable read that was sent `ageMs` ago. */
export interface OwnerReport {
  readonly from: InstanceId
  readonly ageMs: Millis
  /** Whether that instance can no longer reach the store. */
  readonly isStoreLost: boolean
  /** The era of the store that it has read last. */
  readonly era: number
  readonly owners: ReadonlyMap<EndpointId, OwnerRecord>
}

/** The dependencies of {@link OwnershipConfirmer}. */
export interface OwnershipConfirmerDependencies {
  readonly store: StorePort
  readonly authority: OrderAuthority
  readonly suspension: SuspensionDetector
  readonly clock: Clock
  readonly log: Log
  readonly dependency: DependencyState
  /** Fetches the owner records of the other instances. Instances that don't answer are omitted. */
  fetchOwnerReports(): Promise<readonly OwnerReport[]>
  /** Lists the other instances that the last read of the store showed. */
  listOthers(): readonly InstanceId[]
  /** Called with the revision that a linearizable read has stated, and the time at which it was sent. */
  onStated(state: StatedRevision): void
  /** Called with the era of the store before owner records of it are applied. */
  onEra(era: number): void
  /** Called with the owner records of a read of the store and the endpoints that this instance no longer owns. */
  onConfirmed(owners: ReadonlyMap<EndpointId, OwnerRecord>, lost: readonly EndpointId[]): void
}

const TICK_MS = 50
/** Interval while no engine is owned, so that nothing has to be confirmed. It is short enough that it doesn't count as a pause. */
const FOLLOWER_TICK_MS = 200
/** Interval between confirmations, as a share of the time for which a confirmation is valid. */
const CONFIRM_INTERVAL_SHARE = 0.5
/** If a read of the store takes longer, the peers are queried instead. */
const READ_TIMEOUT_MS = 350

/**
 * Confirms the authority of this instance to send orders to its engines at
 * regular intervals: by reads of the store or, if these fail, by its peers.
 */
export class OwnershipConfirmer {
  private timer: NodeJS.Timeout | undefined
  private sentAt: Millis = -Infinity
  private isInProgress = false
  private readAt: Millis | undefined

  constructor(
    private readonly self: InstanceId,
    private readonly deps: OwnershipConfirmerDependencies,
  ) {}

  /** Starts confirming. It continues until `stop` is called. */
  start(): void {
    this.checkSuspension()
    this.confirmIfDue()
    this.scheduleNext()
  }

  /** Stops confirming. */
  stop(): void {
    clearTimeout(this.timer)
  }

  private scheduleNext(): void {
    const isOwner = this.deps.authority.listEndpoints().length > 0
    const tickMs = isOwner ? TICK_MS : FOLLOWER_TICK_MS
    this.timer = setTimeout(() => {
      this.start()
    }, tickMs)
  }

  /** Confirms the authority unless it was confirmed recently or no engine is owned. */
  confirmIfDue(): void {
    const { authority, clock } = this.deps
    if (authority.listEndpoints().length === 0) return
    const intervalMs = authority.times.confirmationValidMs * CONFIRM_INTERVAL_SHARE
    if (clock.now() - this.sentAt >= intervalMs) void this.confirm()
  }

  /** If the process may have been suspended, suspends the authority until it is confirmed again. */
  checkSuspension(): void {
    const { suspension, authority, log } = this.deps
    if (!suspension.check()) return
    authority.suspend()
    if (authority.listEndpoints().length === 0) return
    log.warn("process may have stood still, confirming ownership first")
    void this.confirm()
  }

  /** Returns the report of this instance for its peers; undefined before the first successful read. */
  getReport(owners: ReadonlyMap<EndpointId, OwnerRecord>, era: number): OwnerReport | undefined {
    if (this.readAt === undefined) return undefined
    const { clock, dependency } = this.deps
    const ageMs = clock.now() - this.readAt
    return { from: this.self, ageMs, isStoreLost: dependency.isLost, era, owners }
  }

  /** Confirms the authority now. Does nothing if a confirmation is in progress. */
  async confirm(): Promise<void> {
    if (this.isInProgress) return
    this.isInProgress = true
    this.sentAt = this.deps.clock.now()
    try {
      await this.confirmByStore(this.sentAt)
    } catch (error) {
      this.deps.dependency.onFailure(error)
      await this.confirmByPeers()
    } finally {
      this.isInProgress = false
    }
  }

  private async confirmByStore(sentAt: Millis): Promise<void> {
    const { store, authority, dependency } = this.deps
    const range = await store.readRange(OWNER_PREFIX, "latest", READ_TIMEOUT_MS)
    if (this.rejectIfSuspended()) return
    this.deps.onStated({ revision: range.revision, at: sentAt })
    const { owners } = parseFleetRecords(range.items)
    this.deps.onEra(getEra(range.revision))
    this.readAt = sentAt
    dependency.onSuccess()
    this.deps.onConfirmed(owners, authority.confirm(owners, sentAt))
  }

  /** Confirms by the peers' reports while the store can't be reached. A peer's read of the store is as valid as this instance's own. */
  private async confirmByPeers(): Promise<void> {
    const { authority, clock, log } = this.deps
    const queriedAt = clock.now()
    const received = await this.deps.fetchOwnerReports()
    if (this.rejectIfSuspended()) return
    const era = Math.max(...received.map((report) => report.era))
    // What the peers have read of a later era doesn't confirm records of an earlier one.
    authority.freezeEarlier(era)
    const reports = received.filter((report) => report.era === era)
    const withStore = reports.filter(({ isStoreLost }) => !isStoreLost)
    for (const { ageMs, owners } of withStore) authority.confirmByPeer(owners, queriedAt - ageMs)
    if (!this.isStoreLostForAll(reports)) return
    const records = reports.map(({ owners }) => owners)
    if (!authority.confirmInOutage(records, queriedAt)) log.warn("a peer reported a newer owner")
  }

  /**
   * If the process may have been suspended, suspends the authority, makes the next
   * confirmation due and returns true: an answer received after that may be outdated.
   */
  private rejectIfSuspended(): boolean {
    if (!this.deps.suspension.check()) return false
    this.deps.authority.suspend()
    this.sentAt = -Infinity
    return true
  }

  /** Returns whether every other instance of the last read has reported that it can't reach the store. */
  private isStoreLostForAll(reports: readonly OwnerReport[]): boolean {
    const withoutStore = new Set(
      reports.filter(({ isStoreLost }) => isStoreLost).map(({ from }) => from),
    )
    return this.deps.listOthers().every((id) => withoutStore.has(id))
  }
}
