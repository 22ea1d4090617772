import { timingSafeEqual } from "node:crypto"
import {
  Server,
  ServerCredentials,
  type sendUnaryData,
  type ServerUnaryCall,
  status,
  type UntypedHandleCall,
} from "@grpc/grpc-js"
import { type AdapterKey, describeError } from "@galenaway/core"
import type { MemberEvent, MemberReply } from "@galenaway/coordination"
import type { HybridTime, Recorder } from "@galenaway/observe"
import {
  type Announcement,
  type Briefing,
  type Heartbeat,
  type HoldingsRequest,
  type PeerServer,
  PeerService,
} from "../generated/peer.js"
import type { Address } from "../settings.js"
import { PEER_KEY_HEADER, type PeerConfiguration } from "./client.js"
import {
  formatGrantResponse,
  formatMemberReply,
  type GrantResponse,
  type GrantSubmission,
  type GrantReturn,
  parseGrantRequest,
  parseReturn,
} from "./codec.js"

/** Handles the calls of other instances. */
export interface PeerHandlers {
  /** Queues a grant request until it is granted, refused or aborted. */
  submitGrantRequest(submission: GrantSubmission, signal: AbortSignal): Promise<GrantResponse>
  /** Applies grants returned by their holder. */
  handleReturns(returns: readonly GrantReturn[]): void
  /** Applies an event to this instance's member state and returns the reply. */
  handleMemberEvent(event: MemberEvent): MemberReply
  /** Handles a peer's heartbeat and returns this instance's own. */
  exchange(heartbeat: Heartbeat): Omit<Heartbeat, "time">
  /** Returns the configuration in force and its revision. */
  getConfiguration(): PeerConfiguration
  /** The receiver's monotonic time in milliseconds. */
  now(): number
}

const MAX_MESSAGE_BYTES = 4 * 1024 * 1024

interface TimedMessage {
  readonly time?: HybridTime | undefined
}

/**
 * Starts the gRPC server for other instances. Calls without the peer key are
 * rejected as unauthenticated.
 */
export async function startPeerServer(
  address: Address,
  peerKey: string,
  recorder: Recorder,
  handlers: PeerHandlers,
): Promise<Server> {
  const server = new Server({
    "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
  })
  server.addService(PeerService, createService(peerKey, recorder, handlers))
  await new Promise<void>((resolve, reject) => {
    const credentials = ServerCredentials.createInsecure()
    server.bindAsync(`${address.host}:${address.port}`, credentials, (error) => {
      if (error) reject(error)
      else resolve()
    })
  })
  return server
}

function createService(
  peerKey: string,
  recorder: Recorder,
  handlers: PeerHandlers,
): PeerServer & Record<string, UntypedHandleCall> {
  const reply = <Q extends TimedMessage, R>(
    handle: (call: ServerUnaryCall<Q, R>) => Promise<R> | R,
  ) => {
    return (call: ServerUnaryCall<Q, R>, done: sendUnaryData<R>): void => {
      if (!isAuthenticated(call, peerKey)) {
        done({ code: status.UNAUTHENTICATED, details: "wrong peer key" })
        return
      }
      if (call.request.time) recorder.merge(call.request.time)
      Promise.resolve()
        .then(() => handle(call))
        .then(
          (value) => {
            done(null, value)
          },
          (error: unknown) => {
            done({ code: status.INTERNAL, details: describeError(error) })
          },
        )
    }
  }
  const handleMember = (event: MemberEvent) =>
    formatMemberReply(handlers.handleMemberEvent(event), recorder.stamp())
  const parseEndpointEpoch = ({ endpoint, epoch }: HoldingsRequest) => ({ endpoint, epoch })
  return {
    requestGrant: reply(async (call) => {
      const request = parseGrantRequest(call.request, handlers.now())
      const abort = new AbortController()
      call.on("cancelled", () => {
        abort.abort()
      })
      const { holder, ask, canRedirect } = call.request
      const submission = { request, holder, ask, canRedirect }
      const response = await handlers.submitGrantRequest(submission, abort.signal)
      return formatGrantResponse(response, recorder.stamp())
    }),
    returnGrants: reply((call) => {
      handlers.handleReturns(call.request.grants.map(parseReturn))
      return { time: recorder.stamp() }
    }),
    announceEviction: reply((call) =>
      handleMember({ kind: "eviction-announced", ...parseAnnouncement(call.request) }),
    ),
    settleEviction: reply((call) =>
      handleMember({ kind: "eviction-settled", ...parseAnnouncement(call.request) }),
    ),
    briefWitness: reply((call) =>
      handleMember({ kind: "witness-briefed", ...parseBriefing(call.request) }),
    ),
    askHoldings: reply((call) =>
      handleMember({ kind: "holdings-asked", ...parseEndpointEpoch(call.request) }),
    ),
    sealEpoch: reply((call) =>
      handleMember({ kind: "seal-asked", ...parseEndpointEpoch(call.request) }),
    ),
    exchange: reply((call) => ({ ...handlers.exchange(call.request), time: recorder.stamp() })),
    fetchConfiguration: reply(() => ({
      ...handlers.getConfiguration(),
      time: recorder.stamp(),
    })),
  }
}

function parseAnnouncement({ endpoint, adapter, epoch, announcement }: Announcement) {
  return { endpoint, adapter: adapter as AdapterKey, epoch, announcement }
}

function parseBriefing({ endpoint, epoch, announcement, adapters }: Briefing) {
  return { endpoint, epoch, announcement, adapters: adapters as AdapterKey[] }
}

function isAuthenticated(call: ServerUnaryCall<unknown, unknown>, peerKey: string): boolean {
  const [sent = ""] = call.metadata.get(PEER_KEY_HEADER)
  const received = Buffer.from(sent)
  const expected = Buffer.from(peerKey)
  return received.length === expected.length && timingSafeEqual(received, expected)
}
