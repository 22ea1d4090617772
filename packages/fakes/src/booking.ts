import { App } from "@tinyhttp/app"
import {
  addFaultSwitches,
  getHeader,
  readJson,
  type RunningServer,
  sendJson,
  startServer,
  wait,
} from "./server.js"

/** Options of a booking service. */
export interface BookingOptions {
  readonly id: string
  readonly port?: number
  /** Processing time of a booking in milliseconds; 5 by default. */
  readonly processingMs?: number
}

/** Faults that a test can inject into a booking service. */
export interface BookingFaults {
  /** Run the booking, then close the connection without a reply. */
  loseReply: boolean
  /** Run the booking, then keep the connection open without a reply. */
  hang: boolean
  /** Refuse every booking without running it. */
  down: boolean
  /** Additional time of a booking in milliseconds. */
  delayMs: number
}

/** A running booking service. */
export interface FakeBooking extends RunningServer {
  readonly faults: BookingFaults
  /**
   * Number of runs by idempotency key; more than 1 is a double booking. Calls without a
   * key count under `none`.
   */
  readonly runs: ReadonlyMap<string, number>
}

/**
 * Starts a booking service. It runs every call, even if its key ran before,
 * and counts the runs of each key.
 */
export async function startBooking(options: BookingOptions): Promise<FakeBooking> {
  const faults: BookingFaults = { loseReply: false, hang: false, down: false, delayMs: 0 }
  const runs = new Map<string, number>()
  const app = new App()
  addFaultSwitches(app, faults)
  app.get("/health", (_request, response) => {
    sendJson(response, 200, { id: options.id })
  })
  app.get("/runs", (_request, response) => {
    sendJson(response, 200, Object.fromEntries(runs))
  })
  app.post("/:operation", async (request, response) => {
    const body = await readJson(request)
    if (faults.down) {
      sendJson(response, 503, { error: "service down" })
      return
    }
    const key = getHeader(request, "idempotency-key") ?? "none"
    const run = (runs.get(key) ?? 0) + 1
    runs.set(key, run)
    await wait((options.processingMs ?? 5) + faults.delayMs)
    if (faults.hang) return
    if (faults.loseReply) {
      request.socket.destroy()
      return
    }
    const operation = request.params.operation
    sendJson(response, 200, { endpoint: options.id, operation, key, run, body })
  })
  const server = await startServer(app, options.port ?? 0)
  return { ...server, faults, runs }
}
