import { expect } from "chai"
import { applySchedulerEvent, runScheduler } from "@galenaway/policy"
import { createOwner, createRequest, formatKey } from "./helper.js"

it("grants a resident adapter at once", () => {
  const tables = createOwner({ e1: ["a"] })
  applySchedulerEvent(tables, { kind: "submitted", request: createRequest("r", "a") }, 1)
  expect(runScheduler(tables, 1)).to.deep.equal([
    { kind: "grant", request: "r", endpoint: "e1", adapter: formatKey("a") },
  ])
})

it("loads once for two waiting requests of a cold adapter", () => {
  const tables = createOwner({ e1: [] })
  for (const id of ["r", "s"])
    applySchedulerEvent(tables, { kind: "submitted", request: createRequest(id, "a") }, 1)
  const orders = [...runScheduler(tables, 1), ...runScheduler(tables, 2)]
  expect(orders).to.deep.equal([{ kind: "load", endpoint: "e1", adapter: formatKey("a") }])
})

it("evicts what is not in use", () => {
  const tables = createOwner({ e1: ["a", "b"] })
  applySchedulerEvent(tables, { kind: "submitted", request: createRequest("r", "a") }, 1)
  runScheduler(tables, 1)
  applySchedulerEvent(tables, { kind: "submitted", request: createRequest("s", "c") }, 2)
  expect(runScheduler(tables, 2)).to.deep.equal([
    { kind: "evict", endpoint: "e1", adapter: formatKey("b") },
  ])
})
