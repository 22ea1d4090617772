import type { EngineReport } from "@galenaway/core"
import type { EndpointRow } from "./tables.js"

const DECREASE = 0.85
const INCREASE = 0.5
const LOWEST_SHARE = 0.25
const HIGHEST_SHARE = 2

/**
 * Learns from a report how many requests an engine runs at once: fewer when
 * requests wait inside the engine, more while it is full and none waits.
 */
export function updateLimit(row: EndpointRow, report: EngineReport): void {
  const { capacity } = row.info
  if (report.waiting > 0) row.limit = Math.max(1, capacity * LOWEST_SHARE, row.limit * DECREASE)
  else if (report.running >= Math.floor(row.limit))
    row.limit = Math.min(capacity * HIGHEST_SHARE, row.limit + INCREASE)
}
