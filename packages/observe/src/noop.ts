import type { Recorder } from "./event.js"
import type { Metrics } from "./metrics.js"

/** A recorder that keeps nothing, for embedders and tests that need no time line. */
export const noopRecorder: Recorder = {
  record: () => undefined,
  stamp: () => ({ wall: 0, counter: 0 }),
  merge: () => undefined,
}

/** Metrics that keep nothing. */
export const noopMetrics: Metrics = {
  recordRankDuration: () => undefined,
  recordDuration: () => undefined,
  countRank: () => undefined,
  count: () => undefined,
  setGauge: () => undefined,
}
