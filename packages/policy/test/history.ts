import { type AdapterKey, RANKS, type Rank, type RouteRequest } from "@galenaway/core"
import fc from "fast-check"
import {
  applySchedulerEvent,
  DEFAULT_POLICY,
  type PolicySettings,
  runScheduler,
  type SchedulerEvent,
  type SchedulerOrder,
  type SchedulerTables,
} from "@galenaway/policy"
import { createOwner, createRequest, formatKey } from "./helper.js"

const ENGINES = { e1: ["a", "b"], e2: ["b", "c"] }
const SLOTS = 2
const CAPACITY = 4
const ADAPTERS = ["a", "b", "c", "d", "f"]
const MS_PER_SECOND = 1000

/** The policy that the histories run under. */
export const POLICY: PolicySettings = {
  ...DEFAULT_POLICY,
  floors: { urgent: 0.5, standard: 0.25, bulk: 0.25 },
  queueLimit: { urgent: 6, standard: 6, bulk: 6 },
}

/** One step of a random history; numbers choose among what is possible then. */
export interface HistoryStep {
  readonly kind: "submit" | "cancel" | "return" | "answer" | "fail" | "restart" | "suspect"
  readonly pick: number
  readonly rank: Rank
  readonly afterMs: number
}

/** Random histories, which shrink to short ones. */
export const histories: fc.Arbitrary<HistoryStep[]> = fc.array(
  fc.record({
    kind: fc.constantFrom<HistoryStep["kind"]>(
      ...(["submit", "submit", "submit", "return", "answer"] as const),
      ...(["cancel", "fail", "restart", "suspect"] as const),
    ),
    pick: fc.nat(1000),
    rank: fc.constantFrom(...RANKS),
    afterMs: fc.nat(200),
  }),
  { maxLength: 60, size: "max" },
)

/** A change that breaks the scheduler, to show that a check can fail. */
export interface Mutation {
  readonly settings?: PolicySettings
  readonly event?: (event: SchedulerEvent) => SchedulerEvent | undefined
  readonly orders?: (orders: SchedulerOrder[], tables: SchedulerTables) => SchedulerOrder[]
}

/** What is true outside the scheduler. */
export interface Truth {
  readonly tables: SchedulerTables
  now: number
  readonly resident: Map<string, Set<AdapterKey>>
  readonly running: Map<string, { readonly endpoint: string; readonly request: RouteRequest }>
  readonly waiting: Map<string, RouteRequest>
  readonly answered: Map<string, number>
  readonly canceled: Set<string>
  readonly open: Extract<SchedulerOrder, { kind: "load" | "evict" }>[]
  readonly loadTimes: number[]
  readonly suspects: Map<string, AdapterKey>
  incarnation: number
  readonly broken: Set<string>
}

/** Plays a history and returns the names of the invariants that it broke. */
export function runHistory(steps: readonly HistoryStep[], mutation: Mutation = {}): Set<string> {
  const truth = createTruth(mutation)
  steps.forEach((step, index) => {
    truth.now += step.afterMs
    const event = chooseEvent(truth, step, index)
    const changed = event && mutation.event ? mutation.event(event) : event
    if (changed) applySchedulerEvent(truth.tables, changed, truth.now)
    const orders = runScheduler(truth.tables, truth.now)
    const given = mutation.orders ? mutation.orders(orders, truth.tables) : orders
    for (const order of given) checkOrder(truth, order)
    checkRanks(truth, given)
    if (truth.tables.queue.byId.size !== truth.waiting.size) truth.broken.add("one answer")
  })
  return truth.broken
}

function createTruth(mutation: Mutation): Truth {
  const resident = Object.entries(ENGINES).map(
    ([id, names]) => [id, new Set(names.map(formatKey))] as const,
  )
  return {
    tables: createOwner(ENGINES, mutation.settings ?? POLICY, CAPACITY),
    now: 0,
    resident: new Map(resident),
    running: new Map(),
    waiting: new Map(),
    answered: new Map(),
    canceled: new Set(),
    open: [],
    loadTimes: [],
    suspects: new Map(),
    incarnation: 1,
    broken: new Set(),
  }
}

function chooseEvent(truth: Truth, step: HistoryStep, index: number): SchedulerEvent | undefined {
  const pickFrom = <T>(items: readonly T[]) => items[step.pick % Math.max(1, items.length)]
  switch (step.kind) {
    case "submit": {
      const adapter = pickFrom(ADAPTERS) ?? "a"
      const request = createRequest(`r${index}`, adapter, step.rank, truth.now)
      truth.waiting.set(request.id, request)
      return { kind: "submitted", request }
    }
    case "cancel": {
      const id = pickFrom([...truth.waiting.keys()])
      if (id === undefined) return undefined
      truth.waiting.delete(id)
      truth.canceled.add(id)
      return { kind: "canceled", request: id }
    }
    case "return": {
      const id = pickFrom([...truth.running.keys()])
      if (id === undefined) return undefined
      truth.running.delete(id)
      return { kind: "returned", request: id, result: "done" }
    }
    case "answer":
    case "fail":
      return applyAnswer(truth, pickFrom(truth.open), step.kind === "answer")
    case "restart":
      return applyRestart(truth, pickFrom(Object.keys(ENGINES)) ?? "e1")
    case "suspect": {
      const endpoint = pickFrom(Object.keys(ENGINES)) ?? "e1"
      const adapter = formatKey(pickFrom(ADAPTERS) ?? "a")
      truth.suspects.set(endpoint, adapter)
      return { kind: "suspects-changed", endpoint, suspects: new Set([adapter]) }
    }
  }
}

