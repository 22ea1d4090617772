import type { AdapterKey, EndpointInfo, Rank, RouteRequest } from "@galenaway/core"
import {
  applySchedulerEvent,
  createScheduler,
  DEFAULT_POLICY,
  type PolicySettings,
  type SchedulerTables,
  setLoadShare,
} from "@galenaway/policy"

/** Returns the key of a test adapter. */
export function formatKey(name: string): AdapterKey {
  return `base/${name}@1` as AdapterKey
}

/** Creates the description of an engine. */
export function createInfo(id: string, capacity = 2, slots = 2): EndpointInfo {
  const url = "http://127.0.0.1:1"
  return { id, kind: "engine", dataCentre: "x", url, fencing: "checked", slots, capacity }
}

/** Creates a request whose deadline is its arrival plus its rank's target. */
export function createRequest(
  id: string,
  adapter: string,
  rank: Rank = "standard",
  arrivedAt = 0,
): RouteRequest {
  const deadline = arrivedAt + DEFAULT_POLICY.targetMs[rank]
  return { id, adapter: formatKey(adapter), rank, arrivedAt, deadline, prefix: 0, maxTokens: 8 }
}

/** Creates a scheduler that owns engines with resident adapters and has the whole load budget. */
export function createOwner(
  engines: Readonly<Record<string, readonly string[]>>,
  settings: PolicySettings = DEFAULT_POLICY,
  capacity?: number,
): SchedulerTables {
  const tables = createScheduler(settings)
  setLoadShare(tables, settings.loads)
  for (const [id, adapters] of Object.entries(engines)) {
    const info = createInfo(id, capacity)
    applySchedulerEvent(tables, { kind: "endpoint-gained", info, running: [] }, 0)
    const resident = adapters.map(formatKey)
    const report = {
      endpoint: id,
      incarnation: "1",
      running: 0,
      waiting: 0,
      resident,
      cacheUsage: 0,
    }
    applySchedulerEvent(tables, { kind: "reported", report }, 0)
  }
  return tables
}
