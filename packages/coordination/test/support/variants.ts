import type { OwnerEvent, OwnerState, OwnerTransaction, Ownership } from "@galenaway/coordination"
import { PROTOCOL, X, type Protocol } from "./protocol.js"

/**
 * Immediately applies the replies that `createReply` returns for the effects, where
 * the protocol waits for them. The effects with a reply are carried out as well only
 * if `isCarriedOut` is true.
 */
function applyImmediateReplies(
  transaction: OwnerTransaction,
  createReply: (effect: OwnerTransaction["effects"][number]) => OwnerEvent | undefined,
  isCarriedOut: boolean,
): OwnerTransaction {
  const carriedOut = transaction.effects.filter((effect) => isCarriedOut || !createReply(effect))
  return transaction.effects
    .flatMap((effect) => createReply(effect) ?? [])
    .reduce<OwnerTransaction>(
      ({ state, effects }, event) => {
        const next = PROTOCOL.updateOwner(state, event)
        return { state: next.state, effects: [...effects, ...next.effects] }
      },
      { state: transaction.state, effects: carriedOut },
    )
}

const acknowledgeImmediately =
  (isCarriedOut: boolean): Protocol["updateOwner"] =>
  (state, event) =>
    applyImmediateReplies(
      PROTOCOL.updateOwner(state, event),
      (effect) =>
        effect.kind === "announce"
          ? { ...effect, kind: "acknowledged", witness: effect.to }
          : undefined,
      isCarriedOut,
    )

const createOwnerWith =
  (
    change: (ownership: Ownership, members: readonly string[]) => Ownership,
  ): Protocol["createOwner"] =>
  (ownership, fencing, members) =>
    PROTOCOL.createOwner(change(ownership, members), fencing, members)

const patch = (state: OwnerState, change: Partial<OwnerState>): OwnerState => ({
  ...state,
  ...change,
})

/** Protocols that each omit one safety rule of the package. */
export const VARIANTS: Readonly<Record<string, Protocol>> = {
  "no announcement": { ...PROTOCOL, updateOwner: acknowledgeImmediately(false) },
  "no acknowledgement": { ...PROTOCOL, updateOwner: acknowledgeImmediately(true) },
  "late grants": {
    ...PROTOCOL,
    updateMember: (state, event) => {
      const transaction = PROTOCOL.updateMember(state, event)
      if (event.kind !== "grant-arrived" || transaction.reply.kind === "accepted")
        return transaction
      const before = state.endpoints.get(event.grant.endpoint)
      if (!before) return transaction
      const held = new Map(before.held).set(event.grant.id, event.grant)
      const endpoints = new Map(state.endpoints).set(event.grant.endpoint, { ...before, held })
      return { state: { ...state, endpoints }, reply: { kind: "accepted" } }
    },
  },
  "any witness": {
    ...PROTOCOL,
    createOwner: createOwnerWith((ownership, members) => ({
      ...ownership,
      predecessors: ownership.predecessors.map((entry) => ({ ...entry, witnesses: members })),
    })),
  },
  "older predecessors forgotten": {
    ...PROTOCOL,
    createOwner: createOwnerWith((ownership) => ({
      ...ownership,
      predecessors: ownership.predecessors.slice(-1),
    })),
  },
  "lone predecessor trusted": {
    ...PROTOCOL,
    createOwner: createOwnerWith((ownership) => ({
      ...ownership,
      predecessors: ownership.predecessors.filter(({ witnesses }) => witnesses.length > 0),
    })),
  },
  "time frees a pin": {
    ...PROTOCOL,
    updateOwner: (state, event) =>
      PROTOCOL.updateOwner(
        event.kind === "retry-due" ? patch(state, { grants: new Map() }) : state,
        event,
      ),
  },
  "eviction before all answered": {
    ...PROTOCOL,
    updateOwner: (state, event) =>
      PROTOCOL.updateOwner(
        event.kind === "eviction-wanted" ? patch(state, { pendingReports: new Set() }) : state,
        event,
      ),
  },
  "restart clears predecessors": {
    ...PROTOCOL,
    updateOwner: (state, event) =>
      PROTOCOL.updateOwner(
        event.kind === "endpoint-restarted" ? patch(state, { predecessors: new Map() }) : state,
        event,
      ),
  },
  "announcements without numbers": {
    ...PROTOCOL,
    updateOwner: (state, event) =>
      PROTOCOL.updateOwner(
        state,
        event.kind === "acknowledged"
          ? { ...event, announcement: state.evictions.get(X)?.announcement ?? 0 }
          : event,
      ),
  },
  "fence not awaited": {
    ...PROTOCOL,
    updateOwner: (state, event) =>
      applyImmediateReplies(
        PROTOCOL.updateOwner(state, event),
        (effect) =>
          effect.kind === "fence"
            ? { ...effect, kind: "fence-answered", result: "done" }
            : undefined,
        true,
      ),
  },
  "gone witness counted": {
    ...PROTOCOL,
    updateOwner: (state, event) => {
      if (event.kind !== "member-gone") return PROTOCOL.updateOwner(state, event)
      return [...state.evictions.values()].reduce<OwnerTransaction>(
        (transaction, eviction) => {
          const next = PROTOCOL.updateOwner(transaction.state, {
            ...eviction,
            kind: "acknowledged",
            witness: event.member,
          })
          return { state: next.state, effects: [...transaction.effects, ...next.effects] }
        },
        { state, effects: [] },
      )
    },
  },
  "no seal": {
    ...PROTOCOL,
    updateMember: (state, event) => {
      const transaction = PROTOCOL.updateMember(state, event)
      return event.kind === "seal-asked" ? { ...transaction, state } : transaction
    },
  },
}

/**
 * An owner that requests no reports and waits for no acknowledgements: it grants
 * every adapter, and evicts every adapter without a grant of its own.
 */
export const NAIVE_PROTOCOL: Protocol = {
  ...PROTOCOL,
  canGrant: (state) => state.phase === "active",
  createOwner: createOwnerWith((ownership) => ({ ...ownership, predecessors: [] })),
  updateOwner: (state, event) => {
    const before = patch(state, {
      pendingReports: new Set(),
      pendingBriefings: new Set(),
      suspects: new Set(),
    })
    if (event.kind !== "granted") return acknowledgeImmediately(false)(before, event)
    const grants = new Map(state.grants).set(event.grant.id, event)
    return { state: patch(before, { grants }), effects: [] }
  },
}