function applyAnswer(
  truth: Truth,
  order: Truth["open"][number] | undefined,
  isDone: boolean,
): SchedulerEvent | undefined {
  if (!order) return undefined
  truth.open.splice(truth.open.indexOf(order), 1)
  const resident = truth.resident.get(order.endpoint)
  const { endpoint, adapter } = order
  if (order.kind === "load") {
    if (isDone) resident?.add(adapter)
    return { kind: isDone ? "loaded" : "load-failed", endpoint, adapter }
  }
  if (isDone) resident?.delete(adapter)
  return { kind: isDone ? "evicted" : "eviction-blocked", endpoint, adapter }
}

function applyRestart(truth: Truth, endpoint: string): SchedulerEvent {
  truth.incarnation++
  truth.resident.get(endpoint)?.clear()
  for (const [id, run] of truth.running) if (run.endpoint === endpoint) truth.running.delete(id)
  const left = truth.open.filter((order) => order.endpoint !== endpoint)
  truth.open.splice(0, truth.open.length, ...left)
  const incarnation = String(truth.incarnation)
  const report = { endpoint, incarnation, running: 0, waiting: 0, resident: [], cacheUsage: 0 }
  return { kind: "reported", report }
}

function checkOrder(truth: Truth, order: SchedulerOrder): void {
  const { broken, open } = truth
  switch (order.kind) {
    case "refuse":
      checkAnswer(truth, order.request)
      return
    case "grant": {
      const request = truth.waiting.get(order.request)
      checkAnswer(truth, order.request)
      const isLeaving = open.some(
        (one) =>
          one.kind === "evict" && one.endpoint === order.endpoint && one.adapter === order.adapter,
      )
      const isResident = truth.resident.get(order.endpoint)?.has(order.adapter)
      if (!isResident || isLeaving) broken.add("resident")
      if (truth.suspects.get(order.endpoint) === order.adapter) broken.add("suspects")
      if (request) {
        if (request.deadline < truth.now) broken.add("deadline")
        truth.running.set(order.request, { endpoint: order.endpoint, request })
      }
      if (countRunning(truth, order.endpoint) > CAPACITY) broken.add("capacity")
      return
    }
    case "load": {
      open.push(order)
      truth.loadTimes.push(truth.now)
      const loading = open.filter(
        ({ kind, endpoint }) => kind === "load" && endpoint === order.endpoint,
      )
      const taken = truth.resident.get(order.endpoint)?.size ?? 0
      if (taken + loading.length > SLOTS) broken.add("slots")
      checkLoadBudget(truth)
      return
    }
    case "evict": {
      open.push(order)
      const isUsed = [...truth.running.values()].some(
        (run) => run.endpoint === order.endpoint && run.request.adapter === order.adapter,
      )
      if (isUsed) broken.add("eviction")
      if (truth.suspects.get(order.endpoint) === order.adapter) broken.add("suspects")
      return
    }
  }
}

function checkAnswer(truth: Truth, id: string): void {
  const count = (truth.answered.get(id) ?? 0) + 1
  truth.answered.set(id, count)
  if (count > 1 || truth.canceled.has(id)) truth.broken.add("one answer")
  truth.waiting.delete(id)
}

function checkLoadBudget({ loadTimes, now, broken, open }: Truth): void {
  const { ratePerSecond, burst, inTransit } = POLICY.loads
  loadTimes.forEach((start, index) => {
    const allowed = burst + (ratePerSecond * (now - start)) / MS_PER_SECOND
    if (loadTimes.length - index > allowed + 1e-6) broken.add("load budget")
  })
  if (open.filter(({ kind }) => kind === "load").length > inTransit) broken.add("load budget")
}

/** A grant above its rank's floor must not pass a waiting request that could run there and has a better claim. */
function checkRanks(truth: Truth, orders: readonly SchedulerOrder[]): void {
  for (const order of orders) {
    if (order.kind !== "grant") continue
    const granted = truth.running.get(order.request)
    if (!granted) continue
    const { rank } = granted.request
    const ranks = RANKS.filter((one) => hasWaiting(truth, order.endpoint, one))
    const isOver = (one: Rank) =>
      countRunning(truth, order.endpoint, one) > POLICY.floors[one] * CAPACITY
    if (!isOver(rank)) continue
    if (ranks.some((one) => RANKS.indexOf(one) < RANKS.indexOf(rank)))
      truth.broken.add("rank order")
    const isStarved = (one: Rank) =>
      countRunning(truth, order.endpoint, one) < POLICY.floors[one] * CAPACITY
    if (ranks.some((one) => one !== rank && isStarved(one))) truth.broken.add("floors")
  }
}

function hasWaiting(truth: Truth, endpoint: string, rank: Rank): boolean {
  const isLeaving = (adapter: AdapterKey) =>
    truth.open.some(
      (one) => one.kind === "evict" && one.endpoint === endpoint && one.adapter === adapter,
    )
  return [...truth.waiting.values()].some(
    ({ rank: own, adapter }) =>
      own === rank &&
      truth.resident.get(endpoint)?.has(adapter) &&
      truth.suspects.get(endpoint) !== adapter &&
      !isLeaving(adapter),
  )
}

function countRunning(truth: Truth, endpoint: string, rank?: Rank): number {
  let count = 0
  for (const run of truth.running.values())
    if (run.endpoint === endpoint && (rank === undefined || run.request.rank === rank)) count++
  return count
}
