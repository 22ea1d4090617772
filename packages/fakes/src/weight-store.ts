import { App } from "@tinyhttp/app"
import { addFaultSwitches, type RunningServer, sendJson, startServer, wait } from "./server.js"

/** Limits of the weight store. */
export interface WeightStoreOptions {
  readonly port?: number
  /** Loads that start in a second. */
  readonly ratePerSecond?: number
  /** Loads that may start at once before the rate holds them back. */
  readonly burst?: number
  /** Time of a load in milliseconds while few are in transit. */
  readonly loadMs?: number
  /** Loads in transit beyond which each takes proportionally longer. */
  readonly maxFullSpeedTransfers?: number
}

/** What a test may switch on at the weight store. */
export interface WeightStoreFaults {
  /** Refuse every load. */
  down: boolean
  /** Multiplies the time of a load. */
  slowness: number
}

/** A running weight store. */
export interface FakeWeightStore extends RunningServer {
  readonly faults: WeightStoreFaults
  readonly counters: { loads: number; maxInTransit: number }
}

/** Starts a weight store: `GET /weights/:name` answers when the adapter has been transferred. */
export async function startWeightStore(options: WeightStoreOptions = {}): Promise<FakeWeightStore> {
  const {
    ratePerSecond = 7,
    burst = 3,
    loadMs = 250,
    maxFullSpeedTransfers: maxFullSpeedTransfers = 24,
  } = options
  const faults: WeightStoreFaults = { down: false, slowness: 1 }
  const counters = { loads: 0, maxInTransit: 0 }
  const limiter = createLimiter(ratePerSecond, burst)
  let inTransit = 0
  const app = new App()
  addFaultSwitches(app, faults)
  app.get("/counters", (_request, response) => {
    sendJson(response, 200, { ...counters, inTransit })
  })
  app.get("/weights/:name", async (request, response) => {
    if (faults.down) {
      sendJson(response, 503, { error: "store down" })
      return
    }
    inTransit++
    counters.loads++
    counters.maxInTransit = Math.max(counters.maxInTransit, inTransit)
    await wait(limiter(performance.now()))
    await wait(loadMs * faults.slowness * Math.max(1, inTransit / maxFullSpeedTransfers))
    inTransit--
    sendJson(response, 200, { name: request.params.name })
  })
  const server = await startServer(app, options.port ?? 0)
  return { ...server, faults, counters }
}

/** Returns a function that reserves the next start and tells how long to wait for it, in milliseconds. */
function createLimiter(ratePerSecond: number, burst: number): (now: number) => number {
  const spacing = 1000 / ratePerSecond
  let next = 0
  return (now) => {
    next = Math.max(next, now - (burst - 1) * spacing) + spacing
    return Math.max(0, next - spacing - now)
  }
}
