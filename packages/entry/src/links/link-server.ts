import {
  type sendUnaryData,
  Server,
  ServerCredentials,
  type ServerDuplexStream,
  type ServerUnaryCall,
  status,
  type UntypedHandleCall,
} from "@grpc/grpc-js"
import { type Clock, describeError, type InstanceId, type StoreItem } from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import type { PartId, PartState } from "@galenaway/routing"
import {
  type AdmitReply,
  type AdmitRequest,
  type CatalogueReply,
  type CatalogueRequest,
  type FleetServer,
  FleetService,
  type FollowerUpdate,
  type LeavingEndpoint,
  type LoadReply,
  type LoadRequest,
  type OwnersReply,
  type OwnersRequest,
  type OwnerUpdate,
  type QuotaReply,
  type QuotaReport,
} from "../generated/fleet.js"
import type { OwnerReport } from "../fleet/ownership-confirmer.js"
import type { AdmissionOutcome, EngineSnapshot, LoadOutcome } from "../owner/index.js"
import { computeBatchIntervalMs } from "./batch-interval.js"
import { type EngineMessage, formatComplete, PublishedEngines } from "./published-engines.js"

/** Handlers for the calls of peers. */
export interface LinkServerHandlers {
  /** Loads an adapter on an owned engine. */
  load(request: LoadRequest): Promise<LoadOutcome>
  /** Waits until an owned engine may read a prompt. */
  admit(request: AdmitRequest, signal: AbortSignal): Promise<AdmissionOutcome>
  /** Handles a report about quotas that this instance may allocate. */
  allocate(report: QuotaReport): QuotaReply
  /** Called for each update that a follower sends. */
  onUpdate(update: FollowerUpdate): void
  /** Lists the states of all known prompt parts, which a new follower receives first. */
  listPartStates(): readonly PartState[]
  /** Lists the prompt parts that may end engines. */
  listSuspects(): readonly PartId[]
  /** Lists the instances that delay their answers, which is sent to followers. */
  listSlow(): readonly InstanceId[]
  /** Lists the endpoints that have begun to leave recently, which a new follower receives first. */
  listLeaving(): readonly LeavingEndpoint[]
  /** Lists the snapshots of all owned engines, which a new follower receives first. */
  listSnapshots(): readonly EngineSnapshot[]
  /** Lists the items of the store that this instance has read. */
  listItems(): readonly StoreItem[]
  /** Returns what this instance knows of the store, which is sent to followers. */
  getStoreNews(): StoreNews
  /** Returns the version of this instance's configuration, which is sent to followers. */
  getConfigurationVersion(): number
  /** Returns the owner records that this instance has read; undefined before the first read. */
  getOwnerReport(): OwnerReport | undefined
  /** Called when the last connection of a follower has ended: the peer has stopped, or can't be reached. */
  onFollowerGone(instance: InstanceId): void
}

/** What an instance knows of the store. A field is absent if nothing recent is known. */
export type StoreNews = Pick<OwnerUpdate, "store" | "catalogue">

/** Nothing is known of the store, or others send it. */
export const NO_STORE_NEWS: StoreNews = { store: undefined, catalogue: undefined }

type Follower = ServerDuplexStream<FollowerUpdate, OwnerUpdate>
type AllocateCall = ServerDuplexStream<QuotaReport, QuotaReply>
type AdmitCall = ServerDuplexStream<AdmitRequest, AdmitReply>

/** Time after an update in which the next one is sent. Peers are taken for dead after 1.3 s. */
const HEARTBEAT_MS = 800
/** The same for a collector of reports, whose followers rely on what it confirms of the store. */
const COLLECTOR_HEARTBEAT_MS = 500
/** Size of unread updates above which a follower's connection is closed. */
const MAX_UNREAD_BYTES = 256 * 1024
/** Time between two updates about prompt parts, which don't wait for the next batch. */
const URGENT_INTERVAL_MS = 50

/** The server for peers: it sends them updates about the owned engines, and loads adapters for them. */
export class LinkServer {
  private readonly server = new Server()
  private readonly followers = new Map<Follower, InstanceId>()
  private readonly changed = new Map<string, EngineSnapshot>()
  private readonly published: PublishedEngines
  private readonly dropped = new Set<string>()
  private partStates: PartState[] = []
  private leaving: LeavingEndpoint[] = []
  private urgentTimer: NodeJS.Timeout | undefined
  private timer: NodeJS.Timeout | undefined
  private heartbeat: NodeJS.Timeout | undefined
  private isRunning = false

