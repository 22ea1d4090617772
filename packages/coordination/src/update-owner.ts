import { type AdapterKey, type Incarnation, RefusedError } from "@galenaway/core"
import { listHoldingsRequests, renewOwner } from "./create-owner.js"
import { applyHoldings } from "./holdings.js"
import type { OwnerEffect, OwnerEvent, OwnerState, OwnerTransaction } from "./owner.js"
import {
  finishTransaction,
  listBriefings,
  listFenceOrders,
  listWitnesses,
} from "./finish-transaction.js"
import {
  cancelEviction,
  applyAcknowledgement,
  applyUnloadResult,
  closeOwnership,
  listPendingAnnouncements,
  applyRefusal,
  applyWitnessLoss,
  startEviction,
  removeKey,
} from "./evictions.js"

type EventOf<K extends OwnerEvent["kind"]> = Extract<OwnerEvent, { kind: K }>

/**
 * Computes an owner's next state and the effects to carry out, in order. Throws
 * a RefusedError for a grant of an adapter that can't be granted.
 */
export function updateOwner(state: OwnerState, event: OwnerEvent): OwnerTransaction {
  return finishTransaction(state, applyEvent(state, event))
}

/**
 * Returns whether the adapter may be granted or loaded: the owner is active, and
 * no eviction or earlier order can evict it.
 */
export function canGrant(state: OwnerState, adapter: AdapterKey): boolean {
  return state.phase === "active" && !state.evictions.has(adapter) && !state.suspects.has(adapter)
}

/**
 * Returns whether a holder uses the adapter, or may use it because a holdings
 * report is pending. A pinned adapter is not evicted.
 */
export function isPinned(state: OwnerState, adapter: AdapterKey): boolean {
  if (state.pendingReports.size > 0) return true
  return [...state.grants.values()].some(({ grant }) => grant.adapter === adapter)
}

function applyEvent(state: OwnerState, event: OwnerEvent): OwnerTransaction {
  switch (event.kind) {
    case "eviction-wanted":
      return startEviction(state, event.adapter, isPinned(state, event.adapter))
    case "eviction-abandoned":
      return cancelEviction(state, event.adapter)
    case "acknowledged":
      return applyAcknowledgement(state, event)
    case "announcement-refused":
      return applyRefusal(state, event)
    case "witness-briefed":
      return applyBriefingReply(state, event)
    case "unload-answered":
      return applyUnloadResult(state, event)
    case "granted":
      return addGrant(state, event)
    case "grant-returned":
      return removeGrant(state, event.grant)
    case "holdings-reported":
      return applyHoldings(state, event)
    case "fence-answered":
      return applyFenceResult(state, event)
    case "member-gone":
      return removeGoneMember(state, event.member)
    case "endpoint-confirmed":
      return confirmEndpoint(state)
    case "endpoint-restarted":
      return restartEndpoint(state)
    case "ownership-changed":
      return changeOwnership(state, event)
    case "retry-due":
      return { state, effects: listRetries(state) }
  }
}

function applyBriefingReply(
  state: OwnerState,
  event: EventOf<"witness-briefed">,
): OwnerTransaction {
  if (event.epoch !== state.ownership.epoch || state.phase !== "active")
    return { state, effects: [] }
  const pendingBriefings = removeItem(state.pendingBriefings, event.witness)
  return { state: { ...state, pendingBriefings }, effects: [] }
}

function addGrant(state: OwnerState, { grant, holder }: EventOf<"granted">): OwnerTransaction {
  if (!canGrant(state, grant.adapter))
    throw new RefusedError(
      "conflict",
      "grant",
      state.endpoint,
      `${grant.adapter} may be evicted, so it is not granted`,
    )
  const grants = new Map(state.grants).set(grant.id, { grant, holder })
  return { state: { ...state, grants }, effects: [] }
}

/**
 * A grant that is returned before its holder's report arrives is recorded, so
 * that the report doesn't add it.
 */
function removeGrant(state: OwnerState, id: string): OwnerTransaction {
  if (state.grants.has(id))
    return { state: { ...state, grants: removeKey(state.grants, id) }, effects: [] }
  if (state.pendingReports.size === 0) return { state, effects: [] }
  return { state: { ...state, earlyReturns: new Set([...state.earlyReturns, id]) }, effects: [] }
}

