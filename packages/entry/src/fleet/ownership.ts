import { EventEmitter, once } from "node:events"
import {
  type OrderAuthority,
  type OwnedEndpoint,
  type OwnerRecord,
  type OwnershipClaim,
  planClaims,
  planHandovers,
  type SuspensionDetector,
} from "@galenaway/coordination"
import {
  type Clock,
  type EndpointId,
  getEra,
  type InstanceId,
  type Millis,
  type ReadConsistency,
  type StorePort,
  waitFor,
} from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import type { PartState } from "@galenaway/routing"
import { DependencyState } from "../catalogue/dependency.js"
import type { StatedRevision } from "../catalogue/read-freshness.js"
import { SkipLog } from "../catalogue/skip-log.js"
import { InstanceTable } from "./instance-table.js"
import { OwnerRecords } from "./owner-records.js"
import { OwnershipConfirmer, type OwnerReport } from "./ownership-confirmer.js"
import {
  FLEET_PREFIX,
  formatOwner,
  formatOwnerKey,
  parseFleetRecords,
  type RegisteredInstance,
} from "./records.js"

interface OwnershipEvents {
  /** Emitted after the instances and owners were read. */
  read: []
  /** Emitted when this instance has become the owner of an engine. */
  gained: [EndpointId]
  /** Emitted when this instance is no longer the owner of an engine. */
  lost: [EndpointId]
}

/** The dependencies of {@link Ownership}. */
export interface OwnershipDependencies {
  readonly store: StorePort
  readonly authority: OrderAuthority
  readonly suspension: SuspensionDetector
  readonly clock: Clock
  readonly log: Log
  /** Lists the engines that need an owner. */
  listEngines(): readonly OwnedEndpoint[]
  /** Returns whether an instance has recently sent a message to this one, even if it can't reach the store. */
  isAlive(id: InstanceId): boolean
  /** Fetches the owner records of the other instances. Instances that don't answer are omitted. */
  fetchOwnerReports(): Promise<readonly OwnerReport[]>
  /** Returns how consistent a regular read must be. */
  getReadConsistency(): ReadConsistency
  /** Called with the revision that a linearizable read has stated, and the time at which it was sent. */
  onStated(state: StatedRevision): void
  /** Called after each read with the stored states of prompt parts. */
  onParts(parts: readonly PartState[]): void
  /** Called after each read with whether the registration of this process was listed. */
  onListed(isListed: boolean): void
}

const POLL_MS = 500
/** Interval between the reads of an instance that owns no engine: it only has to find new owners. */
const FOLLOWER_POLL_MS = 1000
const STORE_TIMEOUT_MS = 700
/** During this time a new process claims only engines that this instance owned before, so that all instances can register first. */
const STARTUP_DELAY_MS = 2500
const UNREADABLE_REASON = "the key is unknown, or the value can't be parsed"
/** Limit on the claims that are written in one transaction. */
const MAX_CLAIMS_PER_TRANSACTION = 15

/** Claims engines for this instance and keeps its authority to send orders to them confirmed. */
export class Ownership extends EventEmitter<OwnershipEvents> {
  private readonly abort = new AbortController()
  /** Aborted to end the wait for the next poll early. */
  private wake = new AbortController()
  private readonly dependency: DependencyState
  private readonly skipLog: SkipLog
  private readonly confirmer: OwnershipConfirmer
  private readonly startedAt: Millis
  private isStopping = false
  private isClaimingAgain = false
  private listRevision = 0
  private readonly table: InstanceTable
  private readonly records = new OwnerRecords()
  /** Time at which the store's current era was first seen. */
  private eraSeenAt: Millis = -Infinity
  /** Whether the store was restored since this process started. */
  private hasSeenRestore = false

