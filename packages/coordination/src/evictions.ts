import type { AdapterKey, Incarnation, OrderResult } from "@galenaway/core"
import type { AnnouncedEviction } from "./member.js"
import type { PendingEviction, OwnerEffect, OwnerState, OwnerTransaction } from "./owner.js"
import { listWitnesses, removeAnnounced } from "./finish-transaction.js"

/**
 * Announces an eviction to every witness. It is blocked while the adapter is
 * pinned, or while the owner may not announce evictions.
 */
export function startEviction(
  state: OwnerState,
  adapter: AdapterKey,
  isPinned: boolean,
): OwnerTransaction {
  if (state.evictions.has(adapter)) return { state, effects: [] }
  const isReady =
    state.phase === "active" && state.pendingBriefings.size === 0 && !state.isWitnessLost
  if (!isReady || isPinned) return { state, effects: [{ kind: "eviction-blocked", adapter }] }
  const { epoch } = state.ownership
  const announcement = state.announcementCount + 1
  const pendingWitnesses = new Set(listWitnesses(state.ownership))
  const eviction: PendingEviction = {
    adapter,
    epoch,
    announcement,
    step: "announced",
    pendingWitnesses,
  }
  return {
    state: setEviction({ ...state, announcementCount: announcement }, eviction),
    effects: listAnnouncements(eviction),
  }
}

/** Cancels an announced eviction. One that was already ordered continues. */
export function cancelEviction(state: OwnerState, adapter: AdapterKey): OwnerTransaction {
  if (state.evictions.get(adapter)?.step !== "announced") return { state, effects: [] }
  return {
    state: { ...state, evictions: removeKey(state.evictions, adapter) },
    effects: [{ kind: "eviction-blocked", adapter }],
  }
}

/** Records an acknowledgement, and orders the eviction once every witness has acknowledged it. */
export function applyAcknowledgement(
  state: OwnerState,
  event: AnnouncedEviction & { readonly witness: Incarnation },
): OwnerTransaction {
  const eviction = findAnnounced(state, event)
  if (!eviction) return { state, effects: [] }
  const pendingWitnesses = new Set(eviction.pendingWitnesses)
  pendingWitnesses.delete(event.witness)
  if (pendingWitnesses.size > 0)
    return { state: setEviction(state, { ...eviction, pendingWitnesses }), effects: [] }
  const { adapter, announcement, epoch } = eviction
  return {
    state: setEviction(state, { ...eviction, step: "ordered", pendingWitnesses }),
    effects: [{ kind: "unload", adapter, announcement, fencingNumber: epoch }],
  }
}

/**
 * Cancels the announced evictions when a witness of the current epoch is gone,
 * and requests a renewal. The witness may have sealed the epoch before it ended,
 * so its end doesn't count as an acknowledgement, and the epoch announces no
 * further evictions.
 */
export function applyWitnessLoss(state: OwnerState, witness: Incarnation): OwnerTransaction {
  if (!listWitnesses(state.ownership).includes(witness) || state.phase === "deposed")
    return { state, effects: [] }
  const { evictions, blocked } = removeAnnounced(state)
  return {
    state: { ...state, evictions, isWitnessLost: true },
    effects: [...blocked, { kind: "renewal-wanted" }],
  }
}

/**
 * Cancels the announced evictions when a witness refuses one of them. If the
 * witness has sealed the epoch, the owner requests a renewal. If the witness
 * accepts only later epochs, a newer document exists and the owner waits for it.
 */
export function applyRefusal(
  state: OwnerState,
  event: AnnouncedEviction & { readonly minimumEpoch: number },
): OwnerTransaction {
  if (!findAnnounced(state, event)) return { state, effects: [] }
  const { evictions, blocked } = removeAnnounced(state)
  const isSealed = event.minimumEpoch <= state.ownership.epoch
  const renewal: readonly OwnerEffect[] = isSealed ? [{ kind: "renewal-wanted" }] : []
  return { state: { ...state, evictions }, effects: [...blocked, ...renewal] }
}

