import { type Dispatcher, Pool } from "undici"
import type { Registration } from "@galenaway/core"
import { buildResetAwareConnector } from "./resets.js"

/** `shared` connections serve one request after another; a `single` one serves one request. */
export type ConnectionUse = "shared" | "single"

interface Pools {
  readonly shared: Pool
  readonly single: Pool
}

const CONNECT_TIMEOUT_MS = 450
/** Below the idle limit of endpoints that don't tell theirs. */
const IDLE_MS = 4000
/** Endpoints tell their idle limit in whole seconds. */
const IDLE_MARGIN_MS = 1200
const MIN_CONNECTIONS = 8
const KEEP_ALIVE_PROBE_MS = 1000
const MAX_HEADER_BYTES = 64 * 1024

/** Connections to endpoints by address. */
export class EndpointPools {
  private readonly pools = new Map<string, Pools>()

  /** Returns connections to an endpoint; at most `limit` of each use are opened. */
  get({ address }: Registration, use: ConnectionUse, limit: number): Dispatcher {
    let pools = this.pools.get(address)
    if (!pools) {
      pools = createPools(address, Math.max(MIN_CONNECTIONS, limit))
      this.pools.set(address, pools)
    }
    return pools[use]
  }

  /** Closes connections to addresses that no endpoint has any more, after their requests. */
  closeUnused(addresses: ReadonlySet<string>): void {
    for (const [address, { shared, single }] of this.pools) {
      if (addresses.has(address)) continue
      this.pools.delete(address)
      void shared.close()
      void single.close()
    }
  }

  /** Breaks all connections to an address, and all requests on them. */
  async stop(): Promise<void> {
    await Promise.all(
      [...this.pools.values()].flatMap(({ shared, single }) => [
        shared.destroy(),
        single.destroy(),
      ]),
    )
  }
}

function createPools(address: string, connections: number): Pools {
  const options = {
    connections,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: IDLE_MS,
    keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
    maxHeaderSize: MAX_HEADER_BYTES,
    connect: buildResetAwareConnector({
      timeout: CONNECT_TIMEOUT_MS,
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
    }),
  }
  return {
    shared: new Pool(`http://${address}`, { ...options, pipelining: 1 }),
    single: new Pool(`http://${address}`, { ...options, pipelining: 0 }),
  }
}
