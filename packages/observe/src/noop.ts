import type { Recorder } from "./event.js"
import type { Metrics } from "./metrics.js"

/**
 * A recorder that discards all events, for embedders and tests without a timeline.
 * Its times are always 0.
 */
export const noopRecorder: Recorder = {
  record: () => undefined,
  stamp: () => ({ wall: 0, counter: 0 }),
  merge: () => undefined,
}

/** Metrics that discard all values. */
export const noopMetrics: Metrics = {
  recordRankDuration: () => undefined,
  recordDuration: () => undefined,
  countRank: () => undefined,
  count: () => undefined,
  setGauge: () => undefined,
}
