import {
  type sendUnaryData,
  Server,
  ServerCredentials,
  type ServerDuplexStream,
  type ServerUnaryCall,
  status,
  type UntypedHandleCall,
} from "@grpc/grpc-js"
import { describeError, type InstanceId, type StoreItem } from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import {
  type CatalogueReply,
  type CatalogueRequest,
  type FleetServer,
  FleetService,
  type FollowerUpdate,
  type LoadReply,
  type LoadRequest,
  type OwnersReply,
  type OwnersRequest,
  type OwnerUpdate,
} from "../generated/fleet.js"
import type { OwnerReport } from "../fleet/confirmations.js"
import type { EngineSnapshot, LoadOutcome } from "../owner/index.js"
import { computeBatchIntervalMs } from "./batch-interval.js"

/** What an instance does when its peers call. */
export interface LinkServerHandlers {
  load(request: LoadRequest): Promise<LoadOutcome>
  onUpdate(update: FollowerUpdate): void
  listSnapshots(): readonly EngineSnapshot[]
  listItems(): readonly StoreItem[]
  getConfigurationVersion(): number
  getOwnerReport(): OwnerReport | undefined
  /** A peer doesn't follow any more: it has stopped, or can't be reached. */
  onFollowerGone(instance: InstanceId): void
}

type Follower = ServerDuplexStream<FollowerUpdate, OwnerUpdate>

/** Longest silence between updates. */
const HEARTBEAT_INTERVAL_MS = 500
/** Updates that a follower may leave unread before it is cut off. */
const MAX_UNREAD_BYTES = 256 * 1024

/** The interface that peers call: it tells them what the owned engines hold, and loads adapters for them. */
export class LinkServer {
  private readonly server = new Server()
  private readonly followers = new Map<Follower, InstanceId>()
  private readonly changed = new Map<string, EngineSnapshot>()
  private readonly dropped = new Set<string>()
  private timer: NodeJS.Timeout | undefined
  private heartbeat: NodeJS.Timeout | undefined
  /** Whether the followers were told something since the last heartbeat. */
  private hasSentUpdate = false

  constructor(
    private readonly handlers: LinkServerHandlers,
    private readonly log: Log,
  ) {
    this.server.addService(FleetService, this.createService())
  }

  /** Starts listening on `host:port`. */
  async start(address: string): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.bindAsync(address, ServerCredentials.createInsecure(), (error) => {
        if (error) reject(error)
        else resolve()
      })
    })
    this.heartbeat = setInterval(() => {
      if (!this.hasSentUpdate) this.sendUpdates()
      this.hasSentUpdate = false
    }, HEARTBEAT_INTERVAL_MS)
  }

  /** Tells the followers what an engine holds now. */
  publish(news: EngineSnapshot): void {
    this.dropped.delete(news.endpoint)
    this.changed.set(news.endpoint, news)
    this.scheduleUpdates()
  }

  /** Tells the followers that an engine isn't owned here any more. */
  publishLost(endpoint: string): void {
    this.changed.delete(endpoint)
    this.dropped.add(endpoint)
    this.scheduleUpdates()
  }

  /** Stops listening and ends all connections. */
  stop(): void {
    clearInterval(this.heartbeat)
    clearTimeout(this.timer)
    this.server.forceShutdown()
  }

  private scheduleUpdates(): void {
    this.timer ??= setTimeout(() => {
      this.sendUpdates()
    }, computeBatchIntervalMs(this.followers.size))
  }

  private sendUpdates(): void {
    this.hasSentUpdate = true
    clearTimeout(this.timer)
    this.timer = undefined
    const update = this.buildUpdate([...this.changed.values()], [...this.dropped])
    this.changed.clear()
    this.dropped.clear()
    for (const [follower, instance] of this.followers) this.send(follower, instance, update)
  }

  private send(follower: Follower, instance: InstanceId, update: OwnerUpdate): void {
    if (follower.writableLength < MAX_UNREAD_BYTES) follower.write(update)
    else {
      this.log.warn({ peer: instance }, "follower doesn't read, cut off")
      this.followers.delete(follower)
      follower.destroy()
    }
  }

  private buildUpdate(news: readonly EngineSnapshot[], dropped: readonly string[]): OwnerUpdate {
    return {
      configurationVersion: this.handlers.getConfigurationVersion(),
      engines: news.map(({ endpoint, models, adapters }) => ({
        endpoint,
        models: [...models],
        adapters: adapters.map(({ adapter, version }) => ({ adapter, version })),
      })),
      dropped: [...dropped],
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

  private addFollower(call: Follower): void {
    this.followers.set(call, "unknown")
    call.on("data", (update: FollowerUpdate) => {
      this.followers.set(call, update.instance)
      this.handlers.onUpdate(update)
    })
    const remove = () => {
      const instance = this.followers.get(call)
      this.followers.delete(call)
      const isFollowing = [...this.followers.values()].some((other) => other === instance)
      if (instance !== undefined && !isFollowing) this.handlers.onFollowerGone(instance)
    }
    call.on("error", remove)
    call.on("cancelled", remove)
    call.on("end", () => {
      remove()
      call.end()
    })
    call.write(this.buildUpdate(this.handlers.listSnapshots(), []))
  }
}

function formatOwnerReport(told: OwnerReport | undefined): OwnersReply {
  return told
    ? { isKnown: true, ...told, owners: [...told.owners.values()] }
    : { isKnown: false, ageMs: 0, isStoreLost: false, owners: [] }
}

function formatOutcome(outcome: LoadOutcome): LoadReply {
  switch (outcome.kind) {
    case "held":
      return { isHeld: true, version: outcome.version, reason: "" }
    case "refused":
      return { isHeld: false, version: 0, reason: outcome.reason }
  }
}
