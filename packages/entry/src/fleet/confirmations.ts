import type { OrderAuthority, OwnerRecord, SuspensionDetector } from "@galenaway/coordination"
import {
  type Clock,
  type EndpointId,
  type InstanceId,
  type Millis,
  type StorePort,
  waitFor,
} from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import type { DependencyState } from "../catalogue/dependency.js"
import { OWNER_PREFIX, parseFleetRecords } from "./records.js"

/** Owner records that another instance knows, at least as new as a linearizable read that was sent so long ago. */
export interface OwnerReport {
  readonly from: InstanceId
  readonly ageMs: Millis
  /** That instance can't reach the store any more. */
  readonly isStoreLost: boolean
  readonly owners: ReadonlyMap<EndpointId, OwnerRecord>
}

/** What confirmations rest on. */
export interface ConfirmationDependencies {
  readonly store: StorePort
  readonly authority: OrderAuthority
  readonly suspension: SuspensionDetector
  readonly clock: Clock
  readonly log: Log
  readonly dependency: DependencyState
  /** Asks the other instances for the owner records that they know. */
  fetchOwnerReports(): Promise<readonly OwnerReport[]>
  /** Lists the other instances that were listed last. */
  listOthers(): readonly InstanceId[]
  /** Takes the records of a read, and the endpoints that were lost by it. */
  onConfirmed(owners: ReadonlyMap<EndpointId, OwnerRecord>, lost: readonly EndpointId[]): void
}

const TICK_MS = 50
/** How often the records are confirmed, as a share of the time that a confirmation counts. */
const CONFIRM_INTERVAL_SHARE = 0.5
/** A read that takes longer is asked of peers. */
const READ_TIMEOUT_MS = 350

/** Keeps this instance's authority to order its engines confirmed: by reads of the store, else by its peers. */
export class Confirmations {
  private readonly abort = new AbortController()
  private sentAt: Millis = -Infinity
  private isInProgress = false
  private readAt: Millis | undefined

  constructor(
    private readonly self: InstanceId,
    private readonly deps: ConfirmationDependencies,
  ) {}

  /** Starts confirming; runs until it is stopped. */
  start(): void {
    void this.run()
  }

  /** Stops confirming. */
  stop(): void {
    this.abort.abort()
  }

  /** Withdraws the authority when the process may have stood still, until it is confirmed again. */
  checkSuspension(): void {
    if (!this.deps.suspension.check()) return
    this.deps.authority.suspend()
    this.deps.log.warn("process may have stood still, confirming ownership first")
    void this.confirm()
  }

  /** Returns what another instance may be told. */
  getReport(owners: ReadonlyMap<EndpointId, OwnerRecord>): OwnerReport | undefined {
    if (this.readAt === undefined) return undefined
    const { clock, dependency } = this.deps
    const ageMs = clock.now() - this.readAt
    return { from: this.self, ageMs, isStoreLost: dependency.isLost, owners }
  }

  /** Confirms now, unless that is under way. */
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

  private async run(): Promise<void> {
    const { authority, clock } = this.deps
    const interval = authority.times.confirmedMs * CONFIRM_INTERVAL_SHARE
    while (!this.abort.signal.aborted) {
      this.checkSuspension()
      const isDue = clock.now() - this.sentAt >= interval
      if (isDue && authority.listEndpoints().length > 0) void this.confirm()
      await waitFor(TICK_MS, this.abort.signal)
    }
  }

  private async confirmByStore(sentAt: Millis): Promise<void> {
    const { store, authority, dependency } = this.deps
    const range = await store.readRange(OWNER_PREFIX, "latest", READ_TIMEOUT_MS)
    if (this.rejectIfSuspended()) return
    const { owners } = parseFleetRecords(range.items)
    this.readAt = sentAt
    dependency.onSuccess()
    this.deps.onConfirmed(owners, authority.confirm(owners, sentAt))
  }

  /** While the store can't be reached, another instance's read of it is as good as an own one. */
  private async confirmByPeers(): Promise<void> {
    const { authority, clock, log } = this.deps
    const askedAt = clock.now()
    const told = await this.deps.fetchOwnerReports()
    if (this.rejectIfSuspended()) return
    const readers = told.filter(({ isStoreLost }) => !isStoreLost)
    for (const { ageMs, owners } of readers) authority.confirmByPeer(owners, askedAt - ageMs)
    if (!this.isStoreLostForAll(told)) return
    const records = told.map(({ owners }) => owners)
    if (!authority.confirmInOutage(records, askedAt)) log.warn("a peer knows a newer owner")
  }

  /** An answer that came after a pause proves nothing; the next confirmation is due at once. */
  private rejectIfSuspended(): boolean {
    if (!this.deps.suspension.check()) return false
    this.deps.authority.suspend()
    this.sentAt = -Infinity
    return true
  }

  /** Whether every other instance that was listed last has said that it can't reach the store. */
  private isStoreLostForAll(told: readonly OwnerReport[]): boolean {
    const cutOff = new Set(told.filter(({ isStoreLost }) => isStoreLost).map(({ from }) => from))
    return this.deps.listOthers().every((id) => cutOff.has(id))
  }
}
