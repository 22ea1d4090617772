import type { AdapterKey, Incarnation, OrderResult } from "@galenaway/core"
import type { AnnouncedEviction } from "./member.js"
import type { Eviction, OwnerEffect, OwnerState, OwnerTransaction } from "./owner.js"
import { listWitnesses, removeAnnounced } from "./settle.js"

/** Announces an eviction to every witness, unless a holder uses the adapter or may use it. */
export function wantEviction(
  state: OwnerState,
  adapter: AdapterKey,
  isPinned: boolean,
): OwnerTransaction {
  if (state.evictions.has(adapter)) return { state, effects: [] }
  const isReady = state.phase === "active" && state.unbriefed.size === 0 && !state.isWitnessLost
  if (!isReady || isPinned) return { state, effects: [{ kind: "eviction-blocked", adapter }] }
  const { epoch } = state.ownership
  const announcement = state.announcements + 1
  const awaited = new Set(listWitnesses(state.ownership))
  const eviction: Eviction = { adapter, epoch, announcement, step: "announced", awaited }
  return {
    state: setEviction({ ...state, announcements: announcement }, eviction),
    effects: listAnnouncements(eviction),
  }
}

/** Gives up an eviction that was not ordered yet. */
export function abandonEviction(state: OwnerState, adapter: AdapterKey): OwnerTransaction {
  if (state.evictions.get(adapter)?.step !== "announced") return { state, effects: [] }
  return {
    state: { ...state, evictions: removeKey(state.evictions, adapter) },
    effects: [{ kind: "eviction-blocked", adapter }],
  }
}

/** Orders the eviction once every witness has acknowledged it. */
export function applyAcknowledgement(
  state: OwnerState,
  event: AnnouncedEviction & { readonly witness: Incarnation },
): OwnerTransaction {
  const eviction = findAnnounced(state, event)
  if (!eviction) return { state, effects: [] }
  const awaited = new Set(eviction.awaited)
  awaited.delete(event.witness)
  if (awaited.size > 0) return { state: setEviction(state, { ...eviction, awaited }), effects: [] }
  const { adapter, announcement, epoch } = eviction
  return {
    state: setEviction(state, { ...eviction, step: "ordered", awaited }),
    effects: [{ kind: "unload", adapter, announcement, fencingNumber: epoch }],
  }
}

/**
 * A witness that is gone may have sealed the epoch, and nobody can ask it any
 * more. So its end is no acknowledgement, and the epoch evicts nothing more.
 */
export function removeWitness(state: OwnerState, witness: Incarnation): OwnerTransaction {
  if (!listWitnesses(state.ownership).includes(witness) || state.phase === "deposed")
    return { state, effects: [] }
  const { evictions, blocked } = removeAnnounced(state)
  return {
    state: { ...state, evictions, isWitnessLost: true },
    effects: [...blocked, { kind: "renewal-wanted" }],
  }
}

/** A sealed epoch evicts nothing more; a witness that only takes later epochs has read a newer document. */
export function refuseAnnouncement(
  state: OwnerState,
  event: AnnouncedEviction & { readonly minimumEpoch: number },
): OwnerTransaction {
  if (!findAnnounced(state, event)) return { state, effects: [] }
  const { evictions, blocked } = removeAnnounced(state)
  const isSealed = event.minimumEpoch <= state.ownership.epoch
  const renewal: readonly OwnerEffect[] = isSealed ? [{ kind: "renewal-wanted" }] : []
  return { state: { ...state, evictions }, effects: [...blocked, ...renewal] }
}

/** Resolves an ordered eviction, or keeps its adapter as a suspect when the reply was lost. */
export function applyUnloadAnswer(
  state: OwnerState,
  event: {
    readonly adapter: AdapterKey
    readonly announcement: number
    readonly result: OrderResult
  },
): OwnerTransaction {
  const eviction = state.evictions.get(event.adapter)
  const isCurrent = eviction?.step === "ordered" && eviction.announcement === event.announcement
  if (!isCurrent) return resolveLate(state, event.announcement, event.result)
  const next = { ...state, evictions: removeKey(state.evictions, event.adapter) }
  return resolveEviction(next, eviction, event.result)
}

/** Ends an ownership. What was only announced is never ordered; what was ordered is still settled. */
export function deposeOwner(state: OwnerState): OwnerTransaction {
  if (state.phase === "deposed") return { state, effects: [] }
  const { evictions, blocked } = removeAnnounced(state)
  return {
    state: { ...state, phase: "deposed", evictions },
    effects: [...blocked, { kind: "deposed" }],
  }
}

/** Lists the announcements that still lack an acknowledgement. */
export function listOutstanding({ evictions }: OwnerState): readonly OwnerEffect[] {
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
  { adapter, epoch, announcement }: Eviction,
  result: OrderResult,
): OwnerTransaction {
  switch (result) {
    case "done":
      return { state, effects: [{ kind: "evicted", adapter }] }
    case "rejected":
      return { state, effects: [{ kind: "eviction-blocked", adapter }] }
    case "fenced": {
      const isDeposed = epoch === state.ownership.epoch
      const next = isDeposed ? deposeOwner(state) : { state, effects: [] }
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

/** The late answer to an order without a reply. */
function resolveLate(
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

function findAnnounced(state: OwnerState, event: AnnouncedEviction): Eviction | undefined {
  const eviction = state.evictions.get(event.adapter)
  const isSame =
    eviction?.step === "announced" &&
    eviction.epoch === event.epoch &&
    eviction.announcement === event.announcement
  return isSame ? eviction : undefined
}

function setEviction(state: OwnerState, eviction: Eviction): OwnerState {
  return {
    ...state,
    evictions: new Map(state.evictions).set(eviction.adapter, eviction),
  }
}

function listAnnouncements({
  adapter,
  epoch,
  announcement,
  awaited,
}: Eviction): readonly OwnerEffect[] {
  return [...awaited].map((to) => ({ kind: "announce", to, adapter, epoch, announcement }))
}
