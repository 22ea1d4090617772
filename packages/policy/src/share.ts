import type { DataCentre, EndpointId, Incarnation, Millis } from "@galenaway/core"
import type { LoadLimits } from "./settings.js"

/**
 * How long an ownership must be unchanged before it counts towards the share. It
 * is more than twice the time in which a change reaches every instance.
 */
export const SHARE_HOLD_BACK_MS = 3200
/** A view that was not confirmed for this long may have missed a change. It is less than half of {@link SHARE_HOLD_BACK_MS}. */
export const SHARE_VIEW_LIFETIME_MS = 1500
/** Fraction of an endpoint's share that is used while another owner may be using it too, or while the view is outdated. */
const CONTESTED_SHARE = 0.5

/** One owner's share of the weight store's budget. */
export interface LoadShare {
  readonly ratePerSecond: number
  /** Number of loads that may start at once. */
  readonly burst: number
  /** Maximum number of concurrent loads. */
  readonly inTransit: number
}

/** The part of an ownership document that the share depends on. */
export interface OwnershipView {
  readonly dataCentre: DataCentre
  readonly epoch: number
  readonly members: readonly { readonly phase: "live" | "leaving" | "suspect" }[]
  readonly ownerships: readonly OwnedEndpoint[]
}

/** An endpoint's owner, and the epoch of the document in which its ownership began. */
export interface OwnedEndpoint {
  readonly endpoint: EndpointId
  readonly owner: Incarnation
  readonly epoch: number
  /** Previous owners that may still be active. Without any, no other instance uses the endpoint's share, so it counts at once. */
  readonly predecessors: readonly PreviousOwner[]
}

/** A previous owner of an endpoint, and the epoch in which its ownership began. */
export interface PreviousOwner {
  readonly owner: Incarnation
  readonly epoch: number
}

/** The state of the ownership documents from which an instance computes its load share. */
export interface ShareTables {
  readonly self: Incarnation
  /** Number of endpoints in the settings. Their documents may not have been read yet. */
  readonly endpointCount: number
  /** Returns whether an endpoint takes part in the division of the budget. */
  readonly isCounted: (endpoint: EndpointId) => boolean
  readonly documents: Map<DataCentre, DocumentState>
  /** Endpoints that a successor has requested, with the successor's epoch. */
  readonly losses: Map<EndpointId, number>
  /** Recent total numbers of endpoints in all documents, each with the time at which it was last seen. */
  readonly totalsSeenAt: Map<number, Millis>
}

interface DocumentState {
  readonly view: OwnershipView
  confirmedAt: Millis
  /** Endpoints of this instance, each with the epoch of its ownership and the time at which it was first seen. */
  readonly gains: Map<EndpointId, Gain>
}

interface Gain {
  readonly epoch: number
  readonly at: Millis
  /** Whether a previous owner may still be using the share. */
  readonly isContested: boolean
}

/**
 * Creates tables without any document. Use the filter `isCounted` to exclude
 * endpoints that load no adapters, such as plain services.
 */
export function createShareTables(
  self: Incarnation,
  endpointCount: number,
  isCounted: (endpoint: EndpointId) => boolean = () => true,
): ShareTables {
  return {
    self,
    endpointCount,
    isCounted,
    documents: new Map(),
    losses: new Map(),
    totalsSeenAt: new Map(),
  }
}

/** Applies a document that was read at `now`. Call it after each read or watch result, even when nothing changed. */
export function applyOwnership(tables: ShareTables, view: OwnershipView, now: Millis): void {
  const before = tables.documents.get(view.dataCentre)
  const hasSuspect = view.members.some((member) => member.phase === "suspect")
  const gains = new Map<EndpointId, Gain>()
  for (const ownership of view.ownerships) {
    const { endpoint, owner, epoch } = ownership
    if (owner !== tables.self || !tables.isCounted(endpoint)) continue
    if (epoch < (tables.losses.get(endpoint) ?? 0)) continue
    const gain = before?.gains.get(endpoint)
    const next = gain?.epoch === epoch ? gain : createGain(tables, ownership, gain, now)
    gains.set(endpoint, { ...next, isContested: next.isContested && hasSuspect })
  }
  tables.documents.set(view.dataCentre, { view, confirmedAt: now, gains })
  recordTotal(tables.totalsSeenAt, countEndpoints(tables), now)
}

