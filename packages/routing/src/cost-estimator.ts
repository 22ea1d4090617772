import type { Millis, ServiceName } from "@galenaway/core"

/** A call without a model, as the cost of its work depends on it. */
export interface PlainCall {
  readonly service: ServiceName
  readonly route: string
  /** The path of the request. Calls with the same first segments count as alike. */
  readonly path: string
}

interface LearnedCost {
  meanMs: Millis
  count: number
}

/** Cost of calls until there are measurements. */
const FIRST_COST_MS = 30
/** The number of calls that the mean of the service, or the first estimate, stands for. */
const PRIOR_CALL_COUNT = 4
/** Weight of the latest call in the moving averages. The first calls have more. */
const SMOOTHING_SHARE = 0.05
/** Segments of a path that tell calls of one route apart. */
const PREFIX_SEGMENT_COUNT = 2
/** Bound on the kinds of calls that are told apart. The ones that were used least recently are dropped. */
const MAX_KIND_COUNT = 500

/**
 * Learns what plain calls cost: the time that an endpoint of usual speed takes for
 * them, by route and beginning of the path. A kind without measurements costs the
 * mean of its service.
 *
 * Load pattern: calls that look alike differ several times in their work, and most
 * of the difference is between routes and paths.
 */
export class CostEstimator {
  private readonly services = new Map<ServiceName, LearnedCost>()
  private readonly kinds = new Map<string, LearnedCost>()

  /** Estimates the cost of a call in ms. */
  estimateCall(call: PlainCall): Millis {
    return this.kinds.get(formatKind(call))?.meanMs ?? this.getMeanCost(call.service)
  }

  /** Returns the mean cost of the calls of a service in ms. */
  getMeanCost(service: ServiceName): Millis {
    return this.services.get(service)?.meanMs ?? FIRST_COST_MS
  }

  /** Records the time of a call, divided by the factor by which its endpoint is slower than usual. */
  recordCall(call: PlainCall, ms: Millis): void {
    const service = this.services.get(call.service) ?? { meanMs: FIRST_COST_MS, count: 0 }
    this.services.set(call.service, service)
    const key = formatKind(call)
    const kind = this.kinds.get(key) ?? { meanMs: service.meanMs, count: 0 }
    recordCost(service, ms)
    recordCost(kind, ms)
    this.kinds.delete(key)
    this.kinds.set(key, kind)
    if (this.kinds.size > MAX_KIND_COUNT) this.removeOldest()
  }

  private removeOldest(): void {
    for (const key of this.kinds.keys()) {
      this.kinds.delete(key)
      return
    }
  }
}

function recordCost(cost: LearnedCost, ms: Millis): void {
  cost.count++
  const weight = Math.max(SMOOTHING_SHARE, 1 / (cost.count + PRIOR_CALL_COUNT))
  cost.meanMs += weight * (ms - cost.meanMs)
}

function formatKind({ service, route, path }: PlainCall): string {
  const [pathname = ""] = path.split("?", 1)
  const prefix = pathname.split("/", PREFIX_SEGMENT_COUNT + 1).join("/")
  return `${service} ${route} ${prefix}`
}
