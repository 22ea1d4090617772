import type { Recorder } from "./event.js"
import type { Metrics } from "./metrics.js"

/** A recorder that keeps nothing, for embedders and tests that need no time line. */
export const silentRecorder: Recorder = {
  record: () => undefined,
  stamp: () => ({ wall: 0, counter: 0 }),
  merge: () => undefined,
}

/** Metrics that keep nothing. */
export const silentMetrics: Metrics = {
  timeRank: () => undefined,
  time: () => undefined,
  countRank: () => undefined,
  count: () => undefined,
  setLevel: () => undefined,
}
