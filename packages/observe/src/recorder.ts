import type { Clock, DataCentre, InstanceId } from "@galenaway/core"
import type { EventDetails, HybridTime, Recorder, TimelineEvent } from "./event.js"
import { createHybridClock, type HybridClock } from "./hybrid-clock.js"
import { EventRing } from "./event-ring.js"

/** The default number of events that a process keeps. */
export const DEFAULT_EVENT_LIMIT = 4096

const DRIFT_REPORT_INTERVAL_MS = 60_000

/** The process of a recorder, and its limits. */
export interface RecorderOptions {
  readonly instance: InstanceId
  readonly dataCentre: DataCentre
  readonly clock: Clock
  /**
   * The number of kept events; further events replace the oldest ones. Defaults to
   * {@link DEFAULT_EVENT_LIMIT}.
   */
  readonly limit?: number
}

/** A recorder whose events can be read. */
export interface TimelineRecorder extends Recorder {
  /** Lists the kept events, oldest first. */
  listEvents(): readonly TimelineEvent[]
}

/** Creates the recorder of one process. Throws a RangeError if the limit is not a positive integer. */
export function createRecorder(options: RecorderOptions): TimelineRecorder {
  return new RingRecorder(options)
}

class RingRecorder implements TimelineRecorder {
  private readonly hybrid: HybridClock
  private readonly ring: EventRing
  private nextDriftReportMs = -Infinity

  constructor(private readonly options: RecorderOptions) {
    this.hybrid = createHybridClock(options.clock)
    this.ring = new EventRing(options.limit ?? DEFAULT_EVENT_LIMIT)
  }

  record(details: EventDetails): void {
    const { instance, dataCentre } = this.options
    this.ring.add({ ...details, at: this.hybrid.tick(), instance, dataCentre })
  }

  stamp(): HybridTime {
    return this.hybrid.tick()
  }

  merge(time: HybridTime): void {
    if (!this.hybrid.merge(time)) this.reportDrift(time)
  }

  listEvents(): readonly TimelineEvent[] {
    return this.ring.list()
  }

  private reportDrift(time: HybridTime): void {
    const nowMs = this.options.clock.now()
    if (nowMs < this.nextDriftReportMs) return
    this.nextDriftReportMs = nowMs + DRIFT_REPORT_INTERVAL_MS
    const aheadMs = time.wall - this.options.clock.wallNow()
    this.record({ kind: "clock-refused", note: `a peer's clock is ${aheadMs} ms ahead` })
  }
}
