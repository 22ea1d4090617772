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

/** The policy of the scheduler under test. */
export const POLICY: PolicySettings = {
  ...DEFAULT_POLICY,
  floors: { urgent: 0.5, standard: 0.25, bulk: 0.25 },
  queueLimit: { urgent: 6, standard: 6, bulk: 6 },
}

/**
 * One step of a random history. `answer` and `fail` answer a pending order with success
 * or failure. `pick` chooses among the objects to which the step can apply.
 */
export interface HistoryStep {
  readonly kind: "submit" | "cancel" | "return" | "answer" | "fail" | "restart" | "suspect"
  readonly pick: number
  readonly rank: Rank
  readonly afterMs: number
}

/** Random histories. Failing ones shrink to short ones. */
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

/** A change that makes the scheduler break an invariant, to show that the check detects it. */
export interface Mutation {
  readonly settings?: PolicySettings
  readonly event?: (event: SchedulerEvent) => SchedulerEvent | undefined
  readonly orders?: (orders: SchedulerOrder[], tables: SchedulerTables) => SchedulerOrder[]
}

/** Model of the engines and requests outside the scheduler, and the invariants broken so far. */
export interface HistoryModel {
  readonly tables: SchedulerTables
  now: number
  readonly resident: Map<string, Set<AdapterKey>>
  readonly running: Map<string, { readonly endpoint: string; readonly request: RouteRequest }>
  readonly waiting: Map<string, RouteRequest>
  /** Number of grants and refusals of each request. */
  readonly answered: Map<string, number>
  readonly canceled: Set<string>
  readonly pendingOrders: Extract<SchedulerOrder, { kind: "load" | "evict" }>[]
  readonly loadTimes: number[]
  readonly suspects: Map<string, AdapterKey>
  incarnation: number
  readonly broken: Set<string>
}

/** Runs a history and returns the names of the invariants that were broken. */
export function runHistory(steps: readonly HistoryStep[], mutation: Mutation = {}): Set<string> {
  const model = createModel(mutation)
  steps.forEach((step, index) => {
    model.now += step.afterMs
    const event = chooseEvent(model, step, index)
    const changed = event && mutation.event ? mutation.event(event) : event
    if (changed) applySchedulerEvent(model.tables, changed, model.now)
    const orders = runScheduler(model.tables, model.now)
    const issued = mutation.orders ? mutation.orders(orders, model.tables) : orders
    for (const order of issued) checkOrder(model, order)
    checkRanks(model, issued)
    if (model.tables.queue.byId.size !== model.waiting.size) model.broken.add("one answer")
  })
  return model.broken
}

function createModel(mutation: Mutation): HistoryModel {
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
    pendingOrders: [],
    loadTimes: [],
    suspects: new Map(),
    incarnation: 1,
    broken: new Set(),
  }
}

function chooseEvent(
  model: HistoryModel,
  step: HistoryStep,
  index: number,
): SchedulerEvent | undefined {
  const pickFrom = <T>(items: readonly T[]) => items[step.pick % Math.max(1, items.length)]
  switch (step.kind) {
    case "submit": {
      const adapter = pickFrom(ADAPTERS) ?? "a"
      const request = createRequest(`r${index}`, adapter, step.rank, model.now)
      model.waiting.set(request.id, request)
      return { kind: "submitted", request }
    }
    case "cancel": {
      const id = pickFrom([...model.waiting.keys()])
      if (id === undefined) return undefined
      model.waiting.delete(id)
      model.canceled.add(id)
      return { kind: "canceled", request: id }
    }
    case "return": {
      const id = pickFrom([...model.running.keys()])
      if (id === undefined) return undefined
      model.running.delete(id)
      return { kind: "returned", request: id, result: "done" }
    }
    case "answer":
    case "fail":
      return applyAnswer(model, pickFrom(model.pendingOrders), step.kind === "answer")
    case "restart":
      return applyRestart(model, pickFrom(Object.keys(ENGINES)) ?? "e1")
    case "suspect": {
      const endpoint = pickFrom(Object.keys(ENGINES)) ?? "e1"
      const adapter = formatKey(pickFrom(ADAPTERS) ?? "a")
      model.suspects.set(endpoint, adapter)
      return { kind: "suspects-changed", endpoint, suspects: new Set([adapter]) }
    }
  }
}

function applyAnswer(
  model: HistoryModel,
  order: HistoryModel["pendingOrders"][number] | undefined,
  isDone: boolean,
): SchedulerEvent | undefined {
  if (!order) return undefined
  model.pendingOrders.splice(model.pendingOrders.indexOf(order), 1)
  const resident = model.resident.get(order.endpoint)
  const { endpoint, adapter } = order
  if (order.kind === "load") {
    if (isDone) resident?.add(adapter)
    return { kind: isDone ? "loaded" : "load-failed", endpoint, adapter }
  }
  if (isDone) resident?.delete(adapter)
  return { kind: isDone ? "evicted" : "eviction-blocked", endpoint, adapter }
}

