import { createServer, type Server } from "node:http"
import { Server as NetServer } from "node:net"
import { setImmediate as waitForTurn } from "node:timers/promises"
import { type CallerLimits, parseAddress } from "@galenaway/core"
import type { IngressGuard } from "@galenaway/ingress"
import type { ForwardHandler } from "./forward/index.js"

/** These timeouts apply until a configuration is in force. */
const DEFAULT_HEADER_TIMEOUT_MS = 3000
const DEFAULT_IDLE_TIMEOUT_MS = 15_000
const MAX_HEADER_BYTES = 16 * 1024
/** The deadline of each request limits the time to send its body. */
const NO_REQUEST_TIMEOUT = 0
const CONNECTION_BACKLOG_COUNT = 1024
const TIMEOUT_CHECK_INTERVAL_MS = 1000
/** Turns of the event loop after which what had arrived on a connection has been read. */
const TURNS_TO_READ = 2

/** The HTTP server that callers send their requests to. */
export class CallerServer {
  private readonly server: Server

  constructor(
    handler: ForwardHandler,
    private readonly guard: IngressGuard,
  ) {
    this.server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
      requestTimeout: NO_REQUEST_TIMEOUT,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      noDelay: true,
      requireHostHeader: false,
    })
    guard.attach(this.server, (request, response) => {
      void handler.handle(request, response)
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
    this.guard.setHeaderTimeout(headerTimeoutMs)
    this.server.keepAliveTimeout = idleTimeoutMs
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.guard.connectionCount
  }

  /** Stops accepting connections, and closes those on which nothing of a request has arrived. Resolves when these are closed. */
  async close(): Promise<void> {
    // The method of the HTTP server would also close connections whose answers are still being written.
    NetServer.prototype.close.call(this.server)
    for (let turn = 0; turn < TURNS_TO_READ; turn++) await waitForTurn()
    this.guard.closeIdle()
  }

  /** Closes all connections at once; requests in progress fail. */
  closeConnections(): void {
    this.server.closeAllConnections()
  }
}
