import { createServer, type RequestListener, type Server } from "node:http"
import { App } from "@tinyhttp/app"
import type { IngressGuard } from "@galenaway/ingress"
import type { CompletionHandler } from "./completions.js"
import { REQUEST_TIMEOUT_MS } from "./request.js"
import type { ServiceHandler } from "./services.js"
import type { Address } from "../settings.js"

const HEADERS_TIMEOUT_MS = 10_000
const MAX_HEADER_BYTES = 16 * 1024
const DRAIN_POLL_MS = 20
const MICROSECONDS_PER_MS = 1000

/** The callers' interface of a running daemon. */
export interface CallerServer {
  readonly address: Address
  /** Accepts no new connections, and waits until the running requests are answered and all claims are settled, or until `limitMs` has passed. Connections that are still open at the end of the wait for requests are closed. */
  drain(limitMs: number): Promise<void>
}

/** Starts the callers' interface. Resolves when it accepts connections; rejects when the address can't be used. */
export async function startCallerServer(
  address: Address,
  completions: CompletionHandler,
  services: ServiceHandler,
  ingress: IngressGuard,
): Promise<CallerServer> {
  const app = new App()
  const state = { running: 0, isDraining: false }
  app.use((_request, response, next) => {
    state.running++
    response.once("close", () => state.running--)
    response.once("prefinish", () => {
      ingress.createAnswerHolder(response).update()
    })
    if (state.isDraining) response.setHeader("connection", "close")
    next()
  })
  app.get("/health", (_request, response) => {
    const { user, system } = process.cpuUsage()
    const cpuMs = (user + system) / MICROSECONDS_PER_MS
    response.status(state.isDraining ? 503 : 200).json({ ok: !state.isDraining, cpuMs })
  })
  app.post("/v1/chat/completions", (request, response) => completions.handle(request, response))
  app.post("/v1/services/:operation", (request, response) => services.handle(request, response))
  const server = await listen(app, address, ingress)
  return {
    address,
    drain: async (limitMs) => {
      const end = performance.now() + limitMs
      await drainServer(server, state, limitMs)
      await services.drain(Math.max(0, end - performance.now()))
    },
  }
}

function listen(app: App, address: Address, ingress: IngressGuard): Promise<Server> {
  const options = {
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
  }
  const server = createServer(options)
  ingress.setHeaderTimeout(HEADERS_TIMEOUT_MS)
  ingress.attach(server, app.attach as RequestListener)
  return new Promise((resolve, reject) => {
    server.once("error", reject)
    server.listen(address.port, address.host, () => {
      resolve(server)
    })
  })
}

async function drainServer(
  server: Server,
  state: { running: number; isDraining: boolean },
  limitMs: number,
): Promise<void> {
  state.isDraining = true
  server.close()
  server.closeIdleConnections()
  const end = performance.now() + limitMs
  while (state.running > 0 && performance.now() < end)
    await new Promise((resolve) => setTimeout(resolve, DRAIN_POLL_MS))
  server.closeAllConnections()
}
