import {
  type ClientDuplexStream,
  credentials,
  makeGenericClientConstructor,
  Server,
} from "@grpc/grpc-js"
import {
  type GrantReply,
  type GrantRequest,
  type Heartbeat,
  PeerService,
  type ReturnReply,
  type ReturnRequest,
} from "@galenaway/daemon/peer"
import {
  createGrantReply,
  createGrantRequest,
  createHeartbeat,
  createReturnRequest,
} from "./messages-samples.js"
import { bindServer, startRelay } from "./messages-wire.js"

const HOST = "127.0.0.1"
const EXCHANGE_ROWS = 3
const BIDIRECTIONAL = { requestStream: true, responseStream: true } as const

/** Service with a stream for each kind of message, as an alternative to one call for each message. */
const STREAM_SERVICE = {
  grant: { ...PeerService.requestGrant, ...BIDIRECTIONAL, path: "/bench/Grant" },
  return: { ...PeerService.returnGrants, ...BIDIRECTIONAL, path: "/bench/Return" },
  exchange: { ...PeerService.exchange, ...BIDIRECTIONAL, path: "/bench/Exchange" },
} as const

/** Kinds of messages. Grants and heartbeats have an answer, returns have none. */
export type StreamKind = keyof typeof STREAM_SERVICE

/** An open stream between two instances. */
export interface PeerStream {
  /** Sends one message. Resolves with its answer, or once it is written if it has no answer. */
  readonly send: () => Promise<unknown>
  /** Returns the bytes of both directions since the start. It is 0 over a direct connection. */
  readonly countBytes: () => number
  readonly close: () => void
}

type Request = GrantRequest | ReturnRequest | Heartbeat
type Reply = GrantReply | ReturnReply | Heartbeat

/** Starts a server and opens a stream to it, directly or over a relay that counts bytes. */
export async function openPeerStream(
  kind: StreamKind,
  connection: "direct" | "counted",
): Promise<PeerStream> {
  const server = new Server()
  server.addService(STREAM_SERVICE, {
    grant: (stream: ServerStream) =>
      stream.on("data", () => stream.write(createGrantReply(1, "lean"))),
    return: (stream: ServerStream) => stream.on("data", () => undefined),
    exchange: (stream: ServerStream) =>
      stream.on("data", () => stream.write(createHeartbeat(EXCHANGE_ROWS, "counts"))),
  })
  const port = await bindServer(server)
  const relay = connection === "counted" ? await startRelay(port) : undefined
  const StreamClient = makeGenericClientConstructor(STREAM_SERVICE, "bench")
  const client = new StreamClient(`${HOST}:${relay?.port ?? port}`, credentials.createInsecure())
  const openStream = client[kind] as unknown as () => ClientDuplexStream<Request, Reply>
  const stream = openStream.call(client)
  const pendingResolvers: ((reply: Reply) => void)[] = []
  stream.on("data", (reply: Reply) => pendingResolvers.shift()?.(reply))
  stream.on("error", () => undefined)
  const request = createStreamRequest(kind)
  return {
    send: () => sendMessage(stream, request, kind === "return" ? undefined : pendingResolvers),
    countBytes: () => relay?.countBytes() ?? 0,
    close: () => {
      stream.cancel()
      client.close()
      server.forceShutdown()
      relay?.server.close()
    },
  }
}

interface ServerStream {
  readonly on: (event: "data", listener: () => unknown) => unknown
  readonly write: (reply: Reply) => unknown
}

/** Creates the message of a kind. A grant request names no holder, since its stream identifies the holder. */
function createStreamRequest(kind: StreamKind): Request {
  switch (kind) {
    case "grant":
      return { ...createGrantRequest(1), holder: "" }
    case "return":
      return createReturnRequest(1, "lean")
    case "exchange":
      return createHeartbeat(EXCHANGE_ROWS, "counts")
  }
}

function sendMessage(
  stream: ClientDuplexStream<Request, Reply>,
  request: Request,
  pendingResolvers: ((reply: Reply) => void)[] | undefined,
): Promise<unknown> {
  return new Promise((resolve) => {
    if (pendingResolvers) pendingResolvers.push(resolve)
    stream.write(request, pendingResolvers ? undefined : resolve)
  })
}
