import type { Server } from "node:http"
import type { AddressInfo } from "node:net"
import { App, type Request, type Response } from "@tinyhttp/app"
import getRawBody from "raw-body"

const MAX_BODY_BYTES = 2 * 1024 * 1024

/** A server that listens on a loopback address until it is closed. */
export interface RunningServer {
  readonly url: string
  readonly port: number
  /** Stops listening and closes all connections. */
  close(): Promise<void>
}

/** Starts an app on a loopback port; 0 chooses a free port. Rejects if the port is in use. */
export async function startServer(app: App, port: number): Promise<RunningServer> {
  const server = await new Promise<Server>((resolve, reject) => {
    const listening = app.listen(
      port,
      () => {
        resolve(listening)
      },
      "127.0.0.1",
    )
    listening.once("error", reject)
  })
  const actualPort = (server.address() as AddressInfo).port
  return {
    url: `http://127.0.0.1:${actualPort}`,
    port: actualPort,
    close: () => closeServer(server),
  }
}

/** Stops a server from listening and closes all of its connections. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve()
    })
    server.closeAllConnections()
  })
}

/** Reads the whole body of a request as UTF-8 text. Rejects a body over 2 MiB. */
export function readBody(request: Request): Promise<string> {
  return getRawBody(request, { limit: MAX_BODY_BYTES, encoding: "utf8" })
}

/**
 * Reads the body of a request as JSON; an empty body gives an empty object. The
 * stand-ins do not validate the result.
 */
export async function readJson(request: Request): Promise<unknown> {
  const text = await readBody(request)
  return text === "" ? {} : JSON.parse(text)
}

/**
 * Adds `GET /faults`, which returns the faults, and `POST /faults`, which sets
 * the given ones.
 */
export function addFaultSwitches(app: App, faults: object): void {
  app.get("/faults", (_request, response) => {
    sendJson(response, 200, faults)
  })
  app.post("/faults", async (request, response) => {
    Object.assign(faults, await readJson(request))
    sendJson(response, 200, faults)
  })
}

/** Sends a JSON answer. */
export function sendJson(response: Response, status: number, body: unknown): void {
  response.status(status).json(body)
}

/** Returns the first value of a header by its lower-case name, or undefined. */
export function getHeader(request: Request, name: string): string | undefined {
  const value = request.headers[name]
  return Array.isArray(value) ? value[0] : value
}

/** Waits for a time in milliseconds. */
export function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
