import type { EngineReport } from "@galenaway/core"
import type { EndpointRow } from "./tables.js"

const DECREASE_FACTOR = 0.85
/** Number of requests by which the limit increases with one report. */
const INCREASE_COUNT = 0.5
/** Bounds of the limit, in multiples of the engine's configured capacity. */
const MIN_LIMIT_FACTOR = 0.25
const MAX_LIMIT_FACTOR = 2

/**
 * Adjusts an engine's concurrency limit after a report: it decreases when
 * requests wait inside the engine and increases while the engine is full and no
 * request waits (additive increase, multiplicative decrease).
 */
export function updateLimit(row: EndpointRow, report: EngineReport): void {
  const { capacity } = row.info
  if (report.waiting > 0)
    row.limit = Math.max(1, capacity * MIN_LIMIT_FACTOR, row.limit * DECREASE_FACTOR)
  else if (report.running >= Math.floor(row.limit))
    row.limit = Math.min(capacity * MAX_LIMIT_FACTOR, row.limit + INCREASE_COUNT)
}
