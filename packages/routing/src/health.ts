import type { EndpointId, Millis, Registration, ReportedLoad } from "@galenaway/core"
import { EndpointTimes } from "./endpoint-times.js"
import { EngineSpeeds } from "./engine-speeds.js"
import { WorkLedger } from "./work-ledger.js"

/** The outcome of a request that is evidence of the endpoint's health. */
export type EndpointOutcome =
  /** A complete answer from the endpoint itself, including an application error. */
  | "answered"
  /** A server error from the endpoint itself. */
  | "error"
  /** The endpoint refused the request because it was full. */
  | "full"
  /** The connection failed or broke, or the answer was invalid. */
  | "broken"
  /** The request timed out. */
  | "silent"

interface EndpointRecord {
  inFlight: number
  reportedLoad: (ReportedLoad & { readonly at: Millis }) | undefined
  /** Moving average of the failure weights of requests, 0 to 1. */
  failureRate: number
  consecutiveFailures: number
  backoffMs: Millis
  /** Time at which a probe request may be sent. 0 while the endpoint isn't excluded. */
  excludedUntil: Millis
  /** End of the pause that the endpoint has asked for. */
  pausedUntil: Millis
  /** Whether a probe request is in flight. */
  isProbing: boolean
  /** Requests of this instance that wait for response headers: those that can meet their deadline, and the late ones. */
  pendingOnTime: number
  pendingLate: number
  /** Prompt processing time in ms that was sent to the endpoint and not yet done, as of `backlogAt`. */
  backlogMs: Millis
  backlogAt: Millis
  /** Wait for admission as of `queueWaitAt`, that of the last decision for this instance. */
  queueWaitMs: Millis
  queueWaitAt: Millis
  /** Moving average of the actual time to the first byte divided by the expected time. */
  slowness: number
  /** Time at which bytes of any answer last arrived. */
  bytesAt: Millis | undefined
}

/** Weight of the latest request in the moving average of failures. */
const FAILURE_SMOOTHING_SHARE = 0.15
/** Failure weight of a server error, compared to 1 for a broken connection or a timeout. */
const ERROR_WEIGHT_SHARE = 0.6
const CONSECUTIVE_FAILURE_LIMIT_COUNT = 3
const FAILURE_RATE_LIMIT_SHARE = 0.5
const FIRST_BACKOFF_MS = 600
const MAX_BACKOFF_MS = 4000
/** A pause ends after this time even if the endpoint asked for more: in a pause no answer arrives that could correct an absurd value. */
const MAX_PAUSE_MS = 300_000
const REPORTED_LOAD_LIFETIME_MS = 1000
/** Weight of the latest request in the moving average of slowness. */
const SLOWNESS_SMOOTHING_SHARE = 0.1
/** Upper bound of the ratio of actual to expected time in one measurement. */
const MAX_SLOWNESS_FACTOR = 10

/**
 * Tracks the load and failures of each endpoint as seen by one instance. It acts as
 * a circuit breaker: an endpoint that fails is excluded for a backoff, then gets a
 * single probe request.
 */
export class EndpointHealth {
  private readonly rows = new Map<EndpointId, EndpointRecord>()
  /** What the reports and answers of the endpoints show of their speed. */
  readonly times = new EndpointTimes()
  /** How the engines differ in speed, as far as they report their pace. */
  readonly speeds = new EngineSpeeds()
  /** The expected work of this instance's requests. */
  readonly work = new WorkLedger()

  /** Records a request that is sent. `workMs` estimates the endpoint's time until the first token. */
  onSend(endpoint: EndpointId, workMs: Millis, now: Millis): void {
    const row = this.getRow(endpoint)
    row.inFlight++
    if (row.excludedUntil > 0) row.isProbing = true
    row.backlogMs = computeBacklog(row, now) + workMs
    row.backlogAt = now
  }

  /** Records a request that ended. Without an outcome it doesn't affect the endpoint's health. */
  onEnd(endpoint: EndpointId, outcome: EndpointOutcome | undefined, now: Millis): void {
    const row = this.getRow(endpoint)
    row.inFlight = Math.max(0, row.inFlight - 1)
    if (outcome === "full") this.times.onFull(endpoint, now)
    if (outcome === undefined) row.isProbing = false
    else recordOutcome(row, outcome, now)
  }

  /** Records that an endpoint has been silent to a request for longer than its timeout. The request may continue. */
  onSilent(endpoint: EndpointId, now: Millis): void {
    recordOutcome(this.getRow(endpoint), "silent", now)
  }

