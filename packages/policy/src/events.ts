import type {
  AdapterKey,
  EndpointId,
  EndpointInfo,
  EngineReport,
  GrantResult,
  Millis,
  RequestId,
} from "@galenaway/core"
import { updateLimit } from "./capacity.js"
import { updateDemand } from "./headroom.js"
import { addPopularity } from "./popularity.js"
import { addQueued, removeQueued } from "./queue.js"
import type { SchedulerEvent } from "./scheduler.js"
import type { EndpointRow, SchedulerTables } from "./tables.js"

/** Maximum delay between an order and the reports that reflect it. */
const MAX_REPORT_LAG_MS = 2000
const BLOCKED_EVICTION_RETRY_MS = 1000
/** Backoff of an adapter's load after its first failure. It doubles with each further one. */
const BACKOFF_START_MS = 100
const BACKOFF_LIMIT_MS = 30_000

/** Applies one event to the tables. Events for an endpoint that this instance doesn't own have no effect. */
export function applySchedulerEvent(
  tables: SchedulerTables,
  event: SchedulerEvent,
  now: Millis,
): void {
  switch (event.kind) {
    case "submitted":
      if (tables.endpointByRequest.has(event.request.id)) return
      addPopularity(tables, event.request.adapter, event.request.rank, now)
      addQueued(tables.queue, event.request)
      if (event.canRedirect) tables.redirectable.push(event.request)
      return
    case "canceled":
      removeQueued(tables.queue, event.request)
      return
    case "returned":
      applyReturnedGrant(tables, event.request, event.result, now)
      return
    case "endpoint-gained":
      addEndpoint(tables, event.info, event.running, now)
      return
    case "endpoint-lost":
      removeEndpoint(tables, event.endpoint)
      return
    case "reported":
      updateEndpoint(tables, event.report.endpoint, (row) => {
        applyReport(tables, row, event.report, now)
      })
      return
    case "unreachable":
      updateEndpoint(tables, event.endpoint, (row) => {
        row.isReachable = false
      })
      return
    case "phase-changed":
      updateEndpoint(tables, event.endpoint, (row) => {
        row.phase = event.phase
      })
      return
    case "suspects-changed":
      updateEndpoint(tables, event.endpoint, (row) => {
        row.suspects = event.suspects
      })
      return
    case "loaded":
      tables.backoffs.delete(event.adapter)
      updateEndpoint(tables, event.endpoint, (row) => {
        if (row.loading.delete(event.adapter)) addResident(row, event.adapter, now)
      })
      return
    case "load-failed":
      updateEndpoint(tables, event.endpoint, (row) => {
        if (row.loading.delete(event.adapter)) addBackoff(tables, event.adapter, now)
      })
      return
    case "evicted":
      updateEndpoint(tables, event.endpoint, (row) => {
        row.evicting.delete(event.adapter)
        row.residents.delete(event.adapter)
        row.evictedAt.set(event.adapter, now)
      })
      return
    case "eviction-blocked":
      updateEndpoint(tables, event.endpoint, (row) => {
        row.evicting.delete(event.adapter)
        row.blockedUntil.set(event.adapter, now + BLOCKED_EVICTION_RETRY_MS)
      })
      return
  }
}

function updateEndpoint(
  tables: SchedulerTables,
  endpoint: EndpointId,
  update: (row: EndpointRow) => void,
): void {
  const row = tables.endpoints.get(endpoint)
  if (row) update(row)
}

function addEndpoint(
  tables: SchedulerTables,
  info: EndpointInfo,
  running: readonly { readonly request: RequestId; readonly adapter: AdapterKey }[],
  now: Millis,
): void {
  removeEndpoint(tables, info.id)
  const row: EndpointRow = {
    info,
    phase: "live",
    isReachable: true,
    incarnation: undefined,
    residents: new Map(),
    loading: new Map(),
    evicting: new Set(),
    evictedAt: new Map(),
    blockedUntil: new Map(),
    suspects: new Set(),
    running: new Map(),
    runningByRank: { urgent: 0, standard: 0, bulk: 0 },
    urgentDemand: { mean: 0, at: now },
    limit: info.capacity,
  }
  tables.endpoints.set(info.id, row)
  // The ranks of earlier grants aren't reported, so they count as standard.
  for (const { request, adapter } of running) {
    row.running.set(request, { adapter, rank: "standard", grantedAt: now, maxTokens: 0 })
    row.runningByRank.standard++
    tables.endpointByRequest.set(request, info.id)
    addResident(row, adapter, now).running = countRunning(row, adapter)
  }
}