  constructor(
    private readonly self: RegisteredInstance,
    private readonly deps: OwnershipDependencies,
  ) {
    super()
    this.startedAt = deps.clock.now()
    this.table = new InstanceTable(self, deps.clock, (id) => deps.isAlive(id))
    this.dependency = new DependencyState("store-ownership", deps.log)
    this.skipLog = new SkipLog(deps.log, "unreadable fleet item skipped")
    this.confirmer = new OwnershipConfirmer(self.id, {
      ...deps,
      dependency: this.dependency,
      listOthers: () => this.listOthers(),
      onEra: (era) => {
        this.onEra(era)
      },
      onConfirmed: (owners, lost) => {
        this.mergeRecords(owners)
        for (const endpoint of lost) this.notifyLost(endpoint)
        void this.claimAgain()
      },
    })
    deps.store.onRestore(() => {
      void this.confirmer.confirm()
      this.readNow()
    })
  }

  /** The instances that the last read showed. */
  get instances(): ReadonlyMap<InstanceId, RegisteredInstance> {
    return this.table.all
  }

  /** Finds the instance that is recorded as an engine's owner. Returns undefined if there is none or it is gone. */
  findOwner(endpoint: EndpointId): RegisteredInstance | undefined {
    const record = this.records.find(endpoint)
    return record && this.table.find(record.owner)
  }

  /** Lists the instances that are recorded as owners of engines. */
  listOwners(): ReadonlyMap<InstanceId, RegisteredInstance> {
    const owners = new Map<InstanceId, RegisteredInstance>()
    for (const { owner } of this.records.all.values()) {
      const instance = owners.has(owner) ? undefined : this.table.find(owner)
      if (instance) owners.set(owner, instance)
    }
    return owners
  }

  /** Returns the report of the last linearizable read for the peers; undefined before the first successful read. */
  getOwnerReport(): OwnerReport | undefined {
    const own = this.listOwnRecords()
    return this.confirmer.getReport(this.records.listValid(own), this.records.era)
  }

  /** Returns the fencing token for an order, or undefined if this instance may not send orders to the engine now. */
  getToken(endpoint: EndpointId): number | undefined {
    this.confirmer.checkSuspension()
    return this.deps.authority.getToken(endpoint, this.deps.clock.now())
  }

  /** Starts reading, claiming and confirming. It continues until `stop` is called. */
  start(): void {
    void this.runPoll()
    this.confirmer.start()
  }

  /**
   * Hands all engines over to other instances and stops sending orders to them.
   * Keeps the engines while no other instance can take them: while the store
   * can't be reached, and while all others are stopping too. Resolves when none is
   * left, or after `stop`. Throws a PlatformError if a claim can't be written.
   */
  async handOver(): Promise<void> {
    this.isStopping = true
    while (!this.abort.signal.aborted) {
      if (!this.dependency.isLost) await this.writeHandovers()
      if (this.deps.authority.listEndpoints().length === 0) return
      await this.waitForRead()
    }
  }

  private async writeHandovers(): Promise<void> {
    const { authority, clock, log } = this.deps
    // A record of an earlier era can't be handed over; it is claimed anew.
    for (const endpoint of authority.listFrozen()) this.release(endpoint)
    const records = new Map(this.listOwnRecords().map((record) => [record.endpoint, record]))
    const instances = [...this.table.all.values()]
    const claims = planHandovers(this.self, instances, this.deps.listEngines(), records)
    const isActive = ({ endpoint }: OwnershipClaim) => authority.isActive(endpoint, clock.now())
    const active = claims.filter(isActive)
    const waiting = claims.filter((claim) => !isActive(claim))
    // The next owner of an active engine may send orders as soon as the claim is written.
    for (const { endpoint } of claims) this.release(endpoint)
    await this.writeInParts(active, true)
    // That of another one waits for as long as a new owner, since the one before this instance may still send orders.
    await this.writeInParts(waiting, false)
    log.info({ engines: claims.length, kept: records.size - claims.length }, "engines handed over")
  }

  /** Waits until the instances and owners are read again, or until `stop` is called. */
  private async waitForRead(): Promise<void> {
    try {
      await once(this, "read", { signal: this.abort.signal })
    } catch (error) {
      if (!this.abort.signal.aborted) throw error
    }
  }

  /** Stops reading, claiming and confirming. */
  stop(): void {
    this.abort.abort()
    this.confirmer.stop()
  }

  /** Starts the next read and claims immediately instead of after the interval. */
  readNow(): void {
    this.wake.abort()
  }