function applyFenceResult(state: OwnerState, event: EventOf<"fence-answered">): OwnerTransaction {
  const { fencingNumber, result } = event
  const { epoch } = state.ownership
  if (fencingNumber !== epoch || state.phase !== "active") return { state, effects: [] }
  if (result === "fenced") return closeOwnership(state)
  if (result !== "done") return { state, effects: [] }
  const unresolved = new Map([...state.unresolved].filter(([, order]) => order.epoch >= epoch))
  return { state: { ...state, isFenced: true, unresolved }, effects: [] }
}

/** Removes an ended incarnation as a holder, a predecessor and a witness. */
function removeGoneMember(state: OwnerState, member: Incarnation): OwnerTransaction {
  const next = {
    ...state,
    pendingReports: removeItem(state.pendingReports, member),
    pendingBriefings: removeItem(state.pendingBriefings, member),
    grants: new Map([...state.grants].filter(([, { holder }]) => holder !== member)),
    predecessors: new Map([...state.predecessors].filter(([, { owner }]) => owner !== member)),
  }
  return applyWitnessLoss(next, member)
}

/**
 * Marks the unresolved orders as confirmed. They were sent before the report was
 * requested, so to the process that made the report or to an earlier one.
 */
function confirmEndpoint(state: OwnerState): OwnerTransaction {
  const entries = [...state.unresolved]
  if (entries.every(([, { isConfirmed }]) => isConfirmed)) return { state, effects: [] }
  const unresolved = new Map(entries.map(([id, order]) => [id, { ...order, isConfirmed: true }]))
  return { state: { ...state, unresolved }, effects: [] }
}

/**
 * After a restart the endpoint has lost the highest fencing number and the
 * orders that its old process received. The suspects that this owner's fencing
 * number had cleared are suspects again, so every witness needs a new briefing.
 */
function restartEndpoint(state: OwnerState): OwnerTransaction {
  const next = {
    ...state,
    unresolved: new Map([...state.unresolved].filter(([, { isConfirmed }]) => !isConfirmed)),
    isFenced: false,
    pendingBriefings: state.isFenced
      ? new Set(listWitnesses(state.ownership))
      : state.pendingBriefings,
  }
  return { state: next, effects: listFenceOrders(next) }
}

function changeOwnership(
  state: OwnerState,
  { ownership, members }: EventOf<"ownership-changed">,
): OwnerTransaction {
  if (ownership.epoch < state.ownership.epoch) return { state, effects: [] }
  if (ownership.owner !== state.ownership.owner) return closeOwnership(state)
  if (ownership.epoch > state.ownership.epoch) return renewOwner(state, ownership, members)
  const listed = new Set(ownership.predecessors.map(({ epoch }) => epoch))
  const predecessors = new Map([...state.predecessors].filter(([epoch]) => listed.has(epoch)))
  return { state: { ...state, ownership, predecessors }, effects: [] }
}

function listRetries(state: OwnerState): readonly OwnerEffect[] {
  if (state.phase === "deposed") return []
  return [
    ...listHoldingsRequests(state),
    ...listFenceOrders(state),
    ...listWitnessRequests(state),
    ...listBriefings(state),
    ...listPendingAnnouncements(state),
  ]
}

/**
 * Requests new reports from the witnesses of unresolved predecessors. Each
 * report can reduce the suspects.
 */
function listWitnessRequests({
  predecessors,
  pendingReports,
  ownership,
}: OwnerState): readonly OwnerEffect[] {
  const isUnresolved = (hasReport: boolean, announced: ReadonlySet<AdapterKey>) =>
    !hasReport || announced.size > 0
  const witnesses = [...predecessors.values()]
    .filter(({ hasWitnessReport, announced }) => isUnresolved(hasWitnessReport, announced))
    .flatMap((entry) => [...entry.witnesses])
  return [...new Set(witnesses)]
    .filter((witness) => !pendingReports.has(witness))
    .map((to) => ({ kind: "ask-holdings", to, epoch: ownership.epoch }))
}

function removeItem<T>(items: ReadonlySet<T>, item: T): ReadonlySet<T> {
  if (!items.has(item)) return items
  const next = new Set(items)
  next.delete(item)
  return next
}
