import { expect } from "chai"
import type { AdapterKey, EndpointInfo } from "@galenaway/core"
import { chooseNaiveEndpoint, type NaiveEngineState } from "@galenaway/policy"

const a = "base/a@1" as AdapterKey
const b = "base/b@1" as AdapterKey

function createEngineState(
  id: string,
  running: number,
  resident: readonly AdapterKey[],
): NaiveEngineState {
  const info: EndpointInfo = {
    id,
    kind: "engine",
    dataCentre: "x",
    url: "http://127.0.0.1:1",
    fencing: "checked",
    slots: 1,
    capacity: 4,
  }
  const report = { endpoint: id, incarnation: "1", running, waiting: 0, resident, cacheUsage: 0 }
  return { info, isReachable: true, report, lastUsed: new Map(resident.map((key) => [key, 0])) }
}

it("prefers a holder over an idle engine", () => {
  const rows = [createEngineState("e1", 3, [a]), createEngineState("e2", 0, [b])]
  expect(chooseNaiveEndpoint(rows, a, 1)).to.deep.equal({ kind: "use", endpoint: "e1" })
})

it("evicts the least recently used for a load", () => {
  const rows = [createEngineState("e1", 3, [a]), createEngineState("e2", 0, [b])]
  const decision = chooseNaiveEndpoint(rows, "base/c@1" as AdapterKey, 1)
  expect(decision).to.deep.equal({ kind: "load", endpoint: "e2", evict: b })
})

it("refuses without a reachable engine", () => {
  const row = createEngineState("e1", 0, [a])
  row.isReachable = false
  expect(chooseNaiveEndpoint([row], a, 1)).to.deep.equal({ kind: "refuse" })
})