  /** Records the load that an endpoint reported. */
  onLoad(endpoint: EndpointId, load: ReportedLoad, now: Millis): void {
    this.getRow(endpoint).reportedLoad = { ...load, at: now }
    this.times.onReport(endpoint, load, now)
  }

  /** Records how long a request waits for admission to an engine, as its owner decided. */
  onQueueWait(endpoint: EndpointId, waitMs: Millis, now: Millis): void {
    const row = this.getRow(endpoint)
    row.queueWaitMs = waitMs
    row.queueWaitAt = now
  }

  /** Returns the last known wait for admission. It becomes shorter as time passes, since nothing may have been added to the queue. */
  getQueueWait(endpoint: EndpointId, now: Millis): Millis {
    const row = this.rows.get(endpoint)
    return row ? Math.max(0, row.queueWaitMs - (now - row.queueWaitAt)) : 0
  }

  /** Records the time to the first byte and the time that was expected. */
  onFirstByte(endpoint: EndpointId, actualMs: Millis, expectedMs: Millis): void {
    const row = this.getRow(endpoint)
    const ratio = Math.min(MAX_SLOWNESS_FACTOR, actualMs / Math.max(1, expectedMs))
    row.slowness += SLOWNESS_SMOOTHING_SHARE * (ratio - row.slowness)
  }

  /** Records that bytes of any answer have arrived from an endpoint. */
  onBytes(endpoint: EndpointId, now: Millis): void {
    this.getRow(endpoint).bytesAt = now
  }

  /** Returns the time since bytes of any answer arrived from an endpoint, in ms; undefined if none have. */
  getSilence(endpoint: EndpointId, now: Millis): Millis | undefined {
    const bytesAt = this.rows.get(endpoint)?.bytesAt
    return bytesAt === undefined ? undefined : now - bytesAt
  }

  /** Records that an endpoint asked this instance to send nothing for a time. Returns false if it is in a pause already; the later end counts. */
  onPause(endpoint: EndpointId, ms: Millis, now: Millis): boolean {
    const row = this.getRow(endpoint)
    const isNew = row.pausedUntil <= now
    row.pausedUntil = Math.max(row.pausedUntil, now + Math.min(ms, MAX_PAUSE_MS))
    return isNew
  }

  /** Returns the time until the end of an endpoint's pause, in ms; 0 if it isn't in one. */
  getPause(endpoint: EndpointId, now: Millis): Millis {
    return Math.max(0, (this.rows.get(endpoint)?.pausedUntil ?? 0) - now)
  }

  /** Returns the shortest pause if all the endpoints are in one. Undefined without endpoints. */
  findShortestPause(endpoints: readonly Registration[], now: Millis): Millis | undefined {
    let shortest: Millis | undefined
    for (const { id } of endpoints) {
      const pause = this.getPause(id, now)
      if (pause === 0) return undefined
      shortest = Math.min(shortest ?? pause, pause)
    }
    return shortest
  }

  /** Returns whether requests may be sent to an endpoint. One in a pause gets none, not even a probe request; an excluded one gets a single probe request after its backoff. */
  isUsable(endpoint: EndpointId, now: Millis): boolean {
    const row = this.rows.get(endpoint)
    if (!row) return true
    if (row.pausedUntil > now) return false
    if (row.excludedUntil === 0) return true
    return now >= row.excludedUntil && !row.isProbing
  }

  /** Returns the number of requests at an endpoint: this instance's own, or the recently reported load if that is higher. */
  countRunning(endpoint: EndpointId, now: Millis): number {
    const row = this.rows.get(endpoint)
    if (!row) return 0
    const isFresh = row.reportedLoad && now - row.reportedLoad.at < REPORTED_LOAD_LIFETIME_MS
    return Math.max(
      row.inFlight,
      isFresh && row.reportedLoad ? row.reportedLoad.running + row.reportedLoad.waiting : 0,
    )
  }

  /** Returns the number of requests that this instance has in flight at an endpoint. */
  countInFlight(endpoint: EndpointId): number {
    return this.rows.get(endpoint)?.inFlight ?? 0
  }

  /** Records that a model request waits for response headers. `isLate` means that it can't meet its deadline. */
  onPending(endpoint: EndpointId, isLate: boolean): void {
    const row = this.getRow(endpoint)
    if (isLate) row.pendingLate++
    else row.pendingOnTime++
  }

