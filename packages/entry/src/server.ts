import { createServer, type Server } from "node:http"
import type { CallerLimits } from "@galenaway/core"
import type { ForwardHandler } from "./forward/index.js"

/** Until a configuration says otherwise. */
const DEFAULT_HEADER_TIMEOUT_MS = 3000
const DEFAULT_IDLE_TIMEOUT_MS = 15_000
const MAX_HEADER_BYTES = 16 * 1024
/** Callers may take their time to send a body; their own deadline ends it. */
const NO_REQUEST_TIMEOUT = 0
const BACKLOG = 1024
const TIMEOUT_CHECK_MS = 1000

/** The callers' interface. */
export class CallerServer {
  private readonly server: Server

  constructor(handler: ForwardHandler) {
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
        requestTimeout: NO_REQUEST_TIMEOUT,
        keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
        connectionsCheckingInterval: TIMEOUT_CHECK_MS,
        noDelay: true,
        requireHostHeader: false,
      },
      (request, response) => {
        void handler.handle(request, response)
      },
    )
  }

  /** Starts listening on `host:port`. */
  start(address: string): Promise<void> {
    const { host, port } = parseAddress(address)
    return new Promise((resolve, reject) => {
      this.server.once("error", reject)
      this.server.listen({ host, port, backlog: BACKLOG }, () => {
        resolve()
      })
    })
  }

  /** Takes the limits of a configuration. */
  setLimits({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.server.headersTimeout = headerTimeoutMs
    this.server.keepAliveTimeout = idleTimeoutMs
  }

  /** Takes no new connections and closes idle ones. */
  close(): void {
    this.server.close()
    this.server.closeIdleConnections()
  }

  /** Breaks all connections. */
  closeConnections(): void {
    this.server.closeAllConnections()
  }
}

/** Parses `host:port`. */
export function parseAddress(address: string): { host: string; port: number } {
  const at = address.lastIndexOf(":")
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) }
}