function removeEndpoint(tables: SchedulerTables, endpoint: EndpointId): void {
  const row = tables.endpoints.get(endpoint)
  if (!row) return
  for (const request of row.running.keys()) tables.endpointByRequest.delete(request)
  tables.endpoints.delete(endpoint)
}

function addResident(row: EndpointRow, adapter: AdapterKey, now: Millis) {
  const existing = row.residents.get(adapter)
  if (existing) return existing
  const resident = { loadedAt: now, usedAt: now, running: countRunning(row, adapter) }
  row.residents.set(adapter, resident)
  row.evictedAt.delete(adapter)
  return resident
}

function countRunning(row: EndpointRow, adapter: AdapterKey): number {
  let count = 0
  for (const run of row.running.values()) if (run.adapter === adapter) count++
  return count
}

function applyReturnedGrant(
  tables: SchedulerTables,
  request: RequestId,
  result: GrantResult,
  now: Millis,
): void {
  const endpoint = tables.endpointByRequest.get(request)
  if (endpoint === undefined) return
  tables.endpointByRequest.delete(request)
  updateEndpoint(tables, endpoint, (row) => {
    const run = row.running.get(request)
    if (!run) return
    updateDemand(row, now)
    row.running.delete(request)
    row.runningByRank[run.rank]--
    if (result === "adapter-missing") row.residents.delete(run.adapter)
    if (result === "endpoint-down") row.isReachable = false
    updateResidentUse(row, run.adapter, now)
  })
}

function updateResidentUse(row: EndpointRow, adapter: AdapterKey, now: Millis): void {
  const resident = row.residents.get(adapter)
  if (!resident) return
  resident.running--
  resident.usedAt = now
}

function applyReport(
  tables: SchedulerTables,
  row: EndpointRow,
  report: EngineReport,
  now: Millis,
): void {
  row.isReachable = true
  const isRestart = row.incarnation !== undefined && row.incarnation !== report.incarnation
  if (isRestart) clearAfterRestart(tables, row)
  const isFirst = row.incarnation === undefined
  row.incarnation = report.incarnation
  if (isFirst) for (const adapter of report.resident) addResident(row, adapter, now)
  else updateResidents(row, report, now)
  updateLimit(row, report)
}

/** Clears the state of an engine that was restarted, which holds no adapters and runs no requests. */
function clearAfterRestart(tables: SchedulerTables, row: EndpointRow): void {
  for (const request of row.running.keys()) tables.endpointByRequest.delete(request)
  row.running.clear()
  row.runningByRank.urgent = 0
  row.runningByRank.standard = 0
  row.runningByRank.bulk = 0
  row.residents.clear()
  row.loading.clear()
  row.evicting.clear()
  row.evictedAt.clear()
  row.blockedUntil.clear()
}

/** Reconciles residents with a report. Recent orders take precedence, since the report may not reflect them yet. */
function updateResidents(row: EndpointRow, report: EngineReport, now: Millis): void {
  const reported = new Set(report.resident)
  for (const [adapter, resident] of row.residents) {
    const canRemove = now - resident.loadedAt > MAX_REPORT_LAG_MS && resident.running === 0
    if (canRemove && !reported.has(adapter) && !row.evicting.has(adapter))
      row.residents.delete(adapter)
  }
  for (const [adapter, at] of row.evictedAt)
    if (now - at > MAX_REPORT_LAG_MS) row.evictedAt.delete(adapter)
  for (const [adapter, until] of row.blockedUntil)
    if (until <= now) row.blockedUntil.delete(adapter)
  for (const adapter of reported)
    if (!row.evictedAt.has(adapter) && !row.loading.has(adapter)) addResident(row, adapter, now)
}

function addBackoff(tables: SchedulerTables, adapter: AdapterKey, now: Millis): void {
  for (const [other, { retryAt }] of tables.backoffs)
    if (now - retryAt > BACKOFF_LIMIT_MS) tables.backoffs.delete(other)
  const failures = (tables.backoffs.get(adapter)?.failures ?? 0) + 1
  const delay = Math.min(BACKOFF_LIMIT_MS, BACKOFF_START_MS * 2 ** (failures - 1))
  tables.backoffs.set(adapter, { failures, retryAt: now + delay })
}
