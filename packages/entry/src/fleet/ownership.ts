import { EventEmitter, once } from "node:events"
import {
  type LiveInstance,
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
  type InstanceId,
  type Millis,
  type StorePort,
  waitFor,
} from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import type { PartState } from "@galenaway/routing"
import { DependencyState } from "../catalogue/dependency.js"
import { SkipLog } from "../catalogue/skip-log.js"
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
/** An instance whose registration is missing for this time is considered gone. */
const MISSING_TIMEOUT_MS = 350
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
  private readonly seenAt = new Map<InstanceId, Millis>()
  private isStopping = false
  private listRevision = 0
  private instancesById: ReadonlyMap<InstanceId, RegisteredInstance> = new Map()
  /** The last known registration of each instance, including those that are missing now. */
  private readonly lastListed = new Map<InstanceId, RegisteredInstance>()
  private recordsById = new Map<EndpointId, OwnerRecord>()

  constructor(
    private readonly self: RegisteredInstance,
    private readonly deps: OwnershipDependencies,
  ) {
    super()
    this.startedAt = deps.clock.now()
    this.dependency = new DependencyState("store-ownership", deps.log)
    this.skipLog = new SkipLog(deps.log, "unreadable fleet item skipped")
    this.confirmer = new OwnershipConfirmer(self.id, {
      ...deps,
      dependency: this.dependency,
      listOthers: () => [...this.instancesById.keys()].filter((id) => id !== self.id),
      onConfirmed: (owners, lost) => {
        this.mergeRecords(owners)
        for (const endpoint of lost) this.notifyLost(endpoint)
      },
    })
  }

  /** The instances that the last read showed. */
  get instances(): ReadonlyMap<InstanceId, RegisteredInstance> {
    return this.instancesById
  }

  /** Finds the instance that is recorded as an engine's owner. Returns undefined if there is none or it is gone. */
  findOwner(endpoint: EndpointId): RegisteredInstance | undefined {
    const record = this.recordsById.get(endpoint)
    return record && this.findInstance(record.owner)
  }

  /** Lists the instances that are recorded as owners of engines. */
  listOwners(): ReadonlyMap<InstanceId, RegisteredInstance> {
    const owners = new Map<InstanceId, RegisteredInstance>()
    for (const { owner } of this.recordsById.values()) {
      const instance = owners.has(owner) ? undefined : this.findInstance(owner)
      if (instance) owners.set(owner, instance)
    }
    return owners
  }

  /** Returns the report of the last linearizable read for the peers; undefined before the first successful read. */
  getOwnerReport(): OwnerReport | undefined {
    return this.confirmer.getReport(this.recordsById)
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
    const { authority, log } = this.deps
    const records = new Map(
      authority.listEndpoints().flatMap((endpoint) => {
        const record = authority.getRecord(endpoint)
        return record ? [[endpoint, record] as const] : []
      }),
    )
    const instances = [...this.instancesById.values()]
    const claims = planHandovers(this.self, instances, this.deps.listEngines(), records)
    // The next owner may send orders as soon as the claim is written.
    for (const { endpoint } of claims) this.release(endpoint)
    for (let start = 0; start < claims.length; start += MAX_CLAIMS_PER_TRANSACTION)
      await this.writeClaims(claims.slice(start, start + MAX_CLAIMS_PER_TRANSACTION), true)
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
    const range = await this.deps.store.readRange(FLEET_PREFIX, "stale", STORE_TIMEOUT_MS)
    if (range.revision < this.listRevision) return
    this.listRevision = range.revision
    const { instances, owners, parts, unreadable } = parseFleetRecords(range.items)
    for (const key of unreadable) this.skipLog.write(key, UNREADABLE_REASON)
    this.instancesById = instances
    for (const [id, instance] of instances) this.lastListed.set(id, instance)
    this.mergeRecords(owners)
    this.deps.onParts(parts)
    this.deps.onListed(instances.get(this.self.id)?.incarnation === this.self.incarnation)
    this.emit("read")
    await this.claim()
  }

  /** Merges the records of a read with the known ones, since a read may show a record as it was before this process wrote it. */
  private mergeRecords(owners: ReadonlyMap<EndpointId, OwnerRecord>): void {
    const merged = new Map(owners)
    for (const [endpoint, known] of this.recordsById) {
      const read = owners.get(endpoint)
      if (!read || read.revision < known.revision) merged.set(endpoint, known)
    }
    for (const endpoint of this.deps.authority.listEndpoints()) {
      const own = this.deps.authority.getRecord(endpoint)
      const read = merged.get(endpoint)
      if (own && (!read || read.revision < own.revision)) merged.set(endpoint, own)
    }
    this.recordsById = merged
    this.acquireHandedOver()
  }

  /** Acquires the engines that a stopping instance has handed over to this one. */
  private acquireHandedOver(): void {
    const { authority, clock, log } = this.deps
    if (this.isStopping) return
    for (const [endpoint, record] of this.recordsById) {
      const isOwn = record.owner === this.self.id && record.incarnation === this.self.incarnation
      if (!isOwn || authority.getRecord(endpoint)?.revision === record.revision) continue
      authority.add(record, record.isHandedOver, clock.now())
      log.info({ endpoint, token: record.revision }, "engine taken over from a stopping instance")
      this.emit("gained", endpoint)
    }
  }

  private async claim(): Promise<void> {
    if (this.isStopping) return
    const engines = this.deps.listEngines()
    const claims = planClaims(this.self, this.listLive(), engines, this.recordsById)
    const allowed = claims.filter((claim) => this.canClaim(claim))
    for (let start = 0; start < allowed.length; start += MAX_CLAIMS_PER_TRANSACTION)
      await this.writeClaims(allowed.slice(start, start + MAX_CLAIMS_PER_TRANSACTION), false)
  }

  /** Finds an instance that is listed, or that isn't listed but still sends messages. */
  private findInstance(id: InstanceId): RegisteredInstance | undefined {
    const listed = this.instancesById.get(id)
    return listed ?? (this.deps.isAlive(id) ? this.lastListed.get(id) : undefined)
  }

  /** Lists the instances that are listed, were listed until recently, or still send messages. */
  private listLive(): readonly LiveInstance[] {
    const now = this.deps.clock.now()
    for (const id of this.instancesById.keys()) this.seenAt.set(id, now)
    this.seenAt.set(this.self.id, now)
    const missing = [...this.recordsById.values()].flatMap(({ owner, incarnation }) => {
      if (this.instancesById.has(owner) || owner === this.self.id) return []
      const instance = this.findInstance(owner)
      if (instance) return [instance]
      if (!this.seenAt.has(owner)) this.seenAt.set(owner, now)
      const isRecent = now - (this.seenAt.get(owner) ?? now) < MISSING_TIMEOUT_MS
      return isRecent ? [{ id: owner, incarnation, dataCentre: "", isStopping: false }] : []
    })
    // This process is live even if its registration isn't listed yet or is still that of an earlier process.
    const others = [...this.instancesById.values()].filter(({ id }) => id !== this.self.id)
    return [this.self, ...others, ...missing]
  }

  private canClaim({ before }: OwnershipClaim): boolean {
    // A record whose revision can't be read can't be replaced, and would fail the claims beside it.
    if (before?.revision === 0) return false
    const isStartupOver = this.deps.clock.now() - this.startedAt >= STARTUP_DELAY_MS
    return isStartupOver || before?.owner === this.self.id
  }

  private async writeClaims(claims: readonly OwnershipClaim[], isHandedOver: boolean) {
    const { store, log } = this.deps
    const result = await store.runTransaction(
      {
        conditions: claims.map(({ endpoint, before }) => ({
          key: formatOwnerKey(endpoint),
          revision: before?.revision ?? 0,
        })),
        puts: claims.map(({ endpoint, owner }) => ({
          key: formatOwnerKey(endpoint),
          value: formatOwner(owner, isHandedOver),
        })),
        removals: [],
      },
      STORE_TIMEOUT_MS,
    )
    if (result.kind === "done") this.applyClaims(claims, result.revision, isHandedOver)
    else {
      log.info(
        { engines: claims.length },
        "claims rejected, an owner record was changed by another instance",
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
    for (const { endpoint, owner, before } of claims) {
      const record = {
        endpoint,
        owner: owner.id,
        incarnation: owner.incarnation,
        revision,
        isHandedOver,
      }
      this.recordsById.set(endpoint, record)
      if (owner.id !== this.self.id) continue
      const canOrderAtOnce = before === undefined || before.owner === this.self.id
      authority.add(record, canOrderAtOnce, clock.now())
      const from = before?.owner ?? "nobody"
      log.info({ endpoint, token: revision, from, canOrderAtOnce }, "engine claimed")
      this.emit("gained", endpoint)
    }
  }

  private release(endpoint: EndpointId): void {
    this.deps.authority.remove(endpoint)
    this.emit("lost", endpoint)
  }

  private notifyLost(endpoint: EndpointId): void {
    const owner = this.recordsById.get(endpoint)?.owner ?? "nobody"
    this.deps.log.warn({ endpoint, owner }, "engine lost to another owner")
    this.emit("lost", endpoint)
  }
}
