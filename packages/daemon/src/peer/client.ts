import {
  type ChannelCredentials,
  credentials,
  Metadata,
  type ServiceError,
  status,
} from "@grpc/grpc-js"
import { type EndpointId, GalenawayError, type Grant, type Incarnation } from "@galenaway/core"
import type { AnnouncedEviction, MemberReply } from "@galenaway/coordination"
import type { HybridTime, Recorder } from "@galenaway/observe"
import {
  type Briefing,
  type ConfigurationReply,
  type GrantReply,
  type Heartbeat,
  type MemberAnswer,
  PeerClient,
} from "../generated/peer.js"
import {
  formatGrantRequest,
  type GrantResponse,
  type GrantSubmission,
  type GrantReturn,
  parseGrantResponse,
  parseMemberReply,
} from "./codec.js"

const CALL_TIMEOUT_MS = 1000
const MIN_GRANT_TIMEOUT_MS = 100
/** Time after a request's deadline within which the owner's reply must arrive. */
const GRANT_REPLY_MARGIN_MS = 200

/** Name of the metadata entry that carries the secret between instances. */
export const PEER_KEY_HEADER = "x-galenaway-peer-key"

/** A configuration document as sent between instances. */
export interface PeerConfiguration {
  readonly revision: number
  readonly document: string
}

interface TimedReply {
  readonly time: HybridTime | undefined
}

type UnaryCall<T> = (
  client: PeerClient,
  options: { deadline: number },
  done: (error: ServiceError | null, reply: T) => void,
) => { cancel(): void }

/**
 * Calls other instances. A failed call throws a GalenawayError with the peer's
 * address and the outcome `unknown`.
 */
export class PeerCaller {
  private readonly clients = new Map<string, PeerClient>()
  private readonly metadata = new Metadata()
  private readonly channel: ChannelCredentials = credentials.createInsecure()

  constructor(
    private readonly self: Incarnation,
    peerKey: string,
    private readonly recorder: Recorder,
  ) {
    this.metadata.set(PEER_KEY_HEADER, peerKey)
  }

  /**
   * Requests a grant from an owner, which may queue the request until its
   * deadline. Aborting the signal removes the request from the owner's queue.
   */
  async requestGrant(
    address: string,
    submission: GrantSubmission,
    now: number,
    signal: AbortSignal,
  ): Promise<GrantResponse> {
    const message = formatGrantRequest(submission, now, this.recorder.stamp())
    const timeout = Math.max(
      MIN_GRANT_TIMEOUT_MS,
      submission.request.deadline - now + GRANT_REPLY_MARGIN_MS,
    )
    const reply = await this.call<GrantReply>(
      address,
      (client, options, done) => client.requestGrant(message, this.metadata, options, done),
      timeout,
      signal,
    )
    return parseGrantResponse(reply)
  }

  /** Returns grants to the owner of their endpoints. */
  async returnGrants(address: string, returns: readonly GrantReturn[]): Promise<void> {
    const message = { time: this.recorder.stamp(), grants: [...returns] }
    await this.call(address, (client, options, done) =>
      client.returnGrants(message, this.metadata, options, done),
    )
  }

  /** Announces an eviction to a witness. */
  announceEviction(
    address: string,
    endpoint: EndpointId,
    eviction: AnnouncedEviction,
  ): Promise<MemberReply> {
    const message = { time: this.recorder.stamp(), endpoint, ...eviction }
    return this.callMember(address, (client, options, done) =>
      client.announceEviction(message, this.metadata, options, done),
    )
  }

  /** Notifies a witness that an announced eviction is settled. */
  settleEviction(
    address: string,
    endpoint: EndpointId,
    eviction: AnnouncedEviction,
  ): Promise<MemberReply> {
    const message = { time: this.recorder.stamp(), endpoint, ...eviction }
    return this.callMember(address, (client, options, done) =>
      client.settleEviction(message, this.metadata, options, done),
    )
  }

