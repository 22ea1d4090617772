import type { AdapterName, Millis, ServiceName } from "@galenaway/core"
import { hashText, type PaceEstimator } from "@galenaway/policy"
import { RecentTable } from "./recent-table.js"

/** What the cost of a call without a model depends on. */
export interface PlainCall {
  readonly service: ServiceName
  readonly route: string
  /** The path of the request. Calls with the same first segments count as alike. */
  readonly path: string
}

/** What the cost of a model request depends on. */
export interface ModelRequest {
  readonly service: ServiceName
  readonly route: string
  readonly adapter: AdapterName | undefined
  /** Name of the client account; undefined without accounts. */
  readonly account: string | undefined
  readonly promptTokens: number
  /** The caller's estimate of the output tokens or, without one, their maximum; 0 if neither is known. */
  readonly outputTokens: number
}

interface LearnedCost {
  meanMs: Millis
  count: number
}

interface LearnedRun extends LearnedCost {
  /** Moving averages of the expected output tokens and of the time in which the output was written. */
  meanTokens: number
  writeMs: Millis
}

interface ServiceRuns extends LearnedRun {
  /** Moving averages of the errors of the estimates and of the service's mean. */
  estimateErrorMs: Millis
  meanErrorMs: Millis
}

/** Cost of calls until there are measurements. */
const FIRST_COST_MS = 30
/** The number of requests that the mean of the service, or the first estimate, stands for. */
const PRIOR_COUNT = 4
/** Weight of the latest request in the moving averages. The first ones have more. */
const SMOOTHING_SHARE = 0.05
/** Segments of a path that tell calls of one route apart. */
const PREFIX_SEGMENT_COUNT = 2
/** Bound on the kinds of calls, and on those of model requests, that are told apart. */
const MAX_KIND_COUNT = 500
/** Bound on the output tokens of one request as a multiple of their mean, and at least this number. */
const MAX_TOKEN_FACTOR = 20
const MIN_TOKEN_BOUND = 5000
/** Estimates are used when their error is at most this share of that of the mean, after this number of requests. */
const INFORMATIVE_ERROR_SHARE = 0.7
const MIN_RUN_COUNT = 20
/** One error counts at most as this multiple of the mean. */
const MAX_ERROR_FACTOR = 2

/**
 * Learns what requests cost, from the answers to one instance: the time that an
 * endpoint of usual speed takes for plain calls, by route and beginning of the
 * path, and the time for which model requests use a place of an engine's batch, by
 * route, adapter and account. A kind without measurements costs the mean of its
 * service.
 *
 * Load pattern: requests that look alike differ several times in their work. Most of
 * the difference of plain calls is between routes and paths, and that of model
 * requests in their output, for which callers give an estimate that is often far off.
 */
export class CostEstimator {
  private readonly services = new Map<ServiceName, LearnedCost>()
  private readonly kinds = new RecentTable<number, LearnedCost>(MAX_KIND_COUNT)
  private readonly serviceRuns = new Map<ServiceName, ServiceRuns>()
  private readonly runKinds = new RecentTable<number, LearnedRun>(MAX_KIND_COUNT)

  /** Estimates the cost of a call in ms. */
  estimateCall(call: PlainCall): Millis {
    return this.kinds.get(hashCallKind(call))?.meanMs ?? this.getMeanCost(call.service)
  }

  /** Returns the mean cost of the calls of a service in ms. */
  getMeanCost(service: ServiceName): Millis {
    return this.services.get(service)?.meanMs ?? FIRST_COST_MS
  }

  /** Records the time of a call, divided by the factor by which its endpoint is slower than usual. */
  recordCall(call: PlainCall, ms: Millis): void {
    const service = this.services.get(call.service) ?? { meanMs: FIRST_COST_MS, count: 0 }
    this.services.set(call.service, service)
    const key = hashCallKind(call)
    const kind = this.kinds.get(key) ?? { meanMs: service.meanMs, count: 0 }
    recordCost(service, ms)
    recordCost(kind, ms)
    this.kinds.set(key, kind)
  }