  private async runPoll(): Promise<void> {
    while (!this.abort.signal.aborted) {
      this.wake = new AbortController()
      try {
        await this.poll()
        this.dependency.onSuccess()
      } catch (error) {
        this.dependency.onFailure(error)
      }
      const isOwner = this.deps.authority.listEndpoints().length > 0
      const pollMs = isOwner ? POLL_MS : FOLLOWER_POLL_MS
      await waitFor(pollMs, AbortSignal.any([this.abort.signal, this.wake.signal]))
    }
  }

  private async poll(): Promise<void> {
    const consistency = this.deps.getReadConsistency()
    const range = await this.deps.store.readRange(FLEET_PREFIX, consistency, STORE_TIMEOUT_MS)
    if (range.revision < this.listRevision) return
    this.listRevision = range.revision
    this.onEra(getEra(range.revision))
    const { instances, owners, parts, unreadable } = parseFleetRecords(range.items)
    for (const key of unreadable) this.skipLog.write(key, UNREADABLE_REASON)
    this.table.replace(instances)
    this.mergeRecords(owners)
    this.deps.onParts(parts)
    this.deps.onListed(instances.get(this.self.id)?.incarnation === this.self.incarnation)
    this.emit("read")
    await this.claim()
  }

  private mergeRecords(owners: ReadonlyMap<EndpointId, OwnerRecord>): void {
    this.records.merge(owners, this.listOwnRecords())
    this.acquireHandedOver()
  }

  private listOwnRecords(): readonly OwnerRecord[] {
    const { authority } = this.deps
    return authority.listEndpoints().flatMap((endpoint) => authority.getRecord(endpoint) ?? [])
  }

  /** Handles the era of a read. In a later one, this instance's own engines must be claimed again. */
  private onEra(era: number): void {
    if (era <= this.records.era && this.eraSeenAt > -Infinity) return
    const { authority, clock, log } = this.deps
    const isRestored = this.eraSeenAt > -Infinity
    const engines = authority.listEndpoints().length
    if (isRestored)
      log.warn({ era, before: this.records.era, engines }, "store restored from a copy")
    this.hasSeenRestore ||= isRestored
    this.eraSeenAt = clock.now()
    this.records.startEra(era)
    authority.freezeEarlier(era)
  }

  /** Time from which no permission of an earlier era is left. */
  private get settledAt(): Millis {
    return this.eraSeenAt + this.deps.authority.times.takeOverMs
  }

  /** Lists the other instances, after a restore also those whose registrations may be lost. */
  private listOthers(): readonly InstanceId[] {
    const isSettled = !this.hasSeenRestore || this.deps.clock.now() >= this.settledAt
    return this.table.listOthers(!isSettled)
  }

  /** Claims the engines again whose claims the restored store may have lost. */
  private async claimAgain(): Promise<void> {
    const { authority, log } = this.deps
    const endpoints = authority.listFrozen()
    if (endpoints.length === 0 || this.isClaimingAgain) return
    if (this.isStopping) {
      for (const endpoint of endpoints) this.release(endpoint)
      return
    }
    this.isClaimingAgain = true
    const claims = endpoints
      .map((endpoint) => ({ endpoint, owner: this.self, before: this.records.find(endpoint) }))
      .filter((claim) => isReplaceable(claim))
    try {
      await this.writeInParts(claims, false)
    } catch (error) {
      log.info({ engines: claims.length, err: error }, "engines not claimed again")
    }
    this.isClaimingAgain = false
  }

  /** Acquires the engines that a stopping instance has handed over to this one. */
  private acquireHandedOver(): void {
    const { authority, clock, log } = this.deps
    if (this.isStopping) return
    for (const [endpoint, record] of this.records.all) {
      const isOwn = record.owner === this.self.id && record.incarnation === this.self.incarnation
      if (
        !isOwn ||
        record.isRestored ||
        authority.getRecord(endpoint)?.revision === record.revision
      )
        continue
      authority.add(record, record.isHandedOver, clock.now())
      log.info({ endpoint, token: record.revision }, "engine taken over from a stopping instance")
      this.emit("gained", endpoint)
    }
    this.confirmer.confirmIfDue()
  }