/** Releases an endpoint's share at once because a successor with this epoch has requested it. Call it before the answer is sent. */
export function applyLoss(tables: ShareTables, endpoint: EndpointId, epoch: number): void {
  tables.losses.set(endpoint, Math.max(epoch, tables.losses.get(endpoint) ?? 0))
  for (const { gains } of tables.documents.values()) {
    const gain = gains.get(endpoint)
    if (gain && gain.epoch < epoch) gains.delete(endpoint)
  }
}

/** Counts a gained endpoint without a hold-back time. Call it when every previous owner has released its share or has ended. */
export function confirmGain(tables: ShareTables, endpoint: EndpointId, epoch: number): void {
  for (const { gains } of tables.documents.values()) {
    const gain = gains.get(endpoint)
    if (gain?.epoch === epoch) gains.set(endpoint, { epoch, at: -Infinity, isContested: false })
  }
}

/**
 * Computes an instance's share of the weight store's budget from the endpoints
 * that it owns. The sum of all instances' rates stays within the limit as long as
 * changes reach every instance within {@link SHARE_VIEW_LIFETIME_MS}, because a
 * loss counts at once and an endpoint gained from an owner that may still be active
 * only after {@link SHARE_HOLD_BACK_MS}. Burst and loads in transit are at least 1
 * for each instance that owns an endpoint.
 */
export function computeLoadShare(tables: ShareTables, limits: LoadLimits, now: Millis): LoadShare {
  let owned = 0
  for (const document of tables.documents.values()) owned += countOwned(document, now)
  if (owned === 0) return { ratePerSecond: 0, burst: 0, inTransit: 0 }
  const share = owned / getHighestTotal(tables)
  return {
    ratePerSecond: limits.ratePerSecond * share,
    burst: Math.max(1, Math.floor(limits.burst * share)),
    inTransit: Math.max(1, Math.floor(limits.inTransit * share)),
  }
}

/** Keeps the state of the previous epoch, unless another instance has owned the endpoint since and may still use its share. */
function createGain(
  tables: ShareTables,
  { epoch, predecessors }: OwnedEndpoint,
  previous: Gain | undefined,
  now: Millis,
): Gain {
  const previousEpoch = previous?.epoch ?? 0
  const hasOtherOwner = predecessors.some(
    (each) => each.owner !== tables.self && each.epoch > previousEpoch,
  )
  if (hasOtherOwner) return { epoch, at: now, isContested: true }
  return { epoch, at: previous?.at ?? -Infinity, isContested: previous?.isContested ?? false }
}

function countOwned({ confirmedAt, gains }: DocumentState, now: Millis): number {
  const isStale = now - confirmedAt > SHARE_VIEW_LIFETIME_MS
  let owned = 0
  for (const gain of gains.values()) {
    if (!isSettled(gain, now)) continue
    owned += isStale || gain.isContested ? CONTESTED_SHARE : 1
  }
  return owned
}

function isSettled(gain: Gain, now: Millis): boolean {
  return now - gain.at >= SHARE_HOLD_BACK_MS
}

function countEndpoints(tables: ShareTables): number {
  let count = 0
  for (const { view } of tables.documents.values())
    for (const { endpoint } of view.ownerships) if (tables.isCounted(endpoint)) count++
  return count
}

/** Returns the highest total number of endpoints seen within the hold-back time before the latest document, or the number in the settings if that is higher. */
function getHighestTotal({ endpointCount, totalsSeenAt }: ShareTables): number {
  return Math.max(endpointCount, ...totalsSeenAt.keys())
}

function recordTotal(seen: Map<number, Millis>, value: number, now: Millis): void {
  for (const [old, at] of seen) if (now - at > SHARE_HOLD_BACK_MS) seen.delete(old)
  seen.set(value, now)
}