  /** Returns whether the estimates for the model requests of a service are clearly better than the mean. */
  isInformative(service: ServiceName): boolean {
    const runs = this.serviceRuns.get(service)
    if (!runs || runs.count < MIN_RUN_COUNT) return false
    return runs.estimateErrorMs < INFORMATIVE_ERROR_SHARE * runs.meanErrorMs
  }

  /** Estimates the time for which a model request uses a place of an engine's batch, in ms. It is the service's mean unless estimates are clearly better. */
  estimateRun(request: ModelRequest, pace: PaceEstimator): Millis {
    return this.isInformative(request.service) ? this.predictRun(request, pace) : pace.runMs
  }

  /** Records the time for which a model request has used a place of an engine's batch. */
  recordRun(request: ModelRequest, pace: PaceEstimator, ms: Millis): void {
    const runs = this.serviceRuns.get(request.service) ?? createServiceRuns(pace)
    this.serviceRuns.set(request.service, runs)
    const weight = computeWeight(runs.count + 1)
    const maxErrorMs = MAX_ERROR_FACTOR * runs.meanMs
    const estimateErrorMs = Math.min(maxErrorMs, Math.abs(this.predictRun(request, pace) - ms))
    runs.estimateErrorMs += weight * (estimateErrorMs - runs.estimateErrorMs)
    runs.meanErrorMs += weight * (Math.abs(runs.meanMs - ms) - runs.meanErrorMs)
    const key = hashRunKind(request)
    const { meanMs, meanTokens, writeMs } = runs
    const kind = this.runKinds.get(key) ?? { meanMs, meanTokens, writeMs, count: 0 }
    const readMs = computeReadMs(request, pace)
    for (const learned of [runs, kind]) recordRun(learned, request.outputTokens, ms, readMs)
    this.runKinds.set(key, kind)
  }

  private predictRun(request: ModelRequest, pace: PaceEstimator): Millis {
    const learned = this.runKinds.get(hashRunKind(request)) ?? this.serviceRuns.get(request.service)
    if (!learned) return pace.runMs
    const tokens = boundTokens(request.outputTokens, learned)
    if (tokens <= 0 || learned.meanTokens <= 0) return learned.meanMs
    const msPerToken = learned.writeMs / learned.meanTokens
    return computeReadMs(request, pace) + tokens * msPerToken
  }
}

function computeReadMs({ promptTokens }: ModelRequest, pace: PaceEstimator): Millis {
  return pace.firstTokenMs + pace.estimatePromptMs(promptTokens)
}

function createServiceRuns(pace: PaceEstimator): ServiceRuns {
  const errors = { estimateErrorMs: 0, meanErrorMs: 0 }
  return { meanMs: pace.runMs, meanTokens: 0, writeMs: 0, count: 0, ...errors }
}

/** Bounds an estimate of a caller, so that an absurd one doesn't spoil those of others. */
function boundTokens(tokens: number, { meanTokens }: LearnedRun): number {
  return Math.min(tokens, Math.max(MIN_TOKEN_BOUND, MAX_TOKEN_FACTOR * meanTokens))
}

function computeWeight(count: number): number {
  return Math.max(SMOOTHING_SHARE, 1 / (count + PRIOR_COUNT))
}

function recordCost(cost: LearnedCost, ms: Millis): void {
  cost.count++
  cost.meanMs += computeWeight(cost.count) * (ms - cost.meanMs)
}

function recordRun(learned: LearnedRun, outputTokens: number, ms: Millis, readMs: Millis): void {
  recordCost(learned, ms)
  const tokens = boundTokens(outputTokens, learned)
  if (tokens <= 0) return
  const weight = computeWeight(learned.count)
  learned.meanTokens += weight * (tokens - learned.meanTokens)
  learned.writeMs += weight * (Math.max(0, ms - readMs) - learned.writeMs)
}

/** Identifies a kind of calls by a hash, since paths and names of adapters may be long. */
function hashCallKind({ service, route, path }: PlainCall): number {
  const [pathname = ""] = path.split("?", 1)
  const prefix = pathname.split("/", PREFIX_SEGMENT_COUNT + 1).join("/")
  return hashText(`${service} ${route} ${prefix}`)
}

function hashRunKind({ service, route, adapter = "", account = "" }: ModelRequest): number {
  return hashText(`${service} ${route} ${adapter} ${account}`)
}
