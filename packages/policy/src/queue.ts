import {
  type AdapterKey,
  type Rank,
  RANKS,
  type RequestId,
  type RouteRequest,
} from "@galenaway/core"

const REQUEST_OVERHEAD_BYTES = 256
const BYTES_PER_CHARACTER = 2

/** Waiting requests, indexed by id, by rank and by adapter. Each list is sorted by deadline, the earliest first. */
export interface RequestQueue {
  readonly byId: Map<RequestId, RouteRequest>
  readonly byRank: Record<Rank, RouteRequest[]>
  readonly byAdapter: Map<AdapterKey, AdapterQueue>
  /** Estimated memory of the waiting requests. */
  bytes: number
}

/** The waiting requests of one adapter. */
export interface AdapterQueue {
  readonly adapter: AdapterKey
  readonly byRank: Record<Rank, RouteRequest[]>
  count: number
}

/** Creates an empty queue. */
export function createQueue(): RequestQueue {
  return { byId: new Map(), byRank: createLists(), byAdapter: new Map(), bytes: 0 }
}

/** Adds a request. Has no effect when a request with the same id is queued. */
export function addQueued(queue: RequestQueue, request: RouteRequest): void {
  if (queue.byId.has(request.id)) return
  queue.byId.set(request.id, request)
  addByDeadline(queue.byRank[request.rank], request)
  let group = queue.byAdapter.get(request.adapter)
  if (!group) {
    group = { adapter: request.adapter, byRank: createLists(), count: 0 }
    queue.byAdapter.set(request.adapter, group)
  }
  addByDeadline(group.byRank[request.rank], request)
  group.count++
  queue.bytes += estimateBytes(request)
}

/** Removes and returns a request. Returns undefined when it isn't queued. */
export function removeQueued(queue: RequestQueue, id: RequestId): RouteRequest | undefined {
  const request = queue.byId.get(id)
  if (!request) return undefined
  queue.byId.delete(id)
  removeByDeadline(queue.byRank[request.rank], request)
  const group = queue.byAdapter.get(request.adapter)
  if (group) {
    removeByDeadline(group.byRank[request.rank], request)
    group.count--
    if (group.count === 0) queue.byAdapter.delete(request.adapter)
  }
  queue.bytes -= estimateBytes(request)
  return request
}

/** Estimates the memory in bytes that a waiting request uses at its owner. */
export function estimateBytes(request: RouteRequest): number {
  const characters = request.id.length + request.adapter.length
  return REQUEST_OVERHEAD_BYTES + BYTES_PER_CHARACTER * characters
}

/** Returns the index of a request in a list sorted by deadline, or the index at which to insert it. */
export function findPosition(list: readonly RouteRequest[], request: RouteRequest): number {
  let low = 0
  let high = list.length
  while (low < high) {
    const middle = (low + high) >>> 1
    const other = list[middle]
    if (other && isBefore(other, request)) low = middle + 1
    else high = middle
  }
  return low
}

function isBefore(a: RouteRequest, b: RouteRequest): boolean {
  return a.deadline < b.deadline || (a.deadline === b.deadline && a.id < b.id)
}

function addByDeadline(list: RouteRequest[], request: RouteRequest): void {
  const last = list.at(-1)
  if (!last || isBefore(last, request)) list.push(request)
  else list.splice(findPosition(list, request), 0, request)
}

function removeByDeadline(list: RouteRequest[], request: RouteRequest): void {
  if (list[0] === request) list.shift()
  else list.splice(findPosition(list, request), 1)
}

function createLists(): Record<Rank, RouteRequest[]> {
  const lists = RANKS.map((rank): [Rank, RouteRequest[]] => [rank, []])
  return Object.fromEntries(lists) as Record<Rank, RouteRequest[]>
}
