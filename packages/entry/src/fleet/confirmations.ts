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
export interface ToldOwners {
  readonly from: InstanceId
  readonly ageMs: Millis
  /** That instance can't reach the store any more. */
  readonly isStoreLost: boolean
  readonly owners: ReadonlyMap<EndpointId, OwnerRecord>
}

/** What confirmations rest on. */
export interface ConfirmationParts {
  readonly store: StorePort
  readonly authority: OrderAuthority
  readonly suspension: SuspensionDetector
  readonly clock: Clock
  readonly log: Log
  readonly dependency: DependencyState
  /** Asks the other instances for the owner records that they know. */
  askOwners(): Promise<readonly ToldOwners[]>
  /** Lists the other instances that were listed last. */
  listOthers(): readonly InstanceId[]
  /** Takes the records of a read, and the endpoints that were lost by it. */
  onConfirmed(owners: ReadonlyMap<EndpointId, OwnerRecord>, lost: readonly EndpointId[]): void
}

const TICK_MS = 50
/** How often the records are confirmed, as a share of the time that a confirmation counts. */
const CONFIRM_SHARE = 0.5
/** A read that takes longer is asked of peers. */
const READ_TIMEOUT_MS = 350

/** Keeps this instance's authority to order its engines confirmed: by reads of the store, else by its peers. */
export class Confirmations {
  private readonly abort = new AbortController()
  private sentAt: Millis = -Infinity
  private isUnderWay = false
  private readAt: Millis | undefined

  constructor(
    private readonly self: InstanceId,
    private readonly parts: ConfirmationParts,
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
    if (!this.parts.suspension.check()) return
    this.parts.authority.suspend()
    this.parts.log.warn("process may have stood still, confirming ownership first")
    void this.confirm()
  }

  /** Returns what another instance may be told. */
  tell(owners: ReadonlyMap<EndpointId, OwnerRecord>): ToldOwners | undefined {
    if (this.readAt === undefined) return undefined
    const { clock, dependency } = this.parts
    const ageMs = clock.now() - this.readAt
    return { from: this.self, ageMs, isStoreLost: dependency.isLost, owners }
  }

  /** Confirms now, unless that is under way. */
  async confirm(): Promise<void> {
    if (this.isUnderWay) return
    this.isUnderWay = true
    this.sentAt = this.parts.clock.now()
    try {
      await this.confirmByStore(this.sentAt)
    } catch (error) {
      this.parts.dependency.onFailure(error)
      await this.confirmByPeers()
    } finally {
      this.isUnderWay = false
    }
  }

  private async run(): Promise<void> {
    const { authority, clock } = this.parts
    const interval = authority.times.confirmationValidMs * CONFIRM_SHARE
    while (!this.abort.signal.aborted) {
      this.checkSuspension()
      const isDue = clock.now() - this.sentAt >= interval
      if (isDue && authority.listEndpoints().length > 0) void this.confirm()
      await waitFor(TICK_MS, this.abort.signal)
    }
  }

  private async confirmByStore(sentAt: Millis): Promise<void> {
    const { store, authority, dependency } = this.parts
    const range = await store.readRange(OWNER_PREFIX, "latest", READ_TIMEOUT_MS)
    if (this.hasStoodStill()) return
    const { owners } = parseFleetRecords(range.items)
    this.readAt = sentAt
    dependency.onSuccess()
    this.parts.onConfirmed(owners, authority.confirm(owners, sentAt))
  }

  /** While the store can't be reached, another instance's read of it is as good as an own one. */
  private async confirmByPeers(): Promise<void> {
    const { authority, clock, log } = this.parts
    const askedAt = clock.now()
    const told = await this.parts.askOwners()
    if (this.hasStoodStill()) return
    const readers = told.filter(({ isStoreLost }) => !isStoreLost)
    for (const { ageMs, owners } of readers) authority.confirmByPeer(owners, askedAt - ageMs)
    if (!this.areAllCutOff(told)) return
    const records = told.map(({ owners }) => owners)
    if (!authority.confirmInOutage(records, askedAt)) log.warn("a peer knows a newer owner")
  }

  /** An answer that came after a pause proves nothing; the next confirmation is due at once. */
  private hasStoodStill(): boolean {
    if (!this.parts.suspension.check()) return false
    this.parts.authority.suspend()
    this.sentAt = -Infinity
    return true
  }

  /** Whether every other instance that was listed last has said that it can't reach the store. */
  private areAllCutOff(told: readonly ToldOwners[]): boolean {
    const cutOff = new Set(told.filter(({ isStoreLost }) => isStoreLost).map(({ from }) => from))
    return this.parts.listOthers().every((id) => cutOff.has(id))
  }
}
