import type { EndpointId, Millis, Registration, ReportedLoad } from "@galenaway/core"

interface TimesRow {
  /** Moving average of the actual time of calls divided by their cost, at the usual pace. */
  factor: number
  sampleCount: number
  sampledAt: Millis
  /** Moving average of the reported pace, as a multiple of the usual time; undefined without reports. */
  meanPace: number | undefined
  /** The last pace that the endpoint reported to any instance. */
  pace: number
  pacedAt: Millis
  /** Moving average of the reported number of running and waiting calls. */
  meanLoad: number
  report: ReportedLoad | undefined
  reportedAt: Millis
  /** Time of the last refusal because the endpoint was full. */
  refusedAt: Millis
}

const PERCENT = 100
/** Age at which a report has lost all but 1/e of its weight against the average of earlier ones. */
const REPORT_AGE_MS = 300
/**
 * Ages at which a learned load or pace, and a learned time, have lost all but 1/e of
 * what they differ from the usual. An endpoint that was bad gets no calls that could
 * show that it no longer is, so what is known of it must fade.
 */
const REPORT_FADE_MS = 3000
const FACTOR_FADE_MS = 10_000
/** Bounds on a reported pace, and on the reported calls as a multiple of the places. */
const MIN_PACE = 0.1
const MAX_PACE = 10
const MAX_LOAD_FACTOR = 10
/** Weight of the latest report in the moving averages of load and pace. */
const LOAD_SMOOTHING_SHARE = 0.15
const PACE_SMOOTHING_SHARE = 0.1
/** Weight of the latest call in the moving average of times. The first calls have more. */
const FACTOR_SMOOTHING_SHARE = 0.08
/** The number of calls that the first estimate stands for. */
const PRIOR_CALL_COUNT = 3
/** One call changes the average by at most this multiple of the expected time. */
const MAX_FACTOR = 10
/** Endpoints differ clearly when their learned times do by this factor, after this number of calls to each. */
const CLEAR_RATIO = 1.4
const MIN_CALL_COUNT = 4
/** Time for which a refusal by a full endpoint shows that the counts of requests mislead. */
const REFUSAL_MEMORY_MS = 10_000

/**
 * Learns how long each plain endpoint takes for calls and how many calls it has, from
 * the answers to this instance, and how the pace of each plain endpoint and engine
 * changes, from its reports to any instance.
 *
 * Load pattern: dozens of instances send a few calls a second each to a few
 * endpoints whose speeds differ and change several times a second, so the last
 * report that an instance has is often older than the state it describes. A report
 * therefore counts less the older it is, and the average of earlier ones instead.
 */
export class EndpointTimes {
  private readonly rows = new Map<EndpointId, TimesRow>()

  /** Records the load that an endpoint reported. */
  onReport(endpoint: EndpointId, report: ReportedLoad, now: Millis): void {
    const row = this.getRow(endpoint)
    const load = getLoad(report)
    row.meanLoad += LOAD_SMOOTHING_SHARE * (load - row.meanLoad)
    row.report = report
    row.reportedAt = now
    if (report.pacePercent !== undefined) this.onPace(endpoint, report.pacePercent, now)
  }

  /** Records the pace that an endpoint reported to this instance or to another one. Older ones than the last are ignored. */
  onPace(endpoint: EndpointId, pacePercent: number, at: Millis): void {
    const row = this.getRow(endpoint)
    if (row.meanPace !== undefined && at <= row.pacedAt) return
    row.pace = Math.min(MAX_PACE, Math.max(MIN_PACE, pacePercent / PERCENT))
    row.pacedAt = at
    row.meanPace ??= row.pace
    row.meanPace += PACE_SMOOTHING_SHARE * (row.pace - row.meanPace)
  }

  /** Returns the last pace that an endpoint reported, for other instances; undefined if it reports none. */
  getLastPace(endpoint: EndpointId): { readonly percent: number; readonly at: Millis } | undefined {
    const row = this.rows.get(endpoint)
    if (row?.meanPace === undefined) return undefined
    return { percent: row.pace * PERCENT, at: row.pacedAt }
  }

  /** Estimates the pace of an endpoint as a multiple of the usual time; undefined if it reports none. */
  estimatePace(endpoint: EndpointId, now: Millis): number | undefined {
    const row = this.rows.get(endpoint)
    if (row?.meanPace === undefined) return undefined
    const age = now - row.pacedAt
    const pace = row.meanPace + computeWeight(age, REPORT_AGE_MS) * (row.pace - row.meanPace)
    return 1 + computeWeight(age, REPORT_FADE_MS) * (pace - 1)
  }

