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

/** Everything that an owner's scheduler knows. Only this package's functions change it. */
export interface SchedulerTables {
  settings: PolicySettings
  share: LoadShare
  readonly queue: RequestQueue
  readonly endpoints: Map<EndpointId, EndpointRow>
  /** Requests that came since the last tick and may be sent on to another owner. */
  readonly redirectable: RouteRequest[]
  /** Where each granted and not yet returned request runs. */
  readonly endpointByRequest: Map<RequestId, EndpointId>
  readonly popularity: Map<AdapterKey, DecayedCount>
  readonly backoffs: Map<AdapterKey, LoadBackoff>
  readonly loadBudget: LoadBudget
  /** Decayed counts of the loads ordered for each rank. */
  readonly loadsByRank: Record<Rank, number>
}

/** An endpoint that this instance owns. */
export interface EndpointRow {
  readonly info: EndpointInfo
  phase: EndpointPhase
  isReachable: boolean
  /** The engine's incarnation by its latest report; undefined before the first. */
  incarnation: string | undefined
  readonly residents: Map<AdapterKey, ResidentRow>
  /** Ordered and unanswered loads, with the time of the order. */
  readonly loading: Map<AdapterKey, Millis>
  /** Ordered and unanswered evictions. */
  readonly evicting: Set<AdapterKey>
  /** Adapters evicted of late, which a lagging report may still name. */
  readonly evictedAt: Map<AdapterKey, Millis>
  /** Adapters whose eviction was blocked, and when it may be tried again. */
  readonly blockedUntil: Map<AdapterKey, Millis>
  suspects: ReadonlySet<AdapterKey>
  readonly running: Map<RequestId, RunningRow>
  readonly runningByRank: Record<Rank, number>
  readonly urgentDemand: DecayedMean
  /** How many requests may run at once, learned from reports and returned grants. */
  limit: number
}

/** The decayed mean of the urgent requests that run on an endpoint. */
export interface DecayedMean {
  mean: number
  at: Millis
}

/** An adapter on an engine. */
export interface ResidentRow {
  readonly loadedAt: Millis
  usedAt: Millis
  /** Grants that pin it. */
  running: number
}

/** A granted request. */
export interface RunningRow {
  readonly adapter: AdapterKey
  readonly rank: Rank
  readonly grantedAt: Millis
  readonly maxTokens: number
}

/** A count of requests that halves with time. */
export interface DecayedCount {
  count: number
  at: Millis
}

/** When a failing load may be tried again. */
export interface LoadBackoff {
  failures: number
  retryAt: Millis
}

/** Loads that may start now. It refills at the share's rate up to its burst. */
export interface LoadBudget {
  tokens: number
  at: Millis | undefined
  /** When the last load was ordered. */
  usedAt: Millis
  /** When waiting adapters may be looked through again. */
  scanAt: Millis
}

/** What the owner tells others of an endpoint. */
export interface EndpointState {
  readonly phase: EndpointPhase
  readonly isReachable: boolean
  readonly running: number
  readonly queued: ByRank<number>
  readonly resident: ReadonlySet<AdapterKey>
  readonly loading: ReadonlySet<AdapterKey>
}

/** Creates the tables of an owner without endpoints. It orders no load before its share is set. */
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

/** Changes the policy. It holds from the next tick on, also for what waits. */
export function setPolicy(tables: SchedulerTables, settings: PolicySettings): void {
  tables.settings = settings
}

/** Changes this owner's part of the weight store's budget. It holds from the next tick on. */
export function setLoadShare(tables: SchedulerTables, share: LoadShare): void {
  tables.share = share
  tables.loadBudget.tokens = Math.min(tables.loadBudget.tokens, share.burst)
}

/** Lists the waiting requests. */
export function listQueued(tables: SchedulerTables): readonly RouteRequest[] {
  return [...tables.queue.byId.values()]
}

/**
 * Reads what the owner tells others of an endpoint. Requests wait at the owner
 * and not at an endpoint; those whose adapter it holds or loads count for it,
 * in equal parts for each endpoint that does. All bulk requests count, in equal
 * parts for all endpoints, so that bulk work goes where the backlog is shortest.
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

/** Counts the owned endpoints that hold an adapter or load it. */
export function countCopies(tables: SchedulerTables, adapter: AdapterKey): number {
  let copies = 0
  for (const row of tables.endpoints.values())
    if (row.residents.has(adapter) || row.loading.has(adapter)) copies++
  return copies
}

/** Tells whether new work may be sent to an endpoint. */
export function isAvailable(row: EndpointRow): boolean {
  return row.isReachable && row.phase === "live" && row.incarnation !== undefined
}

/** Tells whether an adapter may be granted at an endpoint: it is resident, not about to leave, and not suspect. */
export function canGrant(row: EndpointRow, adapter: AdapterKey): boolean {
  return row.residents.has(adapter) && !row.evicting.has(adapter) && !row.suspects.has(adapter)
}

/** Counts the adapters that take a slot or are about to. */
export function countSlots(row: EndpointRow): number {
  return row.residents.size + row.loading.size
}

/** Tells whether an endpoint may run one request more. */
export function hasCapacity(row: EndpointRow): boolean {
  return row.running.size + 1 <= row.limit
}
