import { type ClientDuplexStream, credentials, Metadata, type ServiceError } from "@grpc/grpc-js"
import {
  type Clock,
  GalenawayError,
  type InstanceId,
  type Millis,
  type StoreItem,
} from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import {
  type CatalogueReply,
  type EndpointUse,
  FleetClient,
  type FollowerUpdate,
  type LoadReply,
  type LoadRequest,
  type OwnersReply,
  type OwnerUpdate,
} from "../generated/fleet.js"

/** What comes of following a peer. */
export interface PeerLinkHandlers {
  onUpdate(peer: InstanceId, update: OwnerUpdate): void
  getConfigurationVersion(): number
}

/** A peer that says nothing for so long isn't asked for loads. */
const LIVENESS_TIMEOUT_MS = 1300
/** A connection that is silent for so long is made anew. */
const RECONNECT_TIMEOUT_MS = 1800
const RECONNECT_DELAY_MS = 250
const CATALOGUE_TIMEOUT_MS = 1000
const OWNERS_TIMEOUT_MS = 250

/** The connection to one peer: it follows the peer's news and asks it for loads. */
export class PeerLink {
  private client: FleetClient
  private stream: ClientDuplexStream<FollowerUpdate, OwnerUpdate> | undefined
  private receivedAt: Millis = -Infinity
  private openedAt: Millis = -Infinity
  private isClosed = false

  constructor(
    private readonly self: InstanceId,
    readonly peer: InstanceId,
    readonly address: string,
    private readonly handlers: PeerLinkHandlers,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    this.client = createClient(address)
  }

  /** Whether the peer was heard of lately. */
  get isAlive(): boolean {
    return this.clock.now() - this.receivedAt < LIVENESS_TIMEOUT_MS
  }

  /** Opens the connection where there is none, and makes a silent one anew. Called at each tick. */
  openIfNeeded(): void {
    const now = this.clock.now()
    const isSilent = now - Math.max(this.receivedAt, this.openedAt) > RECONNECT_TIMEOUT_MS
    if (this.stream && !isSilent) return
    if (!this.stream && now - this.openedAt < RECONNECT_DELAY_MS) return
    if (isSilent && this.stream) this.reconnect()
    this.openedAt = now
    this.open()
  }

  /** Tells the peer what is used of its engines. */
  sendUses(uses: EndpointUse[]): void {
    this.stream?.write({
      instance: this.self,
      configurationVersion: this.handlers.getConfigurationVersion(),
      uses,
    })
  }

  /** Asks the peer to load an adapter. Throws a GalenawayError when the peer doesn't answer in time. */
  load(request: LoadRequest, timeoutMs: Millis): Promise<LoadReply> {
    return new Promise((resolve, reject) => {
      this.client.load(
        request,
        new Metadata(),
        { deadline: Date.now() + timeoutMs },
        (error, reply) => {
          if (error) reject(wrapError(this.address, error))
          else resolve(reply)
        },
      )
    })
  }

  /** Asks the peer for the owner records that it has read. Throws a GalenawayError. */
  fetchOwners(): Promise<OwnersReply> {
    const options = { deadline: Date.now() + OWNERS_TIMEOUT_MS }
    return new Promise((resolve, reject) => {
      this.client.tellOwners({}, new Metadata(), options, (error, reply) => {
        if (error) reject(wrapError(this.address, error))
        else resolve(reply)
      })
    })
  }

  /** Closes the connection. */
  close(): void {
    this.isClosed = true
    this.stream?.cancel()
    this.stream = undefined
    this.client.close()
  }

  private reconnect(): void {
    this.log.info({ peer: this.peer }, "peer is silent, connecting anew")
    this.stream?.cancel()
    this.stream = undefined
    this.client.close()
    this.client = createClient(this.address)
  }

  private open(): void {
    const stream = this.client.follow()
    this.stream = stream
    stream.on("data", (update: OwnerUpdate) => {
      this.receivedAt = this.clock.now()
      this.handlers.onUpdate(this.peer, update)
    })
    const remove = (error?: unknown) => {
      if (this.stream !== stream) return
      this.stream = undefined
      if (!this.isClosed) this.log.info({ peer: this.peer, err: error }, "link to peer ended")
    }
    stream.on("error", remove)
    stream.on("end", () => {
      remove()
    })
    this.sendUses([])
  }
}

/** Reads what a peer knows of the store. Throws a GalenawayError. */
export function fetchCatalogue(address: string): Promise<readonly StoreItem[]> {
  const client = createClient(address)
  return new Promise<CatalogueReply>((resolve, reject) => {
    const options = { deadline: Date.now() + CATALOGUE_TIMEOUT_MS }
    client.fetchCatalogue({}, new Metadata(), options, (error, reply) => {
      if (error) reject(wrapError(address, error))
      else resolve(reply)
    })
  })
    .then(({ items }) => items.map((item) => ({ ...item, value: Buffer.from(item.value) })))
    .finally(() => {
      client.close()
    })
}

function createClient(address: string): FleetClient {
  return new FleetClient(address, credentials.createInsecure(), {
    "grpc.initial_reconnect_backoff_ms": 100,
    "grpc.max_reconnect_backoff_ms": 1000,
    // A connection of its own, so that a new client doesn't get a silent one.
    "grpc.use_local_subchannel_pool": 1,
  })
}

function wrapError(address: string, error: ServiceError): GalenawayError {
  return new GalenawayError("peer-down", "peer", address, "not-run", error.details, {
    cause: error,
  })
}