  private async claim(): Promise<void> {
    if (this.isStopping) return
    const engines = this.deps.listEngines()
    const claims = planClaims(
      this.self,
      this.table.listLive(this.records.all.values()),
      engines,
      this.records.all,
    )
    const allowed = claims.filter((claim) => this.canClaim(claim))
    await this.writeInParts(allowed, false)
  }

  private async writeInParts(
    claims: readonly OwnershipClaim[],
    isHandedOver: boolean,
  ): Promise<void> {
    for (let start = 0; start < claims.length; start += MAX_CLAIMS_PER_TRANSACTION)
      await this.writeClaims(claims.slice(start, start + MAX_CLAIMS_PER_TRANSACTION), isHandedOver)
  }

  private canClaim(claim: OwnershipClaim): boolean {
    const { before } = claim
    if (!isReplaceable(claim)) return false
    const now = this.deps.clock.now()
    // After a restore, owners first claim their engines again.
    const isOwnersTurn = this.hasSeenRestore && now - this.eraSeenAt < STARTUP_DELAY_MS
    if (isOwnersTurn && (before === undefined || before.isRestored)) return false
    return now - this.startedAt >= STARTUP_DELAY_MS || before?.owner === this.self.id
  }

  private async writeClaims(claims: readonly OwnershipClaim[], isHandedOver: boolean) {
    const { store, log } = this.deps
    const { era } = this.records
    const result = await store.runTransaction(
      {
        conditions: claims.map(({ endpoint, before }) => ({
          key: formatOwnerKey(endpoint),
          revision: before?.revision ?? 0,
        })),
        puts: claims.map(({ endpoint, owner }) => ({
          key: formatOwnerKey(endpoint),
          value: formatOwner(owner, isHandedOver, era),
        })),
        removals: [],
      },
      STORE_TIMEOUT_MS,
    )
    if (result.kind === "done" && getEra(result.revision) === era)
      this.applyClaims(claims, result.revision, isHandedOver)
    else {
      log.info(
        { engines: claims.length },
        "claims rejected, an owner record was changed by another instance or the store restored",
      )
      await this.confirmer.confirm()
    }
  }

  private applyClaims(
    claims: readonly OwnershipClaim[],
    revision: number,
    isHandedOver: boolean,
  ): void {
    const { authority, clock, log } = this.deps
    const frozen = new Set(authority.listFrozen())
    for (const { endpoint, owner, before } of claims) {
      const { id, incarnation } = owner
      const base = { endpoint, owner: id, incarnation, revision }
      const record: OwnerRecord = { ...base, isHandedOver, isRestored: false }
      this.records.set(record)
      if (id !== this.self.id) continue
      const from = before?.owner ?? "nobody"
      if (frozen.has(endpoint)) {
        authority.renew(record, this.settledAt, clock.now())
        log.info({ endpoint, token: revision, from }, "engine claimed again after a restore")
        continue
      }
      const activeFrom = this.getActiveFrom(before)
      authority.addFrom(record, activeFrom)
      const canOrderInMs = Math.round(Math.max(0, activeFrom - clock.now()))
      log.info({ endpoint, token: revision, from, canOrderInMs }, "engine claimed")
      this.emit("gained", endpoint)
    }
  }

  /** Returns from when on this instance may send orders to an engine that it claims now. */
  private getActiveFrom(before: OwnerRecord | undefined): Millis {
    const { clock, authority } = this.deps
    const now = clock.now()
    // Without a valid record, an owner of an earlier era is the only one that may still send orders.
    if (before === undefined || before.isRestored) return Math.max(now, this.settledAt)
    return before.owner === this.self.id ? now : now + authority.times.takeOverMs
  }

  private release(endpoint: EndpointId): void {
    this.deps.authority.remove(endpoint)
    this.emit("lost", endpoint)
  }

  private notifyLost(endpoint: EndpointId): void {
    const owner = this.records.find(endpoint)?.owner ?? "nobody"
    this.deps.log.warn({ endpoint, owner }, "engine lost to another owner")
    this.emit("lost", endpoint)
  }
}

/** Returns whether a claim can be written. A record whose revision can't be read can't be replaced, and would fail the claims beside it. */
function isReplaceable({ before }: OwnershipClaim): boolean {
  return before?.revision !== 0
}
