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
const SECRET = "a-secret-of-thirty-two-characters"

/** One peer call, started by a measurement. */
export type PeerCall = (client: PeerClient) => Promise<unknown>

/** A peer server on the loopback address, with a way to it that counts bytes. */
export interface MeasuredServer {
  /** Address of the server itself. */
  readonly address: string
  /** Address of a relay before the server that counts the bytes of both directions. */
  readonly countedAddress: string
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

/** Opens a connection of its own to a peer. */
export function openClient(address: string): PeerClient {
  return new PeerClient(address, credentials.createInsecure(), {
    "grpc.use_local_subchannel_pool": 1,
  })
}

/** Wraps a callback-style call of the peer client. It carries a secret, as between instances. */
export function createPeerCall<Q>(
  start: (client: PeerClient, request: Q, metadata: Metadata, done: PeerCallback) => unknown,
  request: Q,
): PeerCall {
  const metadata = new Metadata()
  metadata.set("authorization", `Bearer ${SECRET}`)
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
  const accept = (_call: unknown, done: (error: null, answer: MemberAnswer) => void) => {
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
    announceEviction: accept,
    settleEviction: accept,
    briefWitness: accept,
    askHoldings: accept,
    sealEpoch: accept,
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

/** A relay that counts the bytes of both directions. */
export interface CountingRelay {
  readonly server: TcpServer
  readonly port: number
  readonly countBytes: () => number
}

/** Starts a relay before a port of the loopback address. */
export function startRelay(target: number): Promise<CountingRelay> {
  let bytes = 0
  const server = createTcpServer((near) => {
    const far = connect(target, HOST)
    for (const [from, to] of [
      [near, far],
      [far, near],
    ] as const) {
      from.setNoDelay(true)
      from.on("data", (chunk) => {
        bytes += chunk.length
        to.write(chunk)
      })
      from.on("close", () => to.destroy())
      from.on("error", () => to.destroy())
    }
  })
  return new Promise((resolve) => {
    server.listen(0, HOST, () => {
      const { port } = server.address() as AddressInfo
      resolve({ server, port, countBytes: () => bytes })
    })
  })
}