  /**
   * Notifies a witness that this owner is active, and of the adapters that older
   * orders may evict.
   */
  sendBriefing(address: string, briefing: Omit<Briefing, "time">): Promise<MemberReply> {
    const message = { time: this.recorder.stamp(), ...briefing }
    return this.callMember(address, (client, options, done) =>
      client.briefWitness(message, this.metadata, options, done),
    )
  }

  /**
   * Requests a member's held grants and witnessed evictions. The member then
   * accepts nothing of an older epoch.
   */
  requestHoldings(address: string, endpoint: EndpointId, epoch: number): Promise<MemberReply> {
    const message = { time: this.recorder.stamp(), endpoint, epoch }
    return this.callMember(address, (client, options, done) =>
      client.askHoldings(message, this.metadata, options, done),
    )
  }

  /** Requests a witness to seal an epoch, so that the endpoint can be used without its owner. */
  sealEpoch(address: string, endpoint: EndpointId, epoch: number): Promise<MemberReply> {
    const message = { time: this.recorder.stamp(), endpoint, epoch }
    return this.callMember(address, (client, options, done) =>
      client.sealEpoch(message, this.metadata, options, done),
    )
  }

  /** Sends a heartbeat and returns the peer's heartbeat. */
  exchange(
    address: string,
    heartbeat: Omit<Heartbeat, "time">,
    timeoutMs = CALL_TIMEOUT_MS,
  ): Promise<Heartbeat> {
    const message = { ...heartbeat, time: this.recorder.stamp() }
    return this.call(
      address,
      (client, options, done) => client.exchange(message, this.metadata, options, done),
      timeoutMs,
    )
  }

  /**
   * Fetches the configuration of a peer. Returns undefined if its revision is
   * not above `aboveRevision`.
   */
  async fetchConfiguration(
    address: string,
    aboveRevision: number,
  ): Promise<PeerConfiguration | undefined> {
    const message = { time: this.recorder.stamp(), aboveRevision }
    const { revision, document } = await this.call<ConfigurationReply>(
      address,
      (client, options, done) => client.fetchConfiguration(message, this.metadata, options, done),
    )
    return revision > aboveRevision ? { revision, document } : undefined
  }

  /** Closes all connections. */
  close(): void {
    for (const client of this.clients.values()) client.close()
    this.clients.clear()
  }

  private async callMember(address: string, send: UnaryCall<MemberAnswer>): Promise<MemberReply> {
    return parseMemberReply(await this.call(address, send))
  }

  private call<T extends TimedReply>(
    address: string,
    send: UnaryCall<T>,
    timeoutMs = CALL_TIMEOUT_MS,
    signal?: AbortSignal,
  ): Promise<T> {
    return new Promise((resolve, reject) => {
      const pending = send(
        this.getClient(address),
        { deadline: Date.now() + timeoutMs },
        (error, reply) => {
          signal?.removeEventListener("abort", cancel)
          if (error) {
            reject(wrapServiceError(address, error))
            return
          }
          if (reply.time) this.recorder.merge(reply.time)
          resolve(reply)
        },
      )
      const cancel = () => {
        pending.cancel()
      }
      signal?.addEventListener("abort", cancel, { once: true })
    })
  }

  private getClient(address: string): PeerClient {
    const existing = this.clients.get(address)
    if (existing) return existing
    const client = new PeerClient(address, this.channel, {
      "grpc.initial_reconnect_backoff_ms": 100,
      "grpc.max_reconnect_backoff_ms": 1000,
    })
    this.clients.set(address, client)
    return client
  }
}

/** Describes a grant for a log line. */
export function describeGrant(grant: Grant): string {
  return `${grant.adapter} at ${grant.endpoint} epoch ${grant.epoch}`
}

function wrapServiceError(address: string, error: ServiceError): GalenawayError {
  const code = error.code === status.CANCELLED ? "canceled" : "peer-down"
  return new GalenawayError(code, "peer", address, "unknown", error.details, { cause: error })
}
