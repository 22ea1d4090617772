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
 * Completes a transaction: derives the suspects, activates an owner that has
 * become safe, and tells the witnesses what is settled.
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

/** Lists those who must acknowledge an ownership's evictions. The owner is its own witness, so that its own answer counts too. */
export function listWitnesses({
  owner,
  witnesses,
}: Pick<Predecessor, "owner" | "witnesses">): readonly Incarnation[] {
  return [...witnesses, owner]
}

/** Gives up announced evictions; ordered ones stay. */
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
 * Lists the order that makes a checking endpoint refuse older numbers. It is
 * sent only by an active owner: what predecessors can still order is known
 * then and grows no more, so that an endpoint which restarts, and forgets the
 * number, can't meet an order that nobody has told.
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

/** Lists the messages that tell witnesses what they must know before anything is announced. */
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
  const isBriefed = [...state.predecessors.values()].every((entry) => entry.hasWitnessReport)
  const phase = isBriefed ? "active" : "taking-over"
  return phase === state.phase ? state : { ...state, phase }
}

function listSuspects(state: OwnerState): ReadonlySet<AdapterKey> {
  const told = state.isFenced
    ? []
    : [...state.predecessors.values()].flatMap(({ announced }) => [...announced])
  const own = [...state.unresolved.values()].map(({ adapter }) => adapter)
  return new Set([...told, ...own])
}

function reuseEqualSet(
  before: ReadonlySet<AdapterKey>,
  after: ReadonlySet<AdapterKey>,
): ReadonlySet<AdapterKey> {
  const isSame = before.size === after.size && [...after].every((adapter) => before.has(adapter))
  return isSame ? before : after
}

function listUnsettled({ evictions, suspects }: OwnerState): ReadonlySet<AdapterKey> {
  return new Set([...evictions.keys(), ...suspects])
}

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

/** An own earlier epoch is resolved once the new witnesses know its open orders. */
function isResolved(
  state: OwnerState,
  { owner, hasWitnessReport, announced }: PredecessorState,
): boolean {
  const isOwn = owner === state.ownership.owner
  return hasWitnessReport && announced.size === 0 && (!isOwn || state.pendingBriefings.size === 0)
}
