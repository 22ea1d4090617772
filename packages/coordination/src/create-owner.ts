import type { Fencing, Incarnation } from "@galenaway/core"
import type { Ownership, Predecessor } from "./document.js"
import type { OwnerEffect, OwnerState, OwnerTransaction, PredecessorState } from "./owner.js"
import { finishTransaction, listWitnesses, removeAnnounced } from "./finish-transaction.js"

/**
 * Creates the state of a new owner, called when the document first names this
 * incarnation as the owner. The members are all of that document. The owner
 * asks them what they hold; it grants once the predecessors can do no more
 * harm, and evicts once every member has answered or is known to be gone.
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
 * Begins a new epoch of the same owner, after its witnesses were replaced or
 * its epoch was sealed. What is announced is given up. What is ordered goes
 * on, and is told to the new witnesses before anything else is announced.
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

/** The first questions of an epoch, which are also repeated until they are answered. */
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

/** An owner knows its own orders of earlier epochs; they stay among its evictions and unresolved orders. */
function renewPredecessor(before: OwnerState, entry: Predecessor): PredecessorState {
  const known = before.predecessors.get(entry.epoch)
  if (known) return known
  const isOwn = entry.epoch === before.ownership.epoch
  return { ...createPredecessor(entry), hasWitnessReport: isOwn }
}
