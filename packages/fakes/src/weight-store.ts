import { App } from "@tinyhttp/app"
import { addFaultSwitches, type RunningServer, sendJson, startServer, wait } from "./server.js"

/** Options of a weight store. */
export interface WeightStoreOptions {
  readonly port?: number
  /** Rate of the token bucket that limits the start of loads, in loads per second; 7 by default. */
  readonly ratePerSecond?: number
  /** Size of the token bucket: loads that can start at once; 3 by default. */
  readonly burst?: number
  /** Time of a load in milliseconds at full speed; 250 by default. */
  readonly loadMs?: number
  /**
   * Number of loads in transit up to which each has full speed; 24 by default.
   * Beyond it, loads take proportionally longer. Loads that wait for their start count too.
   */
  readonly maxFullSpeedLoads?: number
}

/** Faults that a test can inject into a weight store. */
export interface WeightStoreFaults {
  /** Refuse every load. */
  down: boolean
  /** Factor by which the time of a load is multiplied; 1 by default. */
  slowness: number
}

/** A running weight store. */
export interface FakeWeightStore extends RunningServer {
  readonly faults: WeightStoreFaults
  readonly counters: { loads: number; maxInTransit: number }
}

/**
 * Starts a weight store. `GET /weights/:name` is answered when the transfer of
 * the adapter has ended.
 */
export async function startWeightStore(options: WeightStoreOptions = {}): Promise<FakeWeightStore> {
  const { ratePerSecond = 7, burst = 3, loadMs = 250, maxFullSpeedLoads = 24 } = options
  const faults: WeightStoreFaults = { down: false, slowness: 1 }
  const counters = { loads: 0, maxInTransit: 0 }
  const reserveStart = createTokenBucket(ratePerSecond, burst)
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
    await wait(reserveStart(performance.now()))
    await wait(loadMs * faults.slowness * Math.max(1, inTransit / maxFullSpeedLoads))
    inTransit--
    sendJson(response, 200, { name: request.params.name })
  })
  const server = await startServer(app, options.port ?? 0)
  return { ...server, faults, counters }
}

/**
 * Returns a token bucket: a function that reserves the next start and returns
 * the time until it in milliseconds.
 */
function createTokenBucket(ratePerSecond: number, burst: number): (now: number) => number {
  const intervalMs = 1000 / ratePerSecond
  let nextStartAt = 0
  return (now) => {
    nextStartAt = Math.max(nextStartAt, now - (burst - 1) * intervalMs) + intervalMs
    return Math.max(0, nextStartAt - intervalMs - now)
  }
}
