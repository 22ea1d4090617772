import type { Server } from "node:http"
import type { AddressInfo } from "node:net"
import { App, type Request, type Response } from "@tinyhttp/app"
import getRawBody from "raw-body"

const BODY_LIMIT_BYTES = 2 * 1024 * 1024

/** A stand-in that answers on a loopback address until it is closed. */
export interface RunningServer {
  readonly url: string
  readonly port: number
  close(): Promise<void>
}

/** Starts an app on a loopback port; 0 picks a free one. */
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
  const actual = (server.address() as AddressInfo).port
  return {
    url: `http://127.0.0.1:${actual}`,
    port: actual,
    close: () => closeServer(server),
  }
}

/** Closes a server and every connection to it. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve()
    })
    server.closeAllConnections()
  })
}

/** Reads a request's whole body as text. */
export function readBody(request: Request): Promise<string> {
  return getRawBody(request, { limit: BODY_LIMIT_BYTES, encoding: "utf8" })
}

/** Reads a request's body as JSON of the expected type. The stand-ins trust their callers. */
export async function readJson(request: Request): Promise<unknown> {
  const text = await readBody(request)
  return text === "" ? {} : JSON.parse(text)
}

/** Adds `GET` and `POST /faults` to an app: a test reads the switches and changes some of them. */
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

/** Returns one header of a request, or undefined. */
export function getHeader(request: Request, name: string): string | undefined {
  const value = request.headers[name]
  return Array.isArray(value) ? value[0] : value
}

/** Waits for a time in milliseconds. */
export function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
