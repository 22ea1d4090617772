import {
  type Clock,
  type DataCentre,
  type EndpointId,
  type EndpointInfo,
  type Millis,
  RefusedError,
} from "@galenaway/core"
import type { TimeSource } from "./idle-timeout.js"

/** Time for which other endpoints are preferred to one that failed. */
const FAILURE_BACKOFF_MS = 1000
const DEFAULT_MAX_QUEUED_COUNT = 256
const DEFAULT_QUEUE_WAIT_MS = 2000

/** Options of a `ServicePool`. */
export interface ServicePoolOptions extends TimeSource {
  readonly endpoints: readonly EndpointInfo[]
  /** The instance's own data centre; its endpoints are preferred. */
  readonly dataCentre: DataCentre
  /** Returns whether new calls may be sent to an endpoint; false for one that is leaving. Without it, all endpoints are usable. */
  readonly isUsable?: (endpoint: EndpointId) => boolean
  /** Number of calls that may wait for an endpoint. */
  readonly maxQueued?: number
  /** Time that a call may wait for an endpoint. */
  readonly queueWaitMs?: number
}

interface EndpointLoad {
  readonly info: EndpointInfo
  running: number
  backoffUntil: Millis
}

/** Limits the calls of this instance to the capacities of the plain services, and queues calls beyond them. */
export class ServicePool {
  private readonly loads: readonly EndpointLoad[]
  private readonly queue: (() => void)[] = []

  constructor(private readonly options: ServicePoolOptions) {
    this.loads = options.endpoints.map((info) => ({ info, running: 0, backoffUntil: -Infinity }))
  }

  /**
   * Reserves capacity for one call at the least loaded endpoint that isn't in
   * `tried`. Waits in the queue when all are at capacity. Throws a
   * RefusedError when no endpoint is usable, when the queue is full, and when
   * the wait takes too long.
   */
  async acquire(tried: ReadonlySet<EndpointId> = new Set()): Promise<EndpointInfo> {
    const { clock, queueWaitMs = DEFAULT_QUEUE_WAIT_MS } = this.options
    const end = clock.now() + queueWaitMs
    for (;;) {
      const usable = this.loads.filter((load) => this.canUse(load, tried))
      if (usable.length === 0)
        throw new RefusedError("no-endpoint", "route", "none", "no service endpoint takes calls")
      const load = chooseEndpoint(usable, clock, this.options.dataCentre)
      if (load) {
        load.running++
        return load.info
      }
      await this.waitInQueue(end)
    }
  }

  /** Releases the capacity of one call. Must be called once for each successful `acquire`. */
  release(endpoint: EndpointId): void {
    const load = this.loads.find(({ info }) => info.id === endpoint)
    if (load) load.running--
    this.queue.shift()?.()
  }

  /** Records a failed call. Other endpoints are preferred for `FAILURE_BACKOFF_MS`. */
  recordFailure(endpoint: EndpointId): void {
    const load = this.loads.find(({ info }) => info.id === endpoint)
    if (load) load.backoffUntil = this.options.clock.now() + FAILURE_BACKOFF_MS
  }

  private canUse({ info }: EndpointLoad, tried: ReadonlySet<EndpointId>): boolean {
    return !tried.has(info.id) && (this.options.isUsable?.(info.id) ?? true)
  }

  private async waitInQueue(end: Millis): Promise<void> {
    const { clock, wait, maxQueued = DEFAULT_MAX_QUEUED_COUNT } = this.options
    if (this.queue.length >= maxQueued || clock.now() >= end)
      throw new RefusedError("overloaded", "queue", "self", "the service endpoints are busy")
    const available = new AbortController()
    const notify = () => {
      available.abort()
    }
    this.queue.push(notify)
    await wait(end - clock.now(), available.signal)
    const index = this.queue.indexOf(notify)
    if (index >= 0) this.queue.splice(index, 1)
  }
}

/** Chooses an endpoint below its capacity: the least loaded, at equal load one in the own data centre. Endpoints in backoff are chosen only when all are. */
function chooseEndpoint(
  loads: readonly EndpointLoad[],
  clock: Clock,
  dataCentre: DataCentre,
): EndpointLoad | undefined {
  const now = clock.now()
  const preferred = loads.filter((load) => load.backoffUntil <= now)
  const candidates = preferred.length > 0 ? preferred : loads
  let best: EndpointLoad | undefined
  for (const load of candidates) {
    if (load.running >= load.info.capacity) continue
    if (!best || isBetter(load, best, dataCentre)) best = load
  }
  return best
}

function isBetter(load: EndpointLoad, best: EndpointLoad, dataCentre: DataCentre): boolean {
  const difference = load.running / load.info.capacity - best.running / best.info.capacity
  if (difference !== 0) return difference < 0
  return load.info.dataCentre === dataCentre && best.info.dataCentre !== dataCentre
}
