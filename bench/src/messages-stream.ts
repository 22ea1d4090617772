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
const STREAMED = { requestStream: true, responseStream: true } as const

/** Messages over open streams, as an alternative to one call for each. */
const STREAM_SERVICE = {
  grant: { ...PeerService.requestGrant, ...STREAMED, path: "/bench/Grant" },
  return: { ...PeerService.returnGrants, ...STREAMED, path: "/bench/Return" },
  exchange: { ...PeerService.exchange, ...STREAMED, path: "/bench/Exchange" },
} as const

/** What goes over a stream: grants and heartbeats are answered, returns aren't. */
export type StreamKind = keyof typeof STREAM_SERVICE

/** An open stream between two instances. */
export interface PeerStream {
  /** Sends one message; resolves with its answer, or at once if it gets none. */
  readonly send: () => Promise<unknown>
  /** Counts the bytes of both directions so far, if the way is counted. */
  readonly countBytes: () => number
  readonly close: () => void
}

type Request = GrantRequest | ReturnRequest | Heartbeat
type Reply = GrantReply | ReturnReply | Heartbeat

/** Opens a stream to a server of its own, directly or over a relay that counts bytes. */
export async function openPeerStream(
  kind: StreamKind,
  way: "direct" | "counted",
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
  const relay = way === "counted" ? await startRelay(port) : undefined
  const StreamClient = makeGenericClientConstructor(STREAM_SERVICE, "bench")
  const client = new StreamClient(`${HOST}:${relay?.port ?? port}`, credentials.createInsecure())
  const open = client[kind] as unknown as () => ClientDuplexStream<Request, Reply>
  const stream = open.call(client)
  const waiting: ((reply: Reply) => void)[] = []
  stream.on("data", (reply: Reply) => waiting.shift()?.(reply))
  stream.on("error", () => undefined)
  const request = createStreamRequest(kind)
  return {
    send: () => sendMessage(stream, request, kind === "return" ? undefined : waiting),
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
  readonly on: (event: "data", take: () => unknown) => unknown
  readonly write: (reply: Reply) => unknown
}

/** The stream itself tells who holds the grants. */
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
  waiting: ((reply: Reply) => void)[] | undefined,
): Promise<unknown> {
  return new Promise((resolve) => {
    if (waiting) waiting.push(resolve)
    stream.write(request, waiting ? undefined : resolve)
  })
}
