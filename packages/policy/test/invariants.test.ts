import { expect } from "chai"
import fc from "fast-check"
import type { Rank, RouteRequest } from "@galenaway/core"
import type { SchedulerOrder } from "@galenaway/policy"
import { histories, type Mutation, POLICY, runHistory } from "./history.js"

const SEED = 11
const RUNS = 300
const NO_FLOORS = { urgent: 0, standard: 0, bulk: 0 }
const SWAPPED: Readonly<Record<Rank, Rank>> = {
  urgent: "bulk",
  standard: "standard",
  bulk: "urgent",
}

/** For each invariant, a change that makes the scheduler break it. */
const MUTATIONS: Readonly<Record<string, Mutation>> = {
  "one answer": { orders: (orders) => orders.flatMap((order) => [order, order]) },
  resident: { orders: (orders) => orders.map(createFalseGrant) },
  suspects: { event: (event) => (event.kind === "suspects-changed" ? undefined : event) },
  deadline: {
    event: (event) =>
      event.kind === "submitted"
        ? { ...event, request: { ...event.request, deadline: Infinity } }
        : event,
  },
  capacity: {
    orders: (orders, tables) => {
      for (const row of tables.endpoints.values()) row.limit = 100
      return orders
    },
  },
  slots: {
    orders: (orders) =>
      orders.map((order) => (order.kind === "evict" ? { ...order, kind: "load" } : order)),
  },
  "load budget": {
    settings: { ...POLICY, loads: { ...POLICY.loads, ratePerSecond: 100, burst: 9 } },
  },
  eviction: {
    orders: (orders, tables) => [
      ...orders,
      ...[...tables.endpoints.values()].flatMap((row) =>
        [...row.residents]
          .filter(([, { running }]) => running > 0)
          .map(([adapter]): SchedulerOrder => ({ kind: "evict", endpoint: row.info.id, adapter })),
      ),
    ],
  },
  "rank order": {
    event: (event) =>
      event.kind === "submitted" ? { ...event, request: createSwapped(event.request) } : event,
  },
  floors: { settings: { ...POLICY, floors: NO_FLOORS } },
}

for (const [name, mutation] of Object.entries(MUTATIONS)) {
  it(`holds on random histories: ${name}`, () => {
    const property = fc.property(histories, (steps) => !runHistory(steps).has(name))
    fc.assert(property, { seed: SEED, numRuns: RUNS })
  })

  it(`finds a scheduler that breaks: ${name}`, () => {
    const property = fc.property(histories, (steps) => !runHistory(steps, mutation).has(name))
    expect(fc.check(property, { seed: SEED, numRuns: RUNS }).failed).to.equal(true)
  })
}

function createFalseGrant(order: SchedulerOrder): SchedulerOrder {
  return order.kind === "load" ? { ...order, kind: "grant", request: "none" } : order
}

function createSwapped(request: RouteRequest): RouteRequest {
  return { ...request, rank: SWAPPED[request.rank] }
}
