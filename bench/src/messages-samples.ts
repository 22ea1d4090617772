import type {
  Announcement,
  EndpointDigest,
  GrantReply,
  GrantRequest,
  Heartbeat,
  MemberAnswer,
  ReturnRequest,
} from "@galenaway/daemon/peer"

/** Whether a heartbeat lists an endpoint's adapters, or omits them because they didn't change. */
export type DigestForm = "full" | "counts"
/** Whether a grant repeats the request, the adapter and the owner, which its holder already has. */
export type GrantForm = "full" | "lean"

/** Number of an engine's adapter slots in the samples. */
export const SLOT_COUNT = 8

const TIME = { wall: 1_796_371_200_123, counter: 3 }
const UUID_TAIL = "-9c1f-4d02-8a77-1f6b2c3d4e5f"
const EPOCH = 4711

/** Formats the id of an instance. */
export function formatInstanceId(index: number): string {
  return `entry-${String(index).padStart(3, "0")}`
}

/** Formats an incarnation: the id of the instance and a UUID. */
export function formatIncarnation(index: number): string {
  return `${formatInstanceId(index)}:${index.toString(16).padStart(8, "0")}${UUID_TAIL}`
}

/** Formats the key of an adapter. */
export function formatAdapter(index: number): string {
  return `reef-8b/coop-${String(index).padStart(5, "0")}@v12`
}

/** Formats the id of an endpoint. */
export function formatEndpointId(index: number): string {
  return `engine-${String(index).padStart(3, "0")}`
}

/** Formats the id of a request. */
export function formatRequestId(index: number): string {
  return `${formatInstanceId(index % 330)}-${index.toString(36).padStart(8, "0")}`
}

/** Creates an instance's request for a grant. */
export function createGrantRequest(index: number): GrantRequest {
  return {
    time: TIME,
    holder: formatIncarnation(index % 330),
    request: formatRequestId(index),
    adapter: formatAdapter(index),
    rank: "standard",
    deadlineInMs: 1387.25,
    waitedMs: 12.75,
    prefix: 0x9e3779b9,
    maxTokens: 512,
    ask: index,
    canRedirect: false,
  }
}

/** Creates an owner's reply with a grant. */
export function createGrantReply(index: number, form: GrantForm): GrantReply {
  const identity = {
    request: formatRequestId(index),
    adapter: formatAdapter(index),
    owner: formatIncarnation(index % 330),
  }
  const grantIdentity = form === "full" ? identity : { request: "", adapter: "", owner: "" }
  const id = `${EPOCH}.${index}`
  const grant = { ...grantIdentity, id, endpoint: formatEndpointId(index), epoch: EPOCH }
  return { time: TIME, grant, refusalCode: "", refusalMessage: "" }
}

/** Creates a message that returns a number of grants. */
export function createReturnRequest(count: number, form: GrantForm): ReturnRequest {
  const grants = createList(count, (index) => ({
    id: `${EPOCH}.${index}`,
    endpoint: formatEndpointId(index),
    request: form === "full" ? formatRequestId(index) : "",
    result: "done",
    ask: 0,
  }))
  return { time: TIME, grants }
}

/** Creates the announcement of an eviction. */
export function createAnnouncement(index: number): Announcement {
  return {
    time: TIME,
    endpoint: formatEndpointId(index),
    adapter: formatAdapter(index),
    epoch: EPOCH,
    announcement: index,
  }
}

/** Creates a member's acknowledgement of a message. */
export function createMemberAnswer(): MemberAnswer {
  return { time: TIME, kind: "accepted", epoch: 0, grants: [], announced: [] }
}

/** Creates a heartbeat with a number of endpoints. */
export function createHeartbeat(rows: number, form: DigestForm): Heartbeat {
  return {
    time: TIME,
    incarnation: formatIncarnation(117),
    instance: formatInstanceId(117),
    dataCentre: "visayas-1",
    peerAddress: "10.20.30.117:7946",
    isLeaving: false,
    configurationRevision: 184_467,
    endpoints: createList(rows, (index) => createDigest(index, form)),
  }
}

/** Creates a list of the given length. */
export function createList<T>(length: number, create: (index: number) => T): T[] {
  return Array.from({ length }, (_, index) => create(index))
}

function createDigest(index: number, form: DigestForm): EndpointDigest {
  const adapters = createList(SLOT_COUNT, (slot) => formatAdapter(index * SLOT_COUNT + slot))
  return {
    endpoint: formatEndpointId(index),
    phase: "live",
    isReachable: true,
    running: 24,
    queuedByRank: [1, 4, 130],
    resident: form === "full" ? adapters : [],
    loading: [],
  }
}
