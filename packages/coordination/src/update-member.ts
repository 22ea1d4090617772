import type { Grant, Incarnation, EndpointId } from "@galenaway/core"
import type { Ownership } from "./document.js"
import type {
  AnnouncedEviction,
  MemberEndpointState,
  MemberEvent,
  MemberReply,
  MemberState,
  MemberTransaction,
} from "./member.js"

const INITIAL_ENDPOINT: MemberEndpointState = {
  minimumEpoch: 0,
  briefingEpoch: -1,
  sealedEpoch: -1,
  held: new Map(),
  announced: [],
}
const ACCEPTED: MemberReply = { kind: "accepted" }

/** Creates the state of a new incarnation, without grants or announcements. */
export function createMember(self: Incarnation): MemberState {
  return { self, endpoints: new Map() }
}

/**
 * Computes a member's next state and its reply. Replace the current state by
 * the next one before sending the reply.
 */
export function updateMember(state: MemberState, event: MemberEvent): MemberTransaction {
  const id = getEndpointId(event)
  const before = state.endpoints.get(id) ?? INITIAL_ENDPOINT
  const { next, reply } = updateEndpoint(before, event)
  if (next === before) return { state, reply }
  return { state: { ...state, endpoints: new Map(state.endpoints).set(id, next) }, reply }
}

interface EndpointTransaction {
  readonly next: MemberEndpointState
  readonly reply: MemberReply
}

function getEndpointId(event: MemberEvent): EndpointId {
  switch (event.kind) {
    case "grant-arrived":
      return event.grant.endpoint
    case "ownership-seen":
      return event.ownership.endpoint
    default:
      return event.endpoint
  }
}

function updateEndpoint(before: MemberEndpointState, event: MemberEvent): EndpointTransaction {
  switch (event.kind) {
    case "grant-arrived":
      return applyGrant(before, event.grant)
    case "grant-ended":
      return { next: removeGrant(before, event.grant), reply: ACCEPTED }
    case "eviction-announced":
      return applyAnnouncement(before, event)
    case "eviction-settled":
      return { next: settleEviction(before, event), reply: ACCEPTED }
    case "witness-briefed":
      return applyBriefing(before, event)
    case "holdings-asked":
      return applyHoldingsRequest(before, event.epoch)
    case "seal-asked":
      return sealEpoch(before, event.epoch)
    case "ownership-seen":
      return { next: closeEpochs(before, event.ownership), reply: ACCEPTED }
  }
}

function applyGrant(before: MemberEndpointState, grant: Grant): EndpointTransaction {
  if (grant.epoch < before.minimumEpoch) return refuse(before)
  const held = new Map(before.held).set(grant.id, grant)
  return { next: { ...before, held }, reply: ACCEPTED }
}

function removeGrant(before: MemberEndpointState, id: string): MemberEndpointState {
  if (!before.held.has(id)) return before
  const held = new Map(before.held)
  held.delete(id)
  return { ...before, held }
}

function applyAnnouncement(
  before: MemberEndpointState,
  { adapter, epoch, announcement }: AnnouncedEviction,
): EndpointTransaction {
  if (epoch < before.minimumEpoch || epoch <= before.sealedEpoch) return refuse(before)
  const announced = addAnnounced(before.announced, { adapter, epoch, announcement })
  return { next: { ...before, announced }, reply: ACCEPTED }
}

function addAnnounced(
  announced: readonly AnnouncedEviction[],
  added: AnnouncedEviction,
): readonly AnnouncedEviction[] {
  const isSame = ({ adapter, epoch }: AnnouncedEviction) =>
    adapter === added.adapter && epoch === added.epoch
  const existing = announced.find(isSame)
  if (existing && existing.announcement >= added.announcement) return announced
  return [...announced.filter((entry) => !isSame(entry)), added]
}

function settleEviction(
  before: MemberEndpointState,
  settled: AnnouncedEviction,
): MemberEndpointState {
  const announced = before.announced.filter(
    ({ adapter, epoch, announcement }) =>
      adapter !== settled.adapter || epoch !== settled.epoch || announcement > settled.announcement,
  )
  return announced.length === before.announced.length ? before : { ...before, announced }
}

function applyBriefing(
  before: MemberEndpointState,
  event: Extract<MemberEvent, { kind: "witness-briefed" }>,
): EndpointTransaction {
  const { epoch, announcement, adapters } = event
  if (epoch < before.minimumEpoch) return refuse(before)
  const announced = adapters.reduce<readonly AnnouncedEviction[]>(
    (all, adapter) => addAnnounced(all, { adapter, epoch, announcement }),
    before.announced,
  )
  const briefingEpoch = Math.max(before.briefingEpoch, epoch)
  return { next: { ...before, briefingEpoch, announced }, reply: ACCEPTED }
}

function applyHoldingsRequest(before: MemberEndpointState, epoch: number): EndpointTransaction {
  if (epoch < before.minimumEpoch) return refuse(before)
  const grants = [...before.held.values()]
  const { announced } = before
  return {
    next: { ...before, minimumEpoch: epoch },
    reply: { kind: "holdings", epoch, grants, announced },
  }
}

/**
 * Seals the epoch and replies with the announced evictions. Refuses unless the
 * epoch's briefing has arrived: without it, the reply could lack evictions that
 * earlier orders may still execute.
 */
function sealEpoch(before: MemberEndpointState, epoch: number): EndpointTransaction {
  if (epoch < before.minimumEpoch || epoch !== before.briefingEpoch) return refuse(before)
  const { announced } = before
  return {
    next: { ...before, sealedEpoch: Math.max(before.sealedEpoch, epoch) },
    reply: { kind: "sealed", epoch, announced },
  }
}

/**
 * Refuses epochs older than the ownership's from now on, and removes their
 * announcements unless the epoch is still among the ownership's predecessors.
 */
function closeEpochs(before: MemberEndpointState, ownership: Ownership): MemberEndpointState {
  if (ownership.epoch < before.minimumEpoch) return before
  const openEpochs = new Set(ownership.predecessors.map(({ epoch }) => epoch))
  const announced = before.announced.filter(
    ({ epoch }) => epoch >= ownership.epoch || openEpochs.has(epoch),
  )
  return { ...before, minimumEpoch: ownership.epoch, announced }
}

function refuse(before: MemberEndpointState): EndpointTransaction {
  return { next: before, reply: { kind: "refused", minimumEpoch: before.minimumEpoch } }
}
