import type { Fencing, Incarnation } from "@galenaway/core"
import type { Ownership, Predecessor } from "./document.js"
import type { OwnerEffect, OwnerState, OwnerTransaction, PredecessorState } from "./owner.js"
import { finishTransaction, listWitnesses, removeAnnounced } from "./finish-transaction.js"

/**
 * Creates the state of a new owner. Call it when the document first names this
 * incarnation as the owner, with all members of that document. The effects
 * request a holdings report from each member. The owner grants once it has a
 * witness's report for each predecessor, and evicts once every member has
 * reported or is known to be gone.
 */
export function createOwner(
  ownership: Ownership,
  fencing: Fencing,
  members: readonly Incarnation[],
): OwnerTransaction {
  const state: OwnerState = {
    endpoint: ownership.endpoint,
    fencing,
    ownership,
    phase: "taking-over",
    pendingReports: new Set(members),
    earlyReturns: new Set(),
    predecessors: createPredecessors(ownership.predecessors),
    isFenced: false,
    pendingBriefings: new Set(listWitnesses(ownership)),
    isWitnessLost: false,
    grants: new Map(),
    evictions: new Map(),
    unresolved: new Map(),
    announcementCount: 0,
    suspects: new Set(),
  }
  return finishTransaction(state, { state, effects: listHoldingsRequests(state) })
}

/**
 * Starts a new epoch of the same owner, after its witnesses were replaced or
 * its epoch was sealed. Announced evictions are canceled. Ordered evictions
 * continue, and the new witnesses receive them in a briefing before anything
 * else is announced.
 */
export function renewOwner(
  before: OwnerState,
  ownership: Ownership,
  members: readonly Incarnation[],
): OwnerTransaction {
  const { evictions, blocked } = removeAnnounced(before)
  const state: OwnerState = {
    ...before,
    ownership,
    phase: "taking-over",
    pendingReports: new Set(members),
    earlyReturns: new Set(),
    predecessors: new Map(
      ownership.predecessors.map((entry) => [entry.epoch, renewPredecessor(before, entry)]),
    ),
    isFenced: false,
    pendingBriefings: new Set(listWitnesses(ownership)),
    isWitnessLost: false,
    evictions,
  }
  return { state, effects: [...blocked, ...listHoldingsRequests(state)] }
}

/** Lists the requests for the holdings reports that are still pending in this epoch. */
export function listHoldingsRequests({
  pendingReports,
  ownership,
}: OwnerState): readonly OwnerEffect[] {
  const { epoch } = ownership
  return [...pendingReports].map((to) => ({ kind: "ask-holdings", to, epoch }))
}

function createPredecessors(
  entries: readonly Predecessor[],
): ReadonlyMap<number, PredecessorState> {
  return new Map(entries.map((entry) => [entry.epoch, createPredecessor(entry)]))
}

function createPredecessor(entry: Predecessor): PredecessorState {
  const witnesses = new Set(listWitnesses(entry))
  const { owner, epoch } = entry
  return { owner, epoch, witnesses, hasWitnessReport: false, announced: new Set() }
}

/**
 * Keeps the state of a known predecessor. The owner's own previous epoch needs
 * no witness's report, because its orders are still in `evictions` and `unresolved`.
 */
function renewPredecessor(before: OwnerState, entry: Predecessor): PredecessorState {
  const existing = before.predecessors.get(entry.epoch)
  if (existing) return existing
  const isOwn = entry.epoch === before.ownership.epoch
  return { ...createPredecessor(entry), hasWitnessReport: isOwn }
}
