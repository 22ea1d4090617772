import type { OwnerEvent, OwnerState, OwnerTransaction, Ownership } from "@galenaway/coordination"
import { RULES, X, type Rules } from "./steps.js"

/** Feeds an owner what it should have waited for. */
function answerAtOnce(
  transaction: OwnerTransaction,
  choose: (effect: OwnerTransaction["effects"][number]) => OwnerEvent | undefined,
  isKept: boolean,
): OwnerTransaction {
  const kept = transaction.effects.filter((effect) => isKept || !choose(effect))
  return transaction.effects
    .flatMap((effect) => choose(effect) ?? [])
    .reduce<OwnerTransaction>(
      ({ state, effects }, event) => {
        const next = RULES.updateOwner(state, event)
        return { state: next.state, effects: [...effects, ...next.effects] }
      },
      { state: transaction.state, effects: kept },
    )
}

const acknowledgeAtOnce =
  (isKept: boolean): Rules["updateOwner"] =>
  (state, event) =>
    answerAtOnce(
      RULES.updateOwner(state, event),
      (effect) =>
        effect.kind === "announce"
          ? { ...effect, kind: "acknowledged", witness: effect.to }
          : undefined,
      isKept,
    )

const takeWith =
  (change: (ownership: Ownership, members: readonly string[]) => Ownership): Rules["createOwner"] =>
  (ownership, fencing, members) =>
    RULES.createOwner(change(ownership, members), fencing, members)

const patch = (state: OwnerState, change: Partial<OwnerState>): OwnerState => ({
  ...state,
  ...change,
})

/** Each variant drops one protection of the package. */
export const VARIANTS: Readonly<Record<string, Rules>> = {
  "no announcement": { ...RULES, updateOwner: acknowledgeAtOnce(false) },
  "no acknowledgement": { ...RULES, updateOwner: acknowledgeAtOnce(true) },
  "late grants": {
    ...RULES,
    updateMember: (state, event) => {
      const transaction = RULES.updateMember(state, event)
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
    ...RULES,
    createOwner: takeWith((ownership, members) => ({
      ...ownership,
      predecessors: ownership.predecessors.map((entry) => ({ ...entry, witnesses: members })),
    })),
  },
  "older predecessors forgotten": {
    ...RULES,
    createOwner: takeWith((ownership) => ({
      ...ownership,
      predecessors: ownership.predecessors.slice(-1),
    })),
  },
  "lone predecessor trusted": {
    ...RULES,
    createOwner: takeWith((ownership) => ({
      ...ownership,
      predecessors: ownership.predecessors.filter(({ witnesses }) => witnesses.length > 0),
    })),
  },
  "time frees a pin": {
    ...RULES,
    updateOwner: (state, event) =>
      RULES.updateOwner(
        event.kind === "retry-due" ? patch(state, { grants: new Map() }) : state,
        event,
      ),
  },
  "eviction before all answered": {
    ...RULES,
    updateOwner: (state, event) =>
      RULES.updateOwner(
        event.kind === "eviction-wanted" ? patch(state, { pendingReports: new Set() }) : state,
        event,
      ),
  },
  "restart clears predecessors": {
    ...RULES,
    updateOwner: (state, event) =>
      RULES.updateOwner(
        event.kind === "endpoint-restarted" ? patch(state, { predecessors: new Map() }) : state,
        event,
      ),
  },
  "announcements without numbers": {
    ...RULES,
    updateOwner: (state, event) =>
      RULES.updateOwner(
        state,
        event.kind === "acknowledged"
          ? { ...event, announcement: state.evictions.get(X)?.announcement ?? 0 }
          : event,
      ),
  },
  "fence not awaited": {
    ...RULES,
    updateOwner: (state, event) =>
      answerAtOnce(
        RULES.updateOwner(state, event),
        (effect) =>
          effect.kind === "fence"
            ? { ...effect, kind: "fence-answered", result: "done" }
            : undefined,
        true,
      ),
  },
  "gone witness counted": {
    ...RULES,
    updateOwner: (state, event) => {
      if (event.kind !== "member-gone") return RULES.updateOwner(state, event)
      return [...state.evictions.values()].reduce<OwnerTransaction>(
        (transaction, eviction) => {
          const next = RULES.updateOwner(transaction.state, {
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
    ...RULES,
    updateMember: (state, event) => {
      const transaction = RULES.updateMember(state, event)
      return event.kind === "seal-asked" ? { ...transaction, state } : transaction
    },
  },
}

/** The naive owner grants what it likes, evicts what it hasn't granted itself, and asks nobody. */
export const NAIVE: Rules = {
  ...RULES,
  canGrant: (state) => state.phase === "active",
  createOwner: takeWith((ownership) => ({ ...ownership, predecessors: [] })),
  updateOwner: (state, event) => {
    const before = patch(state, {
      pendingReports: new Set(),
      pendingBriefings: new Set(),
      suspects: new Set(),
    })
    if (event.kind !== "granted") return acknowledgeAtOnce(false)(before, event)
    const grants = new Map(state.grants).set(event.grant.id, event)
    return { state: patch(before, { grants }), effects: [] }
  },
}
