import {
  type AdapterKey,
  type ByRank,
  type EndpointId,
  type EndpointInfo,
  type EndpointPhase,
  type Millis,
  type Rank,
  RANKS,
  type RequestId,
  type RouteRequest,
} from "@galenaway/core"
import { createQueue, type RequestQueue } from "./queue.js"
import type { PolicySettings } from "./settings.js"
import type { LoadShare } from "./share.js"

/** The state of an owner's scheduler. Only functions of this package may change it. */
export interface SchedulerTables {
  settings: PolicySettings
  share: LoadShare
  readonly queue: RequestQueue
  readonly endpoints: Map<EndpointId, EndpointRow>
  /** Requests submitted since the last run that may be redirected to another owner. */
  readonly redirectable: RouteRequest[]
  /** The endpoint of each request that was granted and not yet returned. */
  readonly endpointByRequest: Map<RequestId, EndpointId>
  readonly popularity: Map<AdapterKey, DecayedCount>
  readonly backoffs: Map<AdapterKey, LoadBackoff>
  readonly loadBudget: LoadBudget
  /** Decayed count of the loads ordered for each rank. */
  readonly loadsByRank: Record<Rank, number>
}

/** An endpoint that this instance owns. */
export interface EndpointRow {
  readonly info: EndpointInfo
  phase: EndpointPhase
  isReachable: boolean
  /** The engine's incarnation in its latest report. Undefined before the first report. */
  incarnation: string | undefined
  readonly residents: Map<AdapterKey, ResidentRow>
  /** Loads that were ordered and not yet answered, with the time of the order. */
  readonly loading: Map<AdapterKey, Millis>
  /** Evictions that were ordered and not yet answered. */
  readonly evicting: Set<AdapterKey>
  /** Recently evicted adapters with the time of the eviction. A delayed report may still list them. */
  readonly evictedAt: Map<AdapterKey, Millis>
  /** Adapters whose eviction was blocked, with the time of the next attempt. */
  readonly blockedUntil: Map<AdapterKey, Millis>
  /** Adapters that must be neither granted nor evicted. */
  suspects: ReadonlySet<AdapterKey>
  readonly running: Map<RequestId, RunningRow>
  readonly runningByRank: Record<Rank, number>
  readonly urgentDemand: DecayedMean
  /** Maximum number of concurrent requests. It is adjusted with each report and may be fractional. */
  limit: number
}

/** An exponentially decayed mean of the urgent requests that run on an endpoint. */
export interface DecayedMean {
  mean: number
  at: Millis
}

/** An adapter that is resident on an engine. */
export interface ResidentRow {
  readonly loadedAt: Millis
  usedAt: Millis
  /** Number of running grants that use the adapter. It isn't evicted while there are any. */
  running: number
}

/** A granted request that has not been returned. */
export interface RunningRow {
  readonly adapter: AdapterKey
  readonly rank: Rank
  readonly grantedAt: Millis
  readonly maxTokens: number
}

/** An exponentially decayed count of requests, as of the time `at`. */
export interface DecayedCount {
  count: number
  at: Millis
}

/** Number of consecutive failures of a load, and the earliest time of the next attempt. */
export interface LoadBackoff {
  failures: number
  retryAt: Millis
}

/** Token bucket for loads. It refills at the rate of the load share, up to its burst. */
export interface LoadBudget {
  tokens: number
  at: Millis | undefined
  /** Time of the last ordered load. */
  usedAt: Millis
  /** Earliest time of the next scan of waiting adapters. */
  scanAt: Millis
}

/** The state of an endpoint that its owner publishes. */
export interface EndpointState {
  readonly phase: EndpointPhase
  readonly isReachable: boolean
  readonly running: number
  readonly queued: ByRank<number>
  readonly resident: ReadonlySet<AdapterKey>
  readonly loading: ReadonlySet<AdapterKey>
}

/** Creates the tables of an owner without endpoints. No load is ordered before {@link setLoadShare} is called. */
export function createScheduler(settings: PolicySettings): SchedulerTables {
  return {
    settings,
    share: { ratePerSecond: 0, burst: 0, inTransit: 0 },
    queue: createQueue(),
    redirectable: [],
    endpoints: new Map(),
    endpointByRequest: new Map(),
    popularity: new Map(),
    backoffs: new Map(),
    loadBudget: { tokens: 0, at: undefined, usedAt: -Infinity, scanAt: -Infinity },
    loadsByRank: { urgent: 0, standard: 0, bulk: 0 },
  }
}

/** Replaces the policy. It applies from the next run on, also to waiting requests. */
export function setPolicy(tables: SchedulerTables, settings: PolicySettings): void {
  tables.settings = settings
}

/** Sets this owner's share of the weight store's budget. It applies from the next run on. */
export function setLoadShare(tables: SchedulerTables, share: LoadShare): void {
  tables.share = share
  tables.loadBudget.tokens = Math.min(tables.loadBudget.tokens, share.burst)
}

/** Lists the waiting requests. */
export function listQueued(tables: SchedulerTables): readonly RouteRequest[] {
  return [...tables.queue.byId.values()]
}

/**
 * Returns the state of an endpoint for publication, or undefined when this
 * instance doesn't own it. Requests wait at the owner, not at an endpoint, so
 * the queue is divided: each request counts in equal parts for the endpoints
 * that hold or load its adapter. Bulk requests count in equal parts for all
 * endpoints, so that bulk work goes to the owner with the shortest queue.
 */
export function getEndpointState(
  tables: SchedulerTables,
  endpoint: EndpointId,
): EndpointState | undefined {
  const row = tables.endpoints.get(endpoint)
  if (!row) return undefined
  return {
    phase: row.phase,
    isReachable: row.isReachable,
    running: row.running.size,
    queued: countQueued(tables, row),
    resident: new Set([...row.residents.keys()].filter((key) => canGrant(row, key))),
    loading: new Set(row.loading.keys()),
  }
}

function countQueued(tables: SchedulerTables, row: EndpointRow): ByRank<number> {
  const queued = { urgent: 0, standard: 0, bulk: 0 }
  for (const adapter of [...row.residents.keys(), ...row.loading.keys()]) {
    const group = tables.queue.byAdapter.get(adapter)
    if (!group) continue
    const copies = countCopies(tables, adapter)
    for (const rank of RANKS) queued[rank] += group.byRank[rank].length / copies
  }
  queued.bulk = tables.queue.byRank.bulk.length / tables.endpoints.size
  for (const rank of RANKS) queued[rank] = Math.ceil(queued[rank])
  return queued
}

/** Counts the owned endpoints that hold or load an adapter. */
export function countCopies(tables: SchedulerTables, adapter: AdapterKey): number {
  let copies = 0
  for (const row of tables.endpoints.values())
    if (row.residents.has(adapter) || row.loading.has(adapter)) copies++
  return copies
}

/** Returns whether new work may be sent to an endpoint: it is reachable, live and has sent a report. */
export function isAvailable(row: EndpointRow): boolean {
  return row.isReachable && row.phase === "live" && row.incarnation !== undefined
}

/** Returns whether an adapter may be granted at an endpoint: it is resident, not being evicted and not suspect. */
export function canGrant(row: EndpointRow, adapter: AdapterKey): boolean {
  return row.residents.has(adapter) && !row.evicting.has(adapter) && !row.suspects.has(adapter)
}

/** Counts the slots that resident and loading adapters use. */
export function countSlots(row: EndpointRow): number {
  return row.residents.size + row.loading.size
}

/** Returns whether an endpoint may run another request. */
export function hasCapacity(row: EndpointRow): boolean {
  return row.running.size + 1 <= row.limit
}
