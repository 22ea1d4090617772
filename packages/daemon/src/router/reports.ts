import type { EndpointId, EnginePort } from "@galenaway/core"
import type { NaiveEngineState } from "@galenaway/policy"

/**
 * Reads the load report of every engine once and updates its row. Engines that
 * don't answer are marked as unreachable.
 */
export async function refreshReports(
  rows: ReadonlyMap<EndpointId, NaiveEngineState>,
  engines: ReadonlyMap<EndpointId, EnginePort>,
): Promise<void> {
  await Promise.all(
    [...rows.values()].map(async (row) => {
      const engine = engines.get(row.info.id)
      if (engine) await refreshRow(row, engine)
    }),
  )
}

async function refreshRow(row: NaiveEngineState, engine: EnginePort): Promise<void> {
  try {
    const report = await engine.report()
    row.isReachable = true
    row.report = report
    for (const adapter of row.lastUsed.keys())
      if (!report.resident.includes(adapter)) row.lastUsed.delete(adapter)
    for (const adapter of report.resident)
      if (!row.lastUsed.has(adapter)) row.lastUsed.set(adapter, 0)
  } catch {
    row.isReachable = false
  }
}
