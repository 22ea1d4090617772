import {
  createServer as createTcpServer,
  connect,
  type AddressInfo,
  type Server as TcpServer,
} from "node:net"
import { credentials, Metadata, Server, ServerCredentials } from "@grpc/grpc-js"
import {
  type Heartbeat,
  type MemberAnswer,
  PeerClient,
  type PeerServer,
  PeerService,
  type ReturnReply,
} from "@galenaway/daemon/peer"
import { createMemberAnswer, createGrantReply, type GrantForm } from "./messages-samples.js"

const HOST = "127.0.0.1"
const PEER_KEY = "a-secret-of-thirty-two-characters"

/** A call to a peer, with its message already bound. */
export type PeerCall = (client: PeerClient) => Promise<unknown>

/** A peer server on the loopback address, and a relay before it that counts bytes. */
export interface MeasuredServer {
  /** Address of the server itself. */
  readonly address: string
  /** Address of the relay. */
  readonly countedAddress: string
  /** Returns the bytes that went over the relay in both directions since its start. */
  readonly countBytes: () => number
  close(): Promise<void>
}

/** Starts a peer server whose grants have the given form. It answers a heartbeat with the same heartbeat. */
export async function startMeasuredServer(form: GrantForm): Promise<MeasuredServer> {
  const server = new Server()
  server.addService(PeerService, createHandlers(form))
  const port = await bindServer(server)
  const relay = await startRelay(port)
  return {
    address: `${HOST}:${port}`,
    countedAddress: `${HOST}:${relay.port}`,
    countBytes: relay.countBytes,
    close: async () => {
      server.forceShutdown()
      await new Promise((resolve) => relay.server.close(resolve))
    },
  }
}

/** Opens a connection to a peer that no other client shares. */
export function openClient(address: string): PeerClient {
  return new PeerClient(address, credentials.createInsecure(), {
    "grpc.use_local_subchannel_pool": 1,
  })
}

/** Creates a call from a callback-style method of the peer client. It carries a peer key, as calls between instances do. */
export function createPeerCall<Q>(
  start: (client: PeerClient, request: Q, metadata: Metadata, done: PeerCallback) => unknown,
  request: Q,
): PeerCall {
  const metadata = new Metadata()
  metadata.set("authorization", `Bearer ${PEER_KEY}`)
  return (client) =>
    new Promise((resolve, reject) => {
      start(client, request, metadata, (error, reply) => {
        if (error) reject(error)
        else resolve(reply)
      })
    })
}

type PeerCallback = (error: Error | null, reply: unknown) => void

function createHandlers(form: GrantForm): PeerServer {
  const acknowledge = (_call: unknown, done: (error: null, answer: MemberAnswer) => void) => {
    done(null, createMemberAnswer())
  }
  return {
    requestGrant: (_call, done) => {
      done(null, createGrantReply(1, form))
    },
    returnGrants: (_call, done) => {
      const reply: ReturnReply = { time: createMemberAnswer().time }
      done(null, reply)
    },
    announceEviction: acknowledge,
    settleEviction: acknowledge,
    briefWitness: acknowledge,
    askHoldings: acknowledge,
    sealEpoch: acknowledge,
    exchange: (call, done) => {
      const reply: Heartbeat = call.request
      done(null, reply)
    },
    fetchConfiguration: (_call, done) => {
      done(null, { time: undefined, revision: 0, document: "" })
    },
  }
}

/** Binds a server to a free port of the loopback address. */
export function bindServer(server: Server): Promise<number> {
  return new Promise((resolve, reject) => {
    server.bindAsync(`${HOST}:0`, ServerCredentials.createInsecure(), (error, port) => {
      if (error) reject(error)
      else resolve(port)
    })
  })
}

/** A TCP relay that counts the bytes of both directions. */
export interface CountingRelay {
  readonly server: TcpServer
  readonly port: number
  readonly countBytes: () => number
}

/** Starts a relay on a free port of the loopback address that forwards to another port. */
export function startRelay(upstreamPort: number): Promise<CountingRelay> {
  let bytes = 0
  const server = createTcpServer((client) => {
    const upstream = connect(upstreamPort, HOST)
    for (const [source, target] of [
      [client, upstream],
      [upstream, client],
    ] as const) {
      source.setNoDelay(true)
      source.on("data", (chunk) => {
        bytes += chunk.length
        target.write(chunk)
      })
      source.on("close", () => target.destroy())
      source.on("error", () => target.destroy())
    }
  })
  return new Promise((resolve) => {
    server.listen(0, HOST, () => {
      const { port } = server.address() as AddressInfo
      resolve({ server, port, countBytes: () => bytes })
    })
  })
}
