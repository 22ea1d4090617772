import { createServer, type Server } from "node:http"
import type { Socket } from "node:net"
import type { CallerLimits } from "@galenaway/core"
import type { ForwardHandler } from "./forward/index.js"

/** These timeouts apply until a configuration is in force. */
const DEFAULT_HEADER_TIMEOUT_MS = 3000
const DEFAULT_IDLE_TIMEOUT_MS = 15_000
const MAX_HEADER_BYTES = 16 * 1024
/** The server sets no limit on the time to send a body; only the caller's own deadline limits it. */
const NO_REQUEST_TIMEOUT = 0
const CONNECTION_BACKLOG_COUNT = 1024
const TIMEOUT_CHECK_INTERVAL_MS = 1000

/** The HTTP server that callers send their requests to. */
export class CallerServer {
  private readonly server: Server
  private readonly sockets = new Set<Socket>()

  constructor(handler: ForwardHandler) {
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
        requestTimeout: NO_REQUEST_TIMEOUT,
        keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        noDelay: true,
        requireHostHeader: false,
      },
      (request, response) => {
        void handler.handle(request, response)
      },
    )
    this.server.on("connection", (socket) => {
      this.sockets.add(socket)
      socket.once("close", () => this.sockets.delete(socket))
    })
  }

  /** Listens on `host:port`. Rejects when the address can't be listened on. */
  start(address: string): Promise<void> {
    const { host, port } = parseAddress(address)
    return new Promise((resolve, reject) => {
      this.server.once("error", reject)
      this.server.listen({ host, port, backlog: CONNECTION_BACKLOG_COUNT }, () => {
        resolve()
      })
    })
  }

  /** Applies the timeouts of a configuration. */
  setLimits({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.server.headersTimeout = headerTimeoutMs
    this.server.keepAliveTimeout = idleTimeoutMs
  }

  /** Stops accepting connections and closes idle ones. */
  close(): void {
    this.server.close()
    // The server counts a connection without any request as active until the header timeout.
    for (const socket of this.sockets) if (socket.bytesRead === 0) socket.destroy()
  }

  /** Closes all connections at once; requests in progress fail. */
  closeConnections(): void {
    this.server.closeAllConnections()
  }
}

/** Parses `host:port`. The last colon separates the port. */
export function parseAddress(address: string): { host: string; port: number } {
  const at = address.lastIndexOf(":")
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) }
}
