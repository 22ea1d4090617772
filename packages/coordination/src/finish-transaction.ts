import type { AdapterKey, Incarnation } from "@galenaway/core"
import type { Predecessor } from "./document.js"
import type {
  PendingEviction,
  OwnerEffect,
  OwnerState,
  OwnerTransaction,
  PredecessorState,
} from "./owner.js"

/**
 * Completes a transaction: computes the suspects, activates an owner once each
 * predecessor has a witness's report, and adds the effects of these changes,
 * including the settlements for the witnesses.
 */
export function finishTransaction(
  before: OwnerState,
  { state, effects }: OwnerTransaction,
): OwnerTransaction {
  if (state === before && effects.length === 0) return { state, effects }
  const next = updatePhase({
    ...state,
    suspects: reuseEqualSet(state.suspects, listSuspects(state)),
  })
  const added = [
    ...listSettled(before, next),
    ...listSuspectChange(before, next),
    ...listActivation(before, next),
    ...listResolved(before, next),
  ]
  return { state: next, effects: [...effects, ...added] }
}

/**
 * Lists the incarnations that must acknowledge an ownership's evictions. The
 * owner is one of them, so that a successor can also use the owner's own report.
 */
export function listWitnesses({
  owner,
  witnesses,
}: Pick<Predecessor, "owner" | "witnesses">): readonly Incarnation[] {
  return [...witnesses, owner]
}

/** Removes announced evictions and lists them as blocked. Ordered evictions stay. */
export function removeAnnounced({ evictions }: OwnerState): {
  readonly evictions: ReadonlyMap<AdapterKey, PendingEviction>
  readonly blocked: readonly OwnerEffect[]
} {
  const entries = [...evictions]
  const blocked = entries
    .filter(([, { step }]) => step === "announced")
    .map(([adapter]): OwnerEffect => ({ kind: "eviction-blocked", adapter }))
  return { evictions: new Map(entries.filter(([, { step }]) => step === "ordered")), blocked }
}

/**
 * Lists the order that makes an endpoint with fencing refuse older numbers.
 * Only an active owner sends it, because the set of evictions that predecessors
 * can still order is then known and can't grow. An endpoint that restarts loses
 * the number and accepts older orders again, but only orders that the owner tracks.
 */
export function listFenceOrders({
  phase,
  fencing,
  isFenced,
  ownership,
}: OwnerState): readonly OwnerEffect[] {
  if (phase !== "active" || fencing === "ignored" || isFenced) return []
  return [{ kind: "fence", fencingNumber: ownership.epoch }]
}

/**
 * Lists the pending briefings. A briefing contains the adapters that earlier
 * orders may still evict; every witness must have it before an announcement.
 */
export function listBriefings(state: OwnerState): readonly OwnerEffect[] {
  if (state.phase !== "active") return []
  const { epoch } = state.ownership
  const adapters = [...listUnsettled(state)]
  return [...state.pendingBriefings].map((to) => ({
    kind: "brief-witness",
    to,
    epoch,
    announcement: state.announcementCount,
    adapters,
  }))
}

function updatePhase(state: OwnerState): OwnerState {
  if (state.phase === "deposed") return state
  const hasReports = [...state.predecessors.values()].every((entry) => entry.hasWitnessReport)
  const phase = hasReports ? "active" : "taking-over"
  return phase === state.phase ? state : { ...state, phase }
}

function listSuspects(state: OwnerState): ReadonlySet<AdapterKey> {
  const announced = state.isFenced
    ? []
    : [...state.predecessors.values()].flatMap(({ announced }) => [...announced])
  const own = [...state.unresolved.values()].map(({ adapter }) => adapter)
  return new Set([...announced, ...own])
}

/** Returns `before` if both sets are equal, so that a change can be detected by identity. */
function reuseEqualSet(
  before: ReadonlySet<AdapterKey>,
  after: ReadonlySet<AdapterKey>,
): ReadonlySet<AdapterKey> {
  const isSame = before.size === after.size && [...after].every((adapter) => before.has(adapter))
  return isSame ? before : after
}

/** Lists the adapters that a pending eviction or an earlier order may still evict. */
function listUnsettled({ evictions, suspects }: OwnerState): ReadonlySet<AdapterKey> {
  return new Set([...evictions.keys(), ...suspects])
}

/**
 * Lists the settlements for adapters that can't be evicted any more. They go to the
 * witnesses of the epoch before the transaction, which have the announcements.
 */
function listSettled(before: OwnerState, after: OwnerState): readonly OwnerEffect[] {
  const unsettled = listUnsettled(after)
  const { epoch } = before.ownership
  const announcement = after.announcementCount
  return [...listUnsettled(before)]
    .filter((adapter) => !unsettled.has(adapter))
    .flatMap((adapter) =>
      listWitnesses(before.ownership).map((to): OwnerEffect => ({
        kind: "settle",
        to,
        adapter,
        epoch,
        announcement,
      })),
    )
}

function listSuspectChange(before: OwnerState, after: OwnerState): readonly OwnerEffect[] {
  const { suspects } = after
  return suspects === before.suspects ? [] : [{ kind: "suspects-changed", suspects }]
}

function listActivation(before: OwnerState, after: OwnerState): readonly OwnerEffect[] {
  if (after.phase !== "active") return []
  const isNew = before.ownership.epoch !== after.ownership.epoch
  if (before.phase === "active" && !isNew) return []
  return [{ kind: "activated" }, ...listFenceOrders(after), ...listBriefings(after)]
}

function listResolved(before: OwnerState, after: OwnerState): readonly OwnerEffect[] {
  return [...after.predecessors.values()]
    .filter((entry) => isResolved(after, entry))
    .filter(({ epoch }) => {
      const entry = before.predecessors.get(epoch)
      return !entry || !isResolved(before, entry)
    })
    .map(({ epoch }) => ({ kind: "predecessor-resolved", epoch }))
}

/**
 * Returns whether a predecessor has no open orders that need tracking. The
 * owner's own earlier epoch is resolved once the new witnesses have received
 * its open orders in a briefing.
 */
function isResolved(
  state: OwnerState,
  { owner, hasWitnessReport, announced }: PredecessorState,
): boolean {
  const isOwn = owner === state.ownership.owner
  return hasWitnessReport && announced.size === 0 && (!isOwn || state.pendingBriefings.size === 0)
}
