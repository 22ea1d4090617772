import {
  type ClientDuplexStream,
  credentials,
  makeGenericClientConstructor,
  Server,
  ServerCredentials,
} from "@grpc/grpc-js"
import { PeerService, type GrantReply, type GrantRequest } from "@galenaway/daemon/peer"
import { createGrantReply, createGrantRequest } from "./messages-samples.js"

const HOST = "127.0.0.1"

/** Grants over one open stream, as an alternative to one call for each. */
const STREAM_SERVICE = {
  grants: {
    ...PeerService.requestGrant,
    path: "/bench/Grants",
    requestStream: true,
    responseStream: true,
  },
} as const

/** An open stream of grant requests to one owner. */
export interface GrantStream {
  /** Asks for a grant; resolves with the next reply. */
  readonly ask: () => Promise<unknown>
  readonly close: () => void
}

/** Opens a stream to a server of its own that grants everything. */
export async function openGrantStream(): Promise<GrantStream> {
  const server = new Server()
  server.addService(STREAM_SERVICE, { grants: handleGrants })
  const port = await bindServer(server)
  const StreamClient = makeGenericClientConstructor(STREAM_SERVICE, "bench")
  const client = new StreamClient(`${HOST}:${port}`, credentials.createInsecure())
  const open = client.grants as unknown as () => ClientDuplexStream<GrantRequest, GrantReply>
  const stream = open.call(client)
  const waiting: ((reply: GrantReply) => void)[] = []
  stream.on("data", (reply: GrantReply) => waiting.shift()?.(reply))
  stream.on("error", () => undefined)
  return {
    ask: () =>
      new Promise((resolve) => {
        waiting.push(resolve)
        stream.write(createGrantRequest(1))
      }),
    close: () => {
      stream.cancel()
      client.close()
      server.forceShutdown()
    },
  }
}

function handleGrants(stream: {
  on: (event: "data", take: () => void) => unknown
  write: (reply: GrantReply) => unknown
}): void {
  stream.on("data", () => {
    stream.write(createGrantReply(1, "lean"))
  })
}

function bindServer(server: Server): Promise<number> {
  return new Promise((resolve, reject) => {
    server.bindAsync(`${HOST}:0`, ServerCredentials.createInsecure(), (error, port) => {
      if (error) reject(error)
      else resolve(port)
    })
  })
}