  /** Records that a request passed to {@link onPending} no longer waits. */
  onPendingEnd(endpoint: EndpointId, isLate: boolean): void {
    const row = this.getRow(endpoint)
    if (isLate) row.pendingLate = Math.max(0, row.pendingLate - 1)
    else row.pendingOnTime = Math.max(0, row.pendingOnTime - 1)
  }

  /** Estimates how many requests would wait ahead of one that can meet its deadline. Endpoints admit late requests last. */
  countAhead(endpoint: EndpointId, slots: number, now: Millis): number {
    const waiting = Math.max(0, this.countRunning(endpoint, now) + 1 - slots)
    const row = this.rows.get(endpoint)
    if (!row || waiting === 0) return waiting
    const { pendingOnTime, pendingLate } = row
    return (waiting * (pendingOnTime + 1)) / (pendingOnTime + pendingLate + 1)
  }

  /** Returns the prompt processing time in ms that this instance has sent and that isn't done yet. */
  getBacklog(endpoint: EndpointId, now: Millis): Millis {
    const row = this.rows.get(endpoint)
    return row ? computeBacklog(row, now) : 0
  }

  /** Returns the weighted share of recent requests that failed, 0 to 1. */
  getFailureRate(endpoint: EndpointId): number {
    return this.rows.get(endpoint)?.failureRate ?? 0
  }

  /** Returns the ratio of actual to expected time to the first byte, 1 when there are no measurements. */
  getSlowness(endpoint: EndpointId): number {
    return this.rows.get(endpoint)?.slowness ?? 1
  }

  /** Removes endpoints that aren't listed, except those with requests in flight. */
  removeUnlisted(listed: ReadonlySet<EndpointId>): void {
    this.times.removeUnlisted(listed)
    this.speeds.removeUnlisted(listed)
    for (const [id, row] of this.rows)
      if (!listed.has(id) && row.inFlight === 0) this.rows.delete(id)
  }

  /** Clears the failures, the load, the speed and the pause of an endpoint that was restarted. Requests in flight still count. */
  reset(endpoint: EndpointId): void {
    this.times.remove(endpoint)
    this.speeds.remove(endpoint)
    const { inFlight, pendingOnTime, pendingLate } = this.getRow(endpoint)
    this.rows.set(endpoint, { ...createRow(), inFlight, pendingOnTime, pendingLate })
  }

  private getRow(endpoint: EndpointId): EndpointRecord {
    let row = this.rows.get(endpoint)
    if (!row) {
      row = createRow()
      this.rows.set(endpoint, row)
    }
    return row
  }
}

function createRow(): EndpointRecord {
  return {
    inFlight: 0,
    reportedLoad: undefined,
    failureRate: 0,
    consecutiveFailures: 0,
    backoffMs: FIRST_BACKOFF_MS,
    excludedUntil: 0,
    pausedUntil: 0,
    isProbing: false,
    pendingOnTime: 0,
    pendingLate: 0,
    backlogMs: 0,
    backlogAt: 0,
    queueWaitMs: 0,
    queueWaitAt: 0,
    slowness: 1,
    bytesAt: undefined,
  }
}

function computeBacklog(row: EndpointRecord, now: Millis): Millis {
  return Math.max(0, row.backlogMs - (now - row.backlogAt))
}

function recordOutcome(row: EndpointRecord, outcome: EndpointOutcome, now: Millis): void {
  const weight = getFailureWeight(outcome)
  row.failureRate += FAILURE_SMOOTHING_SHARE * (weight - row.failureRate)
  row.isProbing = false
  if (weight < 1) {
    if (outcome === "answered") clearExclusion(row)
    return
  }
  row.consecutiveFailures++
  if (
    row.consecutiveFailures < CONSECUTIVE_FAILURE_LIMIT_COUNT &&
    row.failureRate < FAILURE_RATE_LIMIT_SHARE
  )
    return
  const isFirst = row.excludedUntil === 0
  row.backoffMs = isFirst ? FIRST_BACKOFF_MS : Math.min(MAX_BACKOFF_MS, 2 * row.backoffMs)
  row.excludedUntil = now + row.backoffMs
}

function getFailureWeight(outcome: EndpointOutcome): number {
  switch (outcome) {
    case "answered":
    case "full":
      return 0
    case "error":
      return ERROR_WEIGHT_SHARE
    case "broken":
    case "silent":
      return 1
  }
}

function clearExclusion(row: EndpointRecord): void {
  row.consecutiveFailures = 0
  row.excludedUntil = 0
  row.backoffMs = FIRST_BACKOFF_MS
}
