import { type ClientDuplexStream, credentials, Metadata, type ServiceError } from "@grpc/grpc-js"
import {
  type Clock,
  GalenawayError,
  type InstanceId,
  type Millis,
  type StoreItem,
} from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import type { PartState } from "@galenaway/routing"
import {
  type AdmitReply,
  type AdmitRequest,
  type CatalogueReply,
  type EndpointUse,
  FleetClient,
  type FollowerUpdate,
  type LeavingEndpoint,
  type LoadReply,
  type LoadRequest,
  type OwnersReply,
  type OwnerUpdate,
  type QuotaReply,
  type QuotaReport,
} from "../generated/fleet.js"
import type { PartReport } from "../quarantine/index.js"
import { AdmitStream } from "./admit-stream.js"
import { QuotaStream } from "./quota-stream.js"

/** Handlers that connect the links to the other modules of the instance. */
export interface PeerLinkHandlers {
  /** Called for each update that a peer sends about its engines. */
  onUpdate(peer: InstanceId, update: OwnerUpdate): void
  /** Called for each reply of a peer to a report about quotas. */
  onQuotaReply(reply: QuotaReply): void
  /** Returns the version of this instance's configuration, which is sent to peers. */
  getConfigurationVersion(): number
  /** Returns whether this instance delays its answers, which is sent to peers. */
  isSlow(): boolean
  /** Lists the states of all known prompt parts, which a peer receives when the connection opens. */
  listPartStates(): readonly PartState[]
}

/** A peer that has sent no update for this time receives no load requests. */
const LIVENESS_TIMEOUT_MS = 1300
/** A connection without updates for this time is replaced. */
const RECONNECT_TIMEOUT_MS = 1800
const RECONNECT_DELAY_MS = 250
const CATALOGUE_TIMEOUT_MS = 1000
const EMPTY_REPORT: PartReport = { ends: [], soundParts: [], states: [] }
const OWNERS_TIMEOUT_MS = 250

/** The connection to one peer. It receives the peer's updates and sends it use counts and load requests. */
export class PeerLink {
  private client: FleetClient
  private stream: ClientDuplexStream<FollowerUpdate, OwnerUpdate> | undefined
  private receivedAt: Millis = -Infinity
  private openedAt: Millis = -Infinity
  private isClosed = false
  private readonly admissions = new AdmitStream(() => this.client.admit())
  private readonly quotas = new QuotaStream(
    () => this.client.allocate(),
    (reply) => {
      this.handlers.onQuotaReply(reply)
    },
  )

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

  /** Whether the peer has sent an update recently. */
  get isAlive(): boolean {
    return this.clock.now() - this.receivedAt < LIVENESS_TIMEOUT_MS
  }

  /** Opens the connection if there is none, and replaces it if it is silent. It must be called regularly. */
  openIfNeeded(): void {
    const now = this.clock.now()
    const isSilent = now - Math.max(this.receivedAt, this.openedAt) > RECONNECT_TIMEOUT_MS
    if (this.stream && !isSilent) return
    if (!this.stream && now - this.openedAt < RECONNECT_DELAY_MS) return
    if (isSilent && this.stream) this.reconnect()
    this.openedAt = now
    this.open()
  }

  /** Sends the peer the use counts of its engines. Does nothing without a connection. */
  sendUses(uses: EndpointUse[]): void {
    this.send(uses, EMPTY_REPORT)
  }

  /** Sends the peer what this instance has seen of prompt parts. Does nothing without a connection. */
  sendReport(report: PartReport): void {
    this.send([], report)
  }

  /** Sends the peer endpoints that are leaving. Does nothing without a connection. */
  sendLeaving(leaving: readonly LeavingEndpoint[]): void {
    this.send([], EMPTY_REPORT, leaving)
  }

  /** Sends the peer whether this instance delays its answers. Does nothing without a connection. */
  sendSlowness(): void {
    this.send([], EMPTY_REPORT)
  }

  private send(
    uses: EndpointUse[],
    { ends, soundParts, states }: PartReport,
    leaving: readonly LeavingEndpoint[] = [],
  ): void {
    this.stream?.write({
      instance: this.self,
      configurationVersion: this.handlers.getConfigurationVersion(),
      uses,
      ends: ends.map(({ endpoint, parts }) => ({ endpoint, parts: [...parts] })),
      soundParts: [...soundParts],
      partStates: [...states],
      leaving: [...leaving],
      isSlow: this.handlers.isSlow(),
    })
  }

  /** Sends a load request to the peer. Throws a GalenawayError if the call fails or isn't answered in time. */
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

  /** Asks the peer when its engine may read a prompt. Throws if the stream breaks, the signal is aborted or the peer doesn't answer in time. */
  admit(request: AdmitRequest, timeoutMs: Millis, signal: AbortSignal): Promise<AdmitReply> {
    return this.admissions.send(request, timeoutMs, signal)
  }

  /** Sends the peer a report about the quotas that it allocates. */
  sendQuotaReport(report: QuotaReport): void {
    this.quotas.send(report)
  }

  /** Fetches the owner records that the peer has read. Throws a GalenawayError on failure. */
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
    this.admissions.close()
    this.quotas.close()
    this.stream?.cancel()
    this.stream = undefined
    this.client.close()
  }

  private reconnect(): void {
    this.log.info({ peer: this.peer }, "no update from peer, reconnecting")
    this.admissions.close()
    this.quotas.close()
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
      if (!this.isClosed) this.log.info({ peer: this.peer, err: error }, "connection to peer ended")
    }
    stream.on("error", remove)
    stream.on("end", () => {
      remove()
    })
    this.sendReport({ ...EMPTY_REPORT, states: this.handlers.listPartStates() })
  }
}

/** Fetches the items of the store that a peer has read. Throws a GalenawayError on failure. */
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
    // Each client opens its own connection, so that a new client doesn't reuse a silent one.
    "grpc.use_local_subchannel_pool": 1,
  })
}

function wrapError(address: string, error: ServiceError): GalenawayError {
  return new GalenawayError("peer-down", "peer", address, "not-run", error.details, {
    cause: error,
  })
}
