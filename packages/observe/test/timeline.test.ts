import { expect } from "chai"
import type { AdapterKey } from "@galenaway/core"
import {
  type EventDetails,
  filterEvents,
  formatTimeline,
  type TimelineEvent,
} from "@galenaway/observe"

const SST = "reef-8b/iloilo-sst@v12" as AdapterKey
const BED = "reef-8b/batinah-beds@v3" as AdapterKey

const HISTORY: readonly (readonly [string, EventDetails])[] = [
  ["owner", { kind: "ownership-gained", endpoint: "m1", note: "epoch 6" }],
  ["owner", { kind: "ownership-gained", endpoint: "m1", note: "epoch 7" }],
  ["owner", { kind: "ownership-gained", endpoint: "m2", note: "epoch 7" }],
  ["owner", { kind: "load-done", endpoint: "m1", adapter: BED }],
  ["entry", { kind: "request-received", request: "r1", adapter: SST }],
  ["entry", { kind: "request-received", request: "r2", adapter: BED }],
  ["owner", { kind: "request-queued", request: "r1", adapter: SST, peer: "entry" }],
  ["owner", { kind: "eviction-ordered", endpoint: "m1", adapter: BED }],
  ["owner", { kind: "load-ordered", endpoint: "m1", adapter: SST }],
  ["owner", { kind: "load-ordered", endpoint: "m2", adapter: SST }],
  ["owner", { kind: "load-done", endpoint: "m1", adapter: SST }],
  ["owner", { kind: "request-granted", request: "r1", endpoint: "m1", adapter: SST }],
  ["entry", { kind: "request-done", request: "r1", endpoint: "m1" }],
  ["owner", { kind: "load-done", endpoint: "m1", adapter: SST, note: "later" }],
]

it("a request's timeline has the loads and ownerships that it depended on", () => {
  const found = filterEvents(createEvents(), { request: "r1" })
  expect(found.map(describe)).to.deep.equal([
    "ownership-gained m1 epoch 7",
    "request-received  ",
    "request-queued  ",
    "eviction-ordered m1 ",
    "load-ordered m1 ",
    "load-done m1 ",
    "request-granted m1 ",
    "request-done m1 ",
  ])
})

it("a request without events has an empty timeline", () => {
  expect(filterEvents(createEvents(), { request: "r9" })).to.deep.equal([])
})

it("a timeline is filtered by adapter, endpoint, time and kind together", () => {
  const filter = { adapter: SST, endpoint: "m1", since: 8, kinds: ["load-done"] } as const
  expect(filterEvents(createEvents(), filter).map(describe)).to.deep.equal([
    "load-done m1 ",
    "load-done m1 later",
  ])
})

it("a timeline has one line for each event with relative times", () => {
  const lines = formatTimeline(createEvents().slice(9, 12)).split("\n")
  expect(lines).to.deep.equal([
    `+0 ms  owner (a)  orders a load (adapter ${SST}, at m2)`,
    `+1 ms  owner (a)  sees the load done (adapter ${SST}, at m1)`,
    `+2 ms  owner (a)  grants it (request r1, adapter ${SST}, at m1)`,
    "",
  ])
})

it("a line break in a note doesn't split its line", () => {
  const [event] = createEvents()
  const text = formatTimeline(event ? [{ ...event, note: "two\nlines" }] : [])
  expect(text).to.equal("+0 ms  owner (a)  becomes owner (at m1): two lines\n")
})

function createEvents(): readonly TimelineEvent[] {
  return HISTORY.map(([instance, details], wall) => ({
    ...details,
    instance,
    dataCentre: "a",
    at: { wall, counter: 0 },
  }))
}

function describe({ kind, endpoint = "", note = "" }: TimelineEvent): string {
  return `${kind} ${endpoint} ${note}`
}