  constructor(
    private readonly handlers: LinkServerHandlers,
    clock: Clock,
    private readonly log: Log,
  ) {
    this.published = new PublishedEngines(clock)
    this.server.addService(FleetService, this.createService())
  }

  /** Starts listening on `host:port`. Rejects if the address can't be bound. */
  async start(address: string): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.bindAsync(address, ServerCredentials.createInsecure(), (error) => {
        if (error) reject(error)
        else resolve()
      })
    })
    this.isRunning = true
    this.scheduleHeartbeat()
  }

  /** Sends a changed snapshot of an engine to the followers with the next batch. */
  publish(snapshot: EngineSnapshot): void {
    this.dropped.delete(snapshot.endpoint)
    this.changed.set(snapshot.endpoint, snapshot)
    this.scheduleUpdates()
  }

  /** Notifies the followers, with the next batch, that an engine is no longer owned by this instance. */
  publishLost(endpoint: string): void {
    this.changed.delete(endpoint)
    this.published.remove(endpoint)
    this.dropped.add(endpoint)
    this.scheduleUpdates()
  }

  /** Sends endpoints that are leaving to the followers with the next batch. */
  publishLeaving(leaving: readonly LeavingEndpoint[]): void {
    this.leaving.push(...leaving)
    this.scheduleUpdates()
  }

  /** Sends changed states of prompt parts and the suspects to the followers, before the next batch. */
  publishParts(states: readonly PartState[]): void {
    this.partStates.push(...states)
    this.urgentTimer ??= setTimeout(() => {
      this.urgentTimer = undefined
      this.sendUpdates()
    }, URGENT_INTERVAL_MS)
  }

  /** Stops listening and ends all connections. */
  stop(): void {
    clearTimeout(this.urgentTimer)
    this.isRunning = false
    clearTimeout(this.heartbeat)
    clearTimeout(this.timer)
    this.server.forceShutdown()
  }

  private scheduleUpdates(): void {
    this.timer ??= setTimeout(() => {
      this.sendUpdates()
    }, computeBatchIntervalMs(this.followers.size))
  }

  /** Sends an update some time after the last one, so that followers see that this instance lives. */
  private scheduleHeartbeat(): void {
    clearTimeout(this.heartbeat)
    if (!this.isRunning) return
    const isCollector = this.handlers.getStoreNews() !== NO_STORE_NEWS
    const delayMs = isCollector ? COLLECTOR_HEARTBEAT_MS : HEARTBEAT_MS
    this.heartbeat = setTimeout(() => {
      this.sendUpdates()
    }, delayMs)
  }

  private sendUpdates(): void {
    clearTimeout(this.timer)
    this.timer = undefined
    const messages = [...this.changed.values()].map((snapshot) => this.published.publish(snapshot))
    const update = this.buildUpdate(messages, [...this.dropped], this.partStates, this.leaving)
    this.partStates = []
    this.leaving = []
    this.changed.clear()
    this.dropped.clear()
    for (const [follower, instance] of this.followers) this.send(follower, instance, update)
    this.scheduleHeartbeat()
  }

  private send(follower: Follower, instance: InstanceId, update: OwnerUpdate): void {
    if (follower.writableLength < MAX_UNREAD_BYTES) follower.write(update)
    else {
      this.log.warn({ peer: instance }, "follower doesn't read its updates, connection closed")
      this.followers.delete(follower)
      follower.destroy()
    }
  }

  private buildUpdate(
    messages: readonly EngineMessage[],
    dropped: string[],
    partStates: readonly PartState[],
    leaving: readonly LeavingEndpoint[],
  ): OwnerUpdate {
    return {
      configurationVersion: this.handlers.getConfigurationVersion(),
      engines: messages.flatMap((message) => (message.kind === "complete" ? [message.news] : [])),
      changes: messages.flatMap((message) => (message.kind === "change" ? [message.change] : [])),
      dropped,
      partStates: [...partStates],
      leaving: [...leaving],
      suspects: [...this.handlers.listSuspects()],
      slowInstances: [...this.handlers.listSlow()],
      ...this.handlers.getStoreNews(),
    }
  }

  private createService(): FleetServer & Record<string, UntypedHandleCall> {
    return {
      follow: (call: Follower) => {
        this.addFollower(call)
      },
      load: (call: ServerUnaryCall<LoadRequest, LoadReply>, done: sendUnaryData<LoadReply>) => {
        this.handlers.load(call.request).then(
          (outcome) => {
            done(null, formatOutcome(outcome))
          },
          (error: unknown) => {
            done({ code: status.INTERNAL, details: describeError(error) })
          },
        )
      },
      admit: (call: AdmitCall) => {
        this.serveAdmissions(call)
      },
      allocate: (call: AllocateCall) => {
        this.serveReports(call)
      },
      tellOwners: (
        _call: ServerUnaryCall<OwnersRequest, OwnersReply>,
        done: sendUnaryData<OwnersReply>,
      ) => {
        done(null, formatOwnerReport(this.handlers.getOwnerReport()))
      },
      fetchCatalogue: (
        _call: ServerUnaryCall<CatalogueRequest, CatalogueReply>,
        done: sendUnaryData<CatalogueReply>,
      ) => {
        done(null, { items: this.handlers.listItems().map((item) => ({ ...item })) })
      },
    }
  }

  /** Answers the admission requests of one peer until its stream ends. */
  private serveAdmissions(call: AdmitCall): void {
    const aborts = new Map<number, AbortController>()
    const abortAll = () => {
      for (const abort of aborts.values()) abort.abort()
    }
    call.on("data", (request: AdmitRequest) => {
      if (request.isCancelled) aborts.get(request.id)?.abort()
      else void this.admit(call, request, aborts)
    })
    call.on("error", abortAll)
    call.on("cancelled", abortAll)
    call.on("end", () => {
      abortAll()
      call.end()
    })
  }

  private async admit(
    call: AdmitCall,
    request: AdmitRequest,
    aborts: Map<number, AbortController>,
  ): Promise<void> {
    const { id } = request
    const abort = new AbortController()
    aborts.set(id, abort)
    const outcome = await this.handlers.admit(request, abort.signal)
    aborts.delete(id)
    if (!abort.signal.aborted) call.write(formatAdmission(id, outcome))
  }

  /** Answers the reports about quotas of one peer until its stream ends. */
  private serveReports(call: AllocateCall): void {
    call.on("data", (report: QuotaReport) => {
      if (call.writableLength < MAX_UNREAD_BYTES) call.write(this.handlers.allocate(report))
    })
    // The peer sends its reports on another stream, and what it holds expires.
    call.on("error", () => undefined)
    call.on("end", () => {
      call.end()
    })
  }

  private addFollower(call: Follower): void {
    call.on("data", (update: FollowerUpdate) => {
      this.followers.set(call, update.instance)
      this.handlers.onUpdate(update)
    })
    const remove = () => {
      const instance = this.followers.get(call)
      this.followers.delete(call)
      const isStillConnected = [...this.followers.values()].some((id) => id === instance)
      if (instance !== undefined && !isStillConnected) this.handlers.onFollowerGone(instance)
    }
    call.on("error", remove)
    call.on("cancelled", remove)
    call.on("end", () => {
      remove()
      call.end()
    })
    // The others receive their changes first, so that later changes have the same base for all.
    this.sendUpdates()
    this.followers.set(call, "unknown")
    const messages = this.handlers
      .listSnapshots()
      .map((snapshot) => ({ kind: "complete", news: formatComplete(snapshot) }) as const)
    const { handlers } = this
    const update = this.buildUpdate(messages, [], handlers.listPartStates(), handlers.listLeaving())
    call.write(update)
  }
}

function formatOwnerReport(report: OwnerReport | undefined): OwnersReply {
  return report
    ? { isKnown: true, ...report, owners: [...report.owners.values()] }
    : { isKnown: false, ageMs: 0, isStoreLost: false, era: 0, owners: [] }
}

function formatOutcome(outcome: LoadOutcome): LoadReply {
  switch (outcome.kind) {
    case "held":
      return { isHeld: true, version: outcome.version, reason: "" }
    case "refused":
      return { isHeld: false, version: 0, reason: outcome.reason }
  }
}

function formatAdmission(id: number, outcome: AdmissionOutcome): AdmitReply {
  const reply = { id, isGranted: false, unreadTokens: 0, waitMs: 0, isUnavailable: false }
  switch (outcome.kind) {
    case "granted":
      return { ...reply, isGranted: true, unreadTokens: outcome.unreadTokens ?? 0 }
    case "refused":
      return { ...reply, waitMs: Math.round(outcome.waitMs) }
    case "unavailable":
      return { ...reply, isUnavailable: true }
  }
}
