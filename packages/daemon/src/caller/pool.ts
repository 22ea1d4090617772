import {
  type Clock,
  type DataCentre,
  type EndpointId,
  type EndpointInfo,
  type Millis,
  RefusedError,
} from "@galenaway/core"
import type { TimeSource } from "./idle-timeout.js"

/** How long an endpoint that failed is passed over, in milliseconds. */
const AVOID_MS = 1000
const DEFAULT_MAX_QUEUED = 256
const DEFAULT_QUEUE_WAIT_MS = 2000

/** What a pool works with. */
export interface ServicePoolOptions extends TimeSource {
  readonly endpoints: readonly EndpointInfo[]
  /** The instance's own data centre; its endpoints are preferred. */
  readonly dataCentre: DataCentre
  /** Tells whether an endpoint may get new calls; a leaving one may not. */
  readonly isUsable?: (endpoint: EndpointId) => boolean
  readonly maxQueued?: number
  readonly queueWaitMs?: number
}

interface EndpointLoad {
  readonly info: EndpointInfo
  running: number
  avoidedUntil: Millis
}

/** Hands out the capacity of the plain services as far as this instance uses it. */
export class ServicePool {
  private readonly rows: readonly EndpointLoad[]
  private readonly queue: (() => void)[] = []

  constructor(private readonly options: ServicePoolOptions) {
    this.rows = options.endpoints.map((info) => ({ info, running: 0, avoidedUntil: -Infinity }))
  }

  /**
   * Takes a place at the least loaded endpoint that wasn't tried, and waits
   * for one when all are busy. Throws a RefusedError when there is none.
   */
  async acquire(tried: ReadonlySet<EndpointId> = new Set()): Promise<EndpointInfo> {
    const { clock, queueWaitMs = DEFAULT_QUEUE_WAIT_MS } = this.options
    const end = clock.now() + queueWaitMs
    for (;;) {
      const usable = this.rows.filter((row) => this.isOpen(row, tried))
      if (usable.length === 0)
        throw new RefusedError("no-endpoint", "route", "none", "no service endpoint takes calls")
      const row = chooseRow(usable, clock, this.options.dataCentre)
      if (row) {
        row.running++
        return row.info
      }
      await this.waitInQueue(end)
    }
  }

  /** Gives a place back. It is called once for each that was taken. */
  release(endpoint: EndpointId): void {
    const row = this.rows.find(({ info }) => info.id === endpoint)
    if (row) row.running--
    this.queue.shift()?.()
  }

  /** Passes an endpoint over for a while, because a call to it failed. */
  recordFailure(endpoint: EndpointId): void {
    const row = this.rows.find(({ info }) => info.id === endpoint)
    if (row) row.avoidedUntil = this.options.clock.now() + AVOID_MS
  }

  private isOpen({ info }: EndpointLoad, tried: ReadonlySet<EndpointId>): boolean {
    return !tried.has(info.id) && (this.options.isUsable?.(info.id) ?? true)
  }

  private async waitInQueue(end: Millis): Promise<void> {
    const { clock, wait, maxQueued = DEFAULT_MAX_QUEUED } = this.options
    if (this.queue.length >= maxQueued || clock.now() >= end)
      throw new RefusedError("overloaded", "queue", "self", "the service endpoints are busy")
    const turn = new AbortController()
    const wake = () => {
      turn.abort()
    }
    this.queue.push(wake)
    await wait(end - clock.now(), turn.signal)
    const index = this.queue.indexOf(wake)
    if (index >= 0) this.queue.splice(index, 1)
  }
}

/** Chooses among rows with a free place: reachable before avoided, then by load, then the own data centre. */
function chooseRow(
  rows: readonly EndpointLoad[],
  clock: Clock,
  dataCentre: DataCentre,
): EndpointLoad | undefined {
  const now = clock.now()
  const reachable = rows.filter((row) => row.avoidedUntil <= now)
  const candidates = reachable.length > 0 ? reachable : rows
  let best: EndpointLoad | undefined
  for (const row of candidates) {
    if (row.running >= row.info.capacity) continue
    if (!best || isBetter(row, best, dataCentre)) best = row
  }
  return best
}

function isBetter(row: EndpointLoad, best: EndpointLoad, dataCentre: DataCentre): boolean {
  const difference = row.running / row.info.capacity - best.running / best.info.capacity
  if (difference !== 0) return difference < 0
  return row.info.dataCentre === dataCentre && best.info.dataCentre !== dataCentre
}
