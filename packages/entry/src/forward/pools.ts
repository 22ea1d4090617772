import { type Dispatcher, Pool } from "undici"
import type { Millis, Registration } from "@galenaway/core"
import { buildResetAwareConnector } from "./resets.js"

/** A `shared` connection serves one request after another; a `single` connection serves one request. */
export type ConnectionUse = "shared" | "single"

interface AddressPools {
  readonly shared: Pool
  readonly single: Pool
}

const CONNECT_TIMEOUT_MS = 450
/**
 * Longest time that a connection is kept without a request, also if its endpoint allows
 * more. An idle one may have gone silent, and a request that can't be repeated would
 * wait on it until its deadline.
 */
const MAX_IDLE_MS = 2500
/** Subtracted from the idle timeout that an endpoint sends, which is rounded to seconds. */
const KEEP_ALIVE_MARGIN_MS = 1200
const MIN_CONNECTION_COUNT = 8
const KEEP_ALIVE_PROBE_DELAY_MS = 1000
const MAX_HEADER_BYTES = 64 * 1024

/** Connection pools of endpoints by address. */
export class EndpointPools {
  private readonly pools = new Map<string, AddressPools>()

  /** `maxIdleMs` is how long a connection is kept without a request; `onConnected` is called with the time that a connection took to open. */
  constructor(
    private readonly maxIdleMs: Millis = MAX_IDLE_MS,
    private readonly onConnected: (endpoint: Registration, ms: Millis) => void = () => undefined,
  ) {}

  /**
   * Returns the pool of an endpoint for one use. It opens at most `limit`
   * connections, or 8 if that is more. The limit of the first call for an
   * address applies as long as its pools are open.
   */
  get(endpoint: Registration, use: ConnectionUse, limit: number): Dispatcher {
    const { address } = endpoint
    let pools = this.pools.get(address)
    if (!pools) {
      const connections = Math.max(MIN_CONNECTION_COUNT, limit)
      pools = createAddressPools(address, connections, this.maxIdleMs, (ms) => {
        this.onConnected(endpoint, ms)
      })
      this.pools.set(address, pools)
    }
    return pools[use]
  }

  /** Closes the pools of all other addresses after their requests have ended. */
  closeUnused(usedAddresses: ReadonlySet<string>): void {
    for (const [address, { shared, single }] of this.pools) {
      if (usedAddresses.has(address)) continue
      this.pools.delete(address)
      void shared.close()
      void single.close()
    }
  }

  /** Closes all connections at once; requests in progress fail. */
  async stop(): Promise<void> {
    await Promise.all(
      [...this.pools.values()].flatMap(({ shared, single }) => [
        shared.destroy(),
        single.destroy(),
      ]),
    )
  }
}

function createAddressPools(
  address: string,
  connections: number,
  maxIdleMs: Millis,
  onConnected: (ms: Millis) => void,
): AddressPools {
  const options = {
    connections,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: maxIdleMs,
    keepAliveMaxTimeout: maxIdleMs,
    keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
    maxHeaderSize: MAX_HEADER_BYTES,
    connect: buildResetAwareConnector(
      {
        timeout: CONNECT_TIMEOUT_MS,
        keepAlive: true,
        keepAliveInitialDelay: KEEP_ALIVE_PROBE_DELAY_MS,
      },
      onConnected,
    ),
  }
  return {
    shared: new Pool(`http://${address}`, { ...options, pipelining: 1 }),
    single: new Pool(`http://${address}`, { ...options, pipelining: 0 }),
  }
}
