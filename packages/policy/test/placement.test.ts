import { expect } from "chai"
import { type EndpointView, rankEndpoints } from "@galenaway/policy"
import { createInfo, createRequest, formatKey } from "./helper.js"

function createView(id: string, change: Partial<EndpointView> = {}): EndpointView {
  return {
    info: createInfo(id),
    phase: "live",
    owner: "i1",
    isReachable: true,
    running: 0,
    queued: { urgent: 0, standard: 0, bulk: 0 },
    resident: new Set(),
    loading: new Set(),
    seenAt: 0,
    ...change,
  }
}

const holdsA = { resident: new Set([formatKey("a")]) }

it("ranks a holder before endpoints without the adapter", () => {
  const views = [createView("e1"), createView("e2", holdsA), createView("e3")]
  expect(rankEndpoints(views, createRequest("r", "a"), "x", 0)[0]).to.equal("e2")
})

it("leaves out unreachable and leaving endpoints", () => {
  const views = [
    createView("e1", { ...holdsA, isReachable: false }),
    createView("e2", { ...holdsA, phase: "leaving" }),
    createView("e3"),
  ]
  expect(rankEndpoints(views, createRequest("r", "a"), "x", 0)).to.deep.equal(["e3"])
})

it("uses an endpoint without an owner only for adapters that it holds", () => {
  const views = [
    createView("e1", { ...holdsA, owner: undefined }),
    createView("e2", { owner: undefined }),
  ]
  expect(rankEndpoints(views, createRequest("r", "a"), "x", 0)).to.deep.equal(["e1"])
})

it("prefers a holder in another data centre to a load", () => {
  const far = { ...createInfo("e2"), dataCentre: "y" }
  const views = [createView("e1"), createView("e2", { ...holdsA, info: far })]
  expect(rankEndpoints(views, createRequest("r", "a"), "x", 0)[0]).to.equal("e2")
})

it("ranks an idle endpoint before a holder with a long queue", () => {
  const queued = { urgent: 9, standard: 0, bulk: 0 }
  const views = [createView("e1", { ...holdsA, running: 2, queued }), createView("e2")]
  expect(rankEndpoints(views, createRequest("r", "a", "urgent"), "x", 0)[0]).to.equal("e2")
})

it("ranks the same endpoint first for all requests of a cold adapter", () => {
  const views = ["e1", "e2", "e3", "e4"].map((id) => createView(id))
  const firsts = ["r", "s", "t"].map(
    (id) => rankEndpoints([...views].reverse(), createRequest(id, "a"), "x", 0)[0],
  )
  expect(new Set(firsts).size).to.equal(1)
})

it("spreads requests over all holders", () => {
  const views = ["e1", "e2"].map((id) => createView(id, holdsA))
  const firsts = Array.from(
    { length: 20 },
    (_, index) => rankEndpoints(views, createRequest(`r${index}`, "a"), "x", 0)[0],
  )
  expect(new Set(firsts).size).to.equal(2)
})

it("sends bulk requests with one prefix to one holder", () => {
  const views = ["e1", "e2", "e3"].map((id) => createView(id, holdsA))
  const firsts = Array.from(
    { length: 20 },
    (_, index) => rankEndpoints(views, createRequest(`r${index}`, "a", "bulk"), "x", 0)[0],
  )
  expect(new Set(firsts).size).to.equal(1)
})
