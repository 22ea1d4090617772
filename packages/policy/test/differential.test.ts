import fc from "fast-check"
import { RANKS, type RequestId } from "@galenaway/core"
import {
  applySchedulerEvent,
  chooseNaiveEndpoint,
  type NaiveEngineState,
  runScheduler,
} from "@galenaway/policy"
import { createInfo, createOwner, createRequest, formatKey } from "./helper.js"

const SEED = 5
const ENGINES = { e1: ["a", "b"], e2: ["b", "c"] }
const CAPACITY = 2
const ADAPTERS = ["a", "b", "c"]
const SERVICE_MS = 50

/** Requests spaced so that an engine always has free capacity. */
const arrivals = fc.array(
  fc.record({
    adapter: fc.constantFrom(...ADAPTERS),
    rank: fc.constantFrom(...RANKS),
    afterMs: fc.integer({ min: SERVICE_MS, max: 500 }),
  }),
  { maxLength: 40, size: "max" },
)
type Arrivals = typeof arrivals extends fc.Arbitrary<infer T> ? T : never

it("serves the same requests as the naive router without overload", () => {
  const property = fc.property(arrivals, (list) => {
    const [naive, scheduled] = [runNaive(list), runScheduled(list)]
    return naive.size === scheduled.size && [...naive].every((id) => scheduled.has(id))
  })
  fc.assert(property, { seed: SEED, numRuns: 300 })
})

function runNaive(list: Arrivals): Set<RequestId> {
  const rows = Object.entries(ENGINES).map(([id, names]): NaiveEngineState => {
    const lastUsed = new Map(names.map((name) => [formatKey(name), 0]))
    return { info: createInfo(id, CAPACITY), isReachable: true, report: undefined, lastUsed }
  })
  const served = new Set<RequestId>()
  list.forEach(({ adapter }, index) => {
    if (chooseNaiveEndpoint(rows, formatKey(adapter), index).kind === "use") served.add(`r${index}`)
  })
  return served
}

function runScheduled(list: Arrivals): Set<RequestId> {
  const tables = createOwner(ENGINES, undefined, CAPACITY)
  const served = new Set<RequestId>()
  let now = 0
  list.forEach(({ adapter, rank, afterMs }, index) => {
    now += afterMs
    const request = createRequest(`r${index}`, adapter, rank, now)
    applySchedulerEvent(tables, { kind: "submitted", request }, now)
    for (const order of runScheduler(tables, now)) {
      if (order.kind !== "grant") continue
      served.add(order.request)
      const ended = { kind: "returned", request: order.request, result: "done" } as const
      applySchedulerEvent(tables, ended, now + SERVICE_MS)
    }
  })
  return served
}
