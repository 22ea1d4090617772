import type { DataCentre, EndpointId, Incarnation, Millis } from "@galenaway/core"
import type { LoadLimits } from "./settings.js"

/**
 * How long an ownership must have been seen unchanged before it counts. It is
 * more than twice the time in which a change reaches every instance.
 */
export const SHARE_HOLD_BACK_MS = 3200
/** A view that wasn't confirmed for this long may have missed a change. It is less than half of the hold-back time. */
export const SHARE_VIEW_LIFETIME_MS = 1500
/** What is left of a share that a successor may be using too. */
const CONTESTED_SHARE = 0.5

/** One owner's part of the weight store's budget. */
export interface LoadShare {
  readonly ratePerSecond: number
  /** Loads that may start at once. */
  readonly burst: number
  /** Loads in transit at once. */
  readonly inTransit: number
}

/** The part of an ownership document that the share depends on. */
export interface OwnershipView {
  readonly dataCentre: DataCentre
  readonly epoch: number
  readonly members: readonly { readonly phase: "live" | "leaving" | "suspect" }[]
  readonly ownerships: readonly OwnedEndpoint[]
}

/** Who owns an endpoint, and since which epoch of the document. */
export interface OwnedEndpoint {
  readonly endpoint: EndpointId
  readonly owner: Incarnation
  readonly epoch: number
  /** Earlier owners that may still act. Without one nobody else uses the part, so that it counts at once. */
  readonly predecessors: readonly PreviousOwner[]
}

/** Who owned an endpoint before, and since which epoch. */
export interface PreviousOwner {
  readonly owner: Incarnation
  readonly epoch: number
}

/** What an instance has seen of the ownership documents, as far as its share depends on it. */
export interface ShareTables {
  readonly self: Incarnation
  /** Endpoints that the settings name, whose documents may not have been seen yet. */
  readonly endpointCount: number
  readonly isCounted: (endpoint: EndpointId) => boolean
  readonly documents: Map<DataCentre, DocumentState>
  /** Endpoints that a successor has asked for, with its epoch. */
  readonly losses: Map<EndpointId, number>
  /** Number of endpoints in all documents, with the time at which the number was last seen. */
  readonly totalsSeenAt: Map<number, Millis>
}

interface DocumentState {
  readonly view: OwnershipView
  confirmedAt: Millis
  /** Own endpoints with the epoch of the ownership and the time at which it was first seen. */
  readonly gains: Map<EndpointId, Gain>
}

interface Gain {
  readonly epoch: number
  readonly at: Millis
  /** Whether the predecessor may still be using the share. */
  readonly isContested: boolean
}

/**
 * Creates the tables of an instance that has seen nothing yet. Endpoints that
 * load no adapters, such as plain services, are left out by the filter.
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

/** Takes in a document that was read at this time. It is called for each read or watch, also when nothing changed. */
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

/** Gives an endpoint's part up at once, since a successor with this epoch has asked. It is called before the answer leaves. */
export function applyLoss(tables: ShareTables, endpoint: EndpointId, epoch: number): void {
  tables.losses.set(endpoint, Math.max(epoch, tables.losses.get(endpoint) ?? 0))
  for (const { gains } of tables.documents.values()) {
    const gain = gains.get(endpoint)
    if (gain && gain.epoch < epoch) gains.delete(endpoint)
  }
}

/** Counts a gained endpoint from now on: every earlier owner has given its part up, or has ended. */
export function confirmGain(tables: ShareTables, endpoint: EndpointId, epoch: number): void {
  for (const { gains } of tables.documents.values()) {
    const gain = gains.get(endpoint)
    if (gain?.epoch === epoch) gains.set(endpoint, { epoch, at: -Infinity, isContested: false })
  }
}

/**
 * Computes an instance's part of the weight store's budget from what it owns.
 * The rates of all instances never add up to more than the whole while changes
 * reach everybody within {@link SHARE_VIEW_LIFETIME_MS}: a loss counts at once,
 * a gain only after {@link SHARE_HOLD_BACK_MS}. Each owner may always have one
 * load in transit.
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

/** A new epoch of the same owner goes on as before; others who owned the endpoint since then may still use its part. */
function createGain(
  tables: ShareTables,
  { epoch, predecessors }: OwnedEndpoint,
  previous: Gain | undefined,
  now: Millis,
): Gain {
  const since = previous?.epoch ?? 0
  const rivals = predecessors.filter((each) => each.owner !== tables.self && each.epoch > since)
  if (rivals.length > 0) return { epoch, at: now, isContested: true }
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

/** Returns the highest number of endpoints seen within the hold-back time before the latest view. */
function getHighestTotal({ endpointCount, totalsSeenAt }: ShareTables): number {
  return Math.max(endpointCount, ...totalsSeenAt.keys())
}

function recordTotal(seen: Map<number, Millis>, value: number, now: Millis): void {
  for (const [old, at] of seen) if (now - at > SHARE_HOLD_BACK_MS) seen.delete(old)
  seen.set(value, now)
}
