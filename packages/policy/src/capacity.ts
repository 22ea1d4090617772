import type { EngineReport } from "@galenaway/core"
import type { EndpointRow } from "./tables.js"

const DECREASE_SHARE = 0.85
const INCREASE_COUNT = 0.5
const MIN_CAPACITY_SHARE = 0.25
const MAX_CAPACITY_SHARE = 2

/**
 * Adjusts an engine's concurrency limit after a report: it decreases when
 * requests wait inside the engine and increases while the engine is full and no
 * request waits (additive increase, multiplicative decrease).
 */
export function updateLimit(row: EndpointRow, report: EngineReport): void {
  const { capacity } = row.info
  if (report.waiting > 0)
    row.limit = Math.max(1, capacity * MIN_CAPACITY_SHARE, row.limit * DECREASE_SHARE)
  else if (report.running >= Math.floor(row.limit))
    row.limit = Math.min(capacity * MAX_CAPACITY_SHARE, row.limit + INCREASE_COUNT)
}