/**
 * Applies the result of an unload order. After an unresolved result the
 * adapter stays a suspect, because the order may still take effect.
 */
export function applyUnloadResult(
  state: OwnerState,
  event: {
    readonly adapter: AdapterKey
    readonly announcement: number
    readonly result: OrderResult
  },
): OwnerTransaction {
  const eviction = state.evictions.get(event.adapter)
  const isCurrent = eviction?.step === "ordered" && eviction.announcement === event.announcement
  if (!isCurrent) return applyLateResult(state, event.announcement, event.result)
  const next = { ...state, evictions: removeKey(state.evictions, event.adapter) }
  return resolveEviction(next, eviction, event.result)
}

/** Ends an ownership. Announced evictions are canceled; ordered evictions are still settled. */
export function closeOwnership(state: OwnerState): OwnerTransaction {
  if (state.phase === "deposed") return { state, effects: [] }
  const { evictions, blocked } = removeAnnounced(state)
  return {
    state: { ...state, phase: "deposed", evictions },
    effects: [...blocked, { kind: "deposed" }],
  }
}

/** Lists the announcements to send again, one for each pending acknowledgement. */
export function listPendingAnnouncements({ evictions }: OwnerState): readonly OwnerEffect[] {
  return [...evictions.values()].flatMap(listAnnouncements)
}

/** Copies a map without one key. */
export function removeKey<K, V>(map: ReadonlyMap<K, V>, key: K): ReadonlyMap<K, V> {
  const next = new Map(map)
  next.delete(key)
  return next
}

function resolveEviction(
  state: OwnerState,
  { adapter, epoch, announcement }: PendingEviction,
  result: OrderResult,
): OwnerTransaction {
  switch (result) {
    case "done":
      return { state, effects: [{ kind: "evicted", adapter }] }
    case "rejected":
      return { state, effects: [{ kind: "eviction-blocked", adapter }] }
    case "fenced": {
      const isDeposed = epoch === state.ownership.epoch
      const next = isDeposed ? closeOwnership(state) : { state, effects: [] }
      const effects = [{ kind: "eviction-blocked", adapter } as const, ...next.effects]
      return { state: next.state, effects }
    }
    case "unresolved": {
      const unresolved = new Map(state.unresolved).set(announcement, {
        adapter,
        epoch,
        announcement,
        isConfirmed: false,
      })
      return { state: { ...state, unresolved }, effects: [{ kind: "eviction-blocked", adapter }] }
    }
  }
}

/** Applies a result that arrives after its order was already recorded as unresolved. */
function applyLateResult(
  state: OwnerState,
  announcement: number,
  result: OrderResult,
): OwnerTransaction {
  const order = state.unresolved.get(announcement)
  if (!order || result === "unresolved") return { state, effects: [] }
  const next = { ...state, unresolved: removeKey(state.unresolved, announcement) }
  return {
    state: next,
    effects: result === "done" ? [{ kind: "evicted", adapter: order.adapter }] : [],
  }
}

function findAnnounced(state: OwnerState, event: AnnouncedEviction): PendingEviction | undefined {
  const eviction = state.evictions.get(event.adapter)
  const isSame =
    eviction?.step === "announced" &&
    eviction.epoch === event.epoch &&
    eviction.announcement === event.announcement
  return isSame ? eviction : undefined
}

function setEviction(state: OwnerState, eviction: PendingEviction): OwnerState {
  return {
    ...state,
    evictions: new Map(state.evictions).set(eviction.adapter, eviction),
  }
}

function listAnnouncements({
  adapter,
  epoch,
  announcement,
  pendingWitnesses,
}: PendingEviction): readonly OwnerEffect[] {
  return [...pendingWitnesses].map((to) => ({ kind: "announce", to, adapter, epoch, announcement }))
}