function applyRestart(model: HistoryModel, endpoint: string): SchedulerEvent {
  model.incarnation++
  model.resident.get(endpoint)?.clear()
  for (const [id, run] of model.running) if (run.endpoint === endpoint) model.running.delete(id)
  const remaining = model.pendingOrders.filter((order) => order.endpoint !== endpoint)
  model.pendingOrders.splice(0, model.pendingOrders.length, ...remaining)
  const incarnation = String(model.incarnation)
  const report = { endpoint, incarnation, running: 0, waiting: 0, resident: [], cacheUsage: 0 }
  return { kind: "reported", report }
}

function checkOrder(model: HistoryModel, order: SchedulerOrder): void {
  const { broken, pendingOrders } = model
  switch (order.kind) {
    case "refuse":
      checkAnswer(model, order.request)
      return
    case "grant": {
      const request = model.waiting.get(order.request)
      checkAnswer(model, order.request)
      const isLeaving = pendingOrders.some(
        (each) =>
          each.kind === "evict" &&
          each.endpoint === order.endpoint &&
          each.adapter === order.adapter,
      )
      const isResident = model.resident.get(order.endpoint)?.has(order.adapter)
      if (!isResident || isLeaving) broken.add("resident")
      if (model.suspects.get(order.endpoint) === order.adapter) broken.add("suspects")
      if (request) {
        if (request.deadline < model.now) broken.add("deadline")
        model.running.set(order.request, { endpoint: order.endpoint, request })
      }
      if (countRunning(model, order.endpoint) > CAPACITY) broken.add("capacity")
      return
    }
    case "load": {
      pendingOrders.push(order)
      model.loadTimes.push(model.now)
      const loading = pendingOrders.filter(
        ({ kind, endpoint }) => kind === "load" && endpoint === order.endpoint,
      )
      const taken = model.resident.get(order.endpoint)?.size ?? 0
      if (taken + loading.length > SLOTS) broken.add("slots")
      checkLoadBudget(model)
      return
    }
    case "evict": {
      pendingOrders.push(order)
      const isUsed = [...model.running.values()].some(
        (run) => run.endpoint === order.endpoint && run.request.adapter === order.adapter,
      )
      if (isUsed) broken.add("eviction")
      if (model.suspects.get(order.endpoint) === order.adapter) broken.add("suspects")
      return
    }
  }
}

function checkAnswer(model: HistoryModel, id: string): void {
  const count = (model.answered.get(id) ?? 0) + 1
  model.answered.set(id, count)
  if (count > 1 || model.canceled.has(id)) model.broken.add("one answer")
  model.waiting.delete(id)
}

function checkLoadBudget({ loadTimes, now, broken, pendingOrders }: HistoryModel): void {
  const { ratePerSecond, burst, inTransit } = POLICY.loads
  loadTimes.forEach((start, index) => {
    const allowed = burst + (ratePerSecond * (now - start)) / MS_PER_SECOND
    if (loadTimes.length - index > allowed + 1e-6) broken.add("load budget")
  })
  if (pendingOrders.filter(({ kind }) => kind === "load").length > inTransit)
    broken.add("load budget")
}

/**
 * Checks each grant that puts its rank above its floor: no request of a more urgent
 * rank, or of another rank below its floor, may wait that could run on that endpoint.
 */
function checkRanks(model: HistoryModel, orders: readonly SchedulerOrder[]): void {
  for (const order of orders) {
    if (order.kind !== "grant") continue
    const granted = model.running.get(order.request)
    if (!granted) continue
    const { rank } = granted.request
    const ranks = RANKS.filter((each) => hasWaiting(model, order.endpoint, each))
    const isAboveFloor = (each: Rank) =>
      countRunning(model, order.endpoint, each) > POLICY.floors[each] * CAPACITY
    if (!isAboveFloor(rank)) continue
    if (ranks.some((each) => RANKS.indexOf(each) < RANKS.indexOf(rank)))
      model.broken.add("rank order")
    const isBelowFloor = (each: Rank) =>
      countRunning(model, order.endpoint, each) < POLICY.floors[each] * CAPACITY
    if (ranks.some((each) => each !== rank && isBelowFloor(each))) model.broken.add("floors")
  }
}

function hasWaiting(model: HistoryModel, endpoint: string, rank: Rank): boolean {
  const isLeaving = (adapter: AdapterKey) =>
    model.pendingOrders.some(
      (each) => each.kind === "evict" && each.endpoint === endpoint && each.adapter === adapter,
    )
  return [...model.waiting.values()].some(
    ({ rank: waitingRank, adapter }) =>
      waitingRank === rank &&
      model.resident.get(endpoint)?.has(adapter) &&
      model.suspects.get(endpoint) !== adapter &&
      !isLeaving(adapter),
  )
}

function countRunning(model: HistoryModel, endpoint: string, rank?: Rank): number {
  let count = 0
  for (const run of model.running.values())
    if (run.endpoint === endpoint && (rank === undefined || run.request.rank === rank)) count++
  return count
}