  /** Returns whether calls were waiting at an endpoint by its last report, so that the time of a call contains a wait. */
  hasWaiting(endpoint: EndpointId): boolean {
    return (this.rows.get(endpoint)?.report?.waiting ?? 0) > 0
  }

  /** Records the time of a complete call that didn't wait at its endpoint, and what it was expected to cost. */
  onCall(endpoint: EndpointId, ms: Millis, costMs: Millis, now: Millis): void {
    const row = this.getRow(endpoint)
    const pace = row.meanPace === undefined ? 1 : row.pace
    const ratio = Math.min(MAX_FACTOR, ms / Math.max(1, costMs) / pace)
    row.sampleCount++
    row.sampledAt = now
    const weight = Math.max(FACTOR_SMOOTHING_SHARE, 1 / (row.sampleCount + PRIOR_CALL_COUNT))
    row.factor += weight * (ratio - row.factor)
  }

  /** Estimates the time that an endpoint takes for a call, as a multiple of the call's cost. */
  estimateFactor(endpoint: EndpointId, now: Millis): number {
    const row = this.rows.get(endpoint)
    if (!row) return 1
    const factor = 1 + computeWeight(now - row.sampledAt, FACTOR_FADE_MS) * (row.factor - 1)
    return factor * (this.estimatePace(endpoint, now) ?? 1)
  }

  /** Returns the learned time of an endpoint as a multiple of the cost of calls, without its pace at present. */
  getUsualFactor(endpoint: EndpointId): number {
    const row = this.rows.get(endpoint)
    return row ? row.factor * (row.meanPace ?? 1) : 1
  }

  /** Estimates the number of calls at an endpoint from its reports. */
  estimateLoad(endpoint: EndpointId, now: Millis): number {
    const row = this.rows.get(endpoint)
    if (!row?.report) return 0
    const age = now - row.reportedAt
    const load =
      row.meanLoad + computeWeight(age, REPORT_AGE_MS) * (getLoad(row.report) - row.meanLoad)
    return computeWeight(age, REPORT_FADE_MS) * load
  }

  /** Records that an endpoint refused a call because it was full. */
  onFull(endpoint: EndpointId, now: Millis): void {
    this.getRow(endpoint).refusedAt = now
  }

  /**
   * Returns whether counts of requests are too little to choose one of the endpoints:
   * one reports its pace, has more calls than places on average, or has refused a call
   * recently, or the learned times differ clearly.
   */
  hasDifferences(endpoints: readonly Registration[], now: Millis): boolean {
    let lowest = Infinity
    let highest = 0
    for (const { id } of endpoints) {
      const row = this.rows.get(id)
      if (!row) continue
      const isFull = row.report !== undefined && row.meanLoad > row.report.slots
      const hasRefused = now - row.refusedAt < REFUSAL_MEMORY_MS
      if (row.meanPace !== undefined || isFull || hasRefused) return true
      if (row.sampleCount < MIN_CALL_COUNT) continue
      lowest = Math.min(lowest, row.factor)
      highest = Math.max(highest, row.factor)
    }
    return highest > CLEAR_RATIO * lowest
  }

  /** Removes what was learned of an endpoint. */
  remove(endpoint: EndpointId): void {
    this.rows.delete(endpoint)
  }

  /** Removes endpoints that aren't listed. */
  removeUnlisted(listed: ReadonlySet<EndpointId>): void {
    for (const id of this.rows.keys()) if (!listed.has(id)) this.rows.delete(id)
  }

  private getRow(endpoint: EndpointId): TimesRow {
    let row = this.rows.get(endpoint)
    if (!row) {
      row = {
        factor: 1,
        sampleCount: 0,
        sampledAt: 0,
        meanPace: undefined,
        pace: 1,
        pacedAt: 0,
        meanLoad: 0,
        report: undefined,
        reportedAt: 0,
        refusedAt: -Infinity,
      }
      this.rows.set(endpoint, row)
    }
    return row
  }
}

function getLoad({ running, waiting, slots }: ReportedLoad): number {
  return Math.min(running + waiting, MAX_LOAD_FACTOR * Math.max(1, slots))
}

/** Computes the weight of a figure by its age, 1/e at `scaleMs`. */
function computeWeight(age: Millis, scaleMs: Millis): number {
  return Math.exp(-Math.max(0, age) / scaleMs)
}
