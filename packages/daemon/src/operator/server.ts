import { createServer, type Server } from "node:http"
import type { AddressInfo } from "node:net"
import { App, type Request, type Response } from "@tinyhttp/app"
import getRawBody from "raw-body"
import { CONFIGURATION_LIMIT_BYTES, ConfigurationError } from "@galenaway/config"
import { RefusedError } from "@galenaway/core"
import { formatErrorBody, getStatus, wrapError } from "../caller/errors.js"
import type { Address } from "../settings.js"
import type { OperatorErrorBody } from "./api.js"
import { checkBearer } from "./auth.js"
import { type OperatorHandlers, type OperatorReply } from "./handlers.js"

/** Room for a configuration with its author, reason and change id. */
const BODY_LIMIT_BYTES = CONFIGURATION_LIMIT_BYTES + 4096
const HEADER_LIMIT_BYTES = 8192
const HEADERS_TIMEOUT_MS = 5000
const REQUEST_TIMEOUT_MS = 15_000
const CONNECTION_LIMIT = 64

/** The operators' interface of a running daemon. */
export interface OperatorServer {
  readonly url: string
  close(): Promise<void>
}

type ReplyFunction = (request: Request) => OperatorReply | Promise<OperatorReply>

/**
 * Starts the operators' interface. Every call requires the operators' key as a
 * bearer token. Resolves when it accepts connections; rejects when the address
 * can't be used.
 */
export async function startOperatorServer(
  address: Address,
  key: string,
  handlers: OperatorHandlers,
): Promise<OperatorServer> {
  const app = new App()
  const answer = (getReply: ReplyFunction) => (request: Request, response: Response) =>
    sendReply(response, async () => {
      checkBearer(request.headers.authorization, key)
      return getReply(request)
    })
  app.get(
    "/v1/status",
    answer(() => handlers.getStatus()),
  )
  app.get(
    "/v1/configuration",
    answer(() => handlers.getConfiguration()),
  )
  app.post(
    "/v1/configuration",
    answer(async (r) => handlers.handleChange(await readBody(r))),
  )
  app.get(
    "/v1/configuration/in-force",
    answer((r) => handlers.getInForce(getQuery(r, "revision"))),
  )
  app.get(
    "/v1/explain",
    answer((r) => handlers.explain(getQuery(r, "model"), getQuery(r, "rank"))),
  )
  app.post(
    "/v1/drain",
    answer(async (r) => handlers.handleDrain(await readBody(r))),
  )
  app.post(
    "/v1/undrain",
    answer(async (r) => handlers.handleUndrain(await readBody(r))),
  )
  app.get(
    "/v1/events",
    answer(() => handlers.getEvents()),
  )
  app.get(
    "/metrics",
    answer(() => handlers.getMetrics()),
  )
  app.use(answer((request) => refusePath(request.path)))
  return listen(app, address)
}

async function sendReply(
  response: Response,
  getReply: () => Promise<OperatorReply>,
): Promise<void> {
  try {
    const reply = await getReply()
    if (reply.kind === "text") response.setHeader("content-type", "text/plain; version=0.0.4")
    if (reply.kind === "text") response.end(reply.text)
    else response.status(reply.status).json(reply.body)
  } catch (thrown) {
    const error = wrapError(thrown)
    const issues = error instanceof ConfigurationError ? { issues: error.issues } : {}
    const body: OperatorErrorBody = { ...formatErrorBody(error), ...issues }
    response.status(getStatus(error)).json(body)
  }
}

async function readBody(request: Request): Promise<unknown> {
  const options = { limit: BODY_LIMIT_BYTES, encoding: "utf8" }
  try {
    return JSON.parse(await getRawBody(request, options))
  } catch (error) {
    const isTooLarge = (error as { type?: string }).type === "entity.too.large"
    const message = `body: expected JSON of at most ${BODY_LIMIT_BYTES} bytes`
    throw new RefusedError(isTooLarge ? "too-large" : "bad-request", "parse", "operator", message)
  }
}

function getQuery(request: Request, name: string): string {
  const value = request.query[name]
  return typeof value === "string" ? value : ""
}

function refusePath(path: string): never {
  throw new RefusedError("not-found", "operate", "operator", `no such path: ${path}`)
}

function listen(app: App, address: Address): Promise<OperatorServer> {
  const options = { maxHeaderSize: HEADER_LIMIT_BYTES, requestTimeout: REQUEST_TIMEOUT_MS }
  const server = createServer(options, (request, response) => {
    app.handler(request as Request, response as Response)
  })
  server.headersTimeout = HEADERS_TIMEOUT_MS
  server.maxConnections = CONNECTION_LIMIT
  return new Promise((resolve, reject) => {
    server.once("error", reject)
    server.listen(address.port, address.host, () => {
      const { port } = server.address() as AddressInfo
      resolve({ url: `http://${address.host}:${port}`, close: () => closeServer(server) })
    })
  })
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve()
    })
    server.closeAllConnections()
  })
}
