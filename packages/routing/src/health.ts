import type { EndpointId, Millis, ToldLoad } from "@galenaway/core"

/** How a request at an endpoint went, as far as it tells of the endpoint. */
export type EndpointOutcome =
  /** A whole answer of the endpoint's own, also an error that the application gave. */
  | "answered"
  /** A server error of the endpoint's own. */
  | "error"
  /** The endpoint was full. */
  | "full"
  /** No connection, a broken one, or an answer that can't be right. */
  | "broken"
  /** No answer in time. */
  | "silent"

interface EndpointRecord {
  inFlight: number
  reportedLoad: (ToldLoad & { readonly at: Millis }) | undefined
  /** Share of recent requests that went wrong, 0 to 1. */
  failureRate: number
  consecutiveFailures: number
  backoffMs: Millis
  excludedUntil: Millis
  /** Whether a trial request is under way. */
  isProbing: boolean
  /** Requests of this instance without a head of their answer yet: those that can be on time, and the others. */
  pendingOnTime: number
  pendingLate: number
  /** Prompt work sent and not yet done, in ms of the endpoint's time, as of `backlogAt`. */
  backlogMs: Millis
  backlogAt: Millis
  slowness: number
}

const FAILURE_SMOOTHING_SHARE = 0.15
const ERROR_WEIGHT_SHARE = 0.6
const CONSECUTIVE_FAILURE_LIMIT_COUNT = 3
const FAILURE_RATE_LIMIT_SHARE = 0.5
const FIRST_BACKOFF_MS = 600
const MAX_BACKOFF_MS = 4000
const REPORTED_LOAD_LIFETIME_MS = 1000
const SLOWNESS_SMOOTHING_SHARE = 0.1
const MAX_SLOWNESS_FACTOR = 10

/** What one instance has seen of each endpoint: its load, its failures, and whether it may have requests. */
export class EndpointHealth {
  private readonly rows = new Map<EndpointId, EndpointRecord>()

  /** Counts a request that is sent. `workMs` estimates the endpoint's time until the first token. */
  onSend(endpoint: EndpointId, workMs: Millis, now: Millis): void {
    const row = this.getRow(endpoint)
    row.inFlight++
    if (row.excludedUntil > 0) row.isProbing = true
    row.backlogMs = computeBacklog(row, now) + workMs
    row.backlogAt = now
  }

  /** Counts a request that ended; without an outcome it tells nothing of the endpoint. */
  onEnd(endpoint: EndpointId, outcome: EndpointOutcome | undefined, now: Millis): void {
    const row = this.getRow(endpoint)
    row.inFlight = Math.max(0, row.inFlight - 1)
    if (outcome === undefined) row.isProbing = false
    else recordOutcome(row, outcome, now)
  }

  /** Takes the load that an endpoint told. */
  onLoad(endpoint: EndpointId, load: ToldLoad, now: Millis): void {
    this.getRow(endpoint).reportedLoad = { ...load, at: now }
  }

  /** Takes the time to the first byte against the time that was expected. */
  onFirstByte(endpoint: EndpointId, actualMs: Millis, expectedMs: Millis): void {
    const row = this.getRow(endpoint)
    const ratio = Math.min(MAX_SLOWNESS_FACTOR, actualMs / Math.max(1, expectedMs))
    row.slowness += SLOWNESS_SMOOTHING_SHARE * (ratio - row.slowness)
  }

  /** Tells whether an endpoint may have requests; one that failed gets a single trial request after its backoff. */
  isUsable(endpoint: EndpointId, now: Millis): boolean {
    const row = this.rows.get(endpoint)
    if (!row || row.excludedUntil === 0) return true
    return now >= row.excludedUntil && !row.isProbing
  }

  /** Returns the requests at an endpoint as far as they are known here. */
  countRunning(endpoint: EndpointId, now: Millis): number {
    const row = this.rows.get(endpoint)
    if (!row) return 0
    const isFresh = row.reportedLoad && now - row.reportedLoad.at < REPORTED_LOAD_LIFETIME_MS
    return Math.max(
      row.inFlight,
      isFresh && row.reportedLoad ? row.reportedLoad.running + row.reportedLoad.waiting : 0,
    )
  }

  /** Requests of this instance at an endpoint. */
  countInFlight(endpoint: EndpointId): number {
    return this.rows.get(endpoint)?.inFlight ?? 0
  }

  /** Notes that a model request waits at an endpoint for the head of its answer. */
  onPending(endpoint: EndpointId, isLate: boolean): void {
    const row = this.getRow(endpoint)
    if (isLate) row.pendingLate++
    else row.pendingOnTime++
  }

  /** Notes that such a request waits no longer. */
  onPendingEnd(endpoint: EndpointId, isLate: boolean): void {
    const row = this.getRow(endpoint)
    if (isLate) row.pendingLate = Math.max(0, row.pendingLate - 1)
    else row.pendingOnTime = Math.max(0, row.pendingOnTime - 1)
  }

  /** Returns how many requests would wait ahead of one that can be on time; endpoints admit the late ones last. */
  countAhead(endpoint: EndpointId, slots: number, now: Millis): number {
    const waiting = Math.max(0, this.countRunning(endpoint, now) + 1 - slots)
    const row = this.rows.get(endpoint)
    if (!row || waiting === 0) return waiting
    const { pendingOnTime, pendingLate } = row
    return (waiting * (pendingOnTime + 1)) / (pendingOnTime + pendingLate + 1)
  }

  /** Returns the prompt work that this instance has sent and that isn't done yet, in ms. */
  getBacklog(endpoint: EndpointId, now: Millis): Millis {
    const row = this.rows.get(endpoint)
    return row ? computeBacklog(row, now) : 0
  }

  /** Returns the share of recent requests that went wrong. */
  getFailureRate(endpoint: EndpointId): number {
    return this.rows.get(endpoint)?.failureRate ?? 0
  }

  /** Returns how many times as long as expected an endpoint takes. */
  getSlowness(endpoint: EndpointId): number {
    return this.rows.get(endpoint)?.slowness ?? 1
  }

  /** Forgets endpoints that are gone. */
  removeUnlisted(listed: ReadonlySet<EndpointId>): void {
    for (const [id, row] of this.rows)
      if (!listed.has(id) && row.inFlight === 0) this.rows.delete(id)
  }

  /** Forgets what was known of an endpoint that has started anew. */
  reset(endpoint: EndpointId): void {
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
    isProbing: false,
    pendingOnTime: 0,
    pendingLate: 0,
    backlogMs: 0,
    backlogAt: 0,
    slowness: 1,
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
