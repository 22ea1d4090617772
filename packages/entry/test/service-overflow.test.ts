import { expect } from "chai"
import type { Registration } from "@galenaway/core"
import { ServiceOverflow } from "@galenaway/entry"
import { noopMetrics } from "@galenaway/observe"
import { ENGINE, log } from "./support.js"

const TRANSFER_MS = 40
const SLOT_COUNT = 10

function createOverflow(running: Record<string, number>) {
  let now = 0
  const engines = Object.keys(running).map((id): Registration => ({
    ...ENGINE,
    id,
    dataCentre: `dc-${id}`,
    slots: SLOT_COUNT,
  }))
  const overflow = new ServiceOverflow({
    localDataCentre: "dc-a",
    transferMs: TRANSFER_MS,
    clock: { now: () => now, wallNow: () => now },
    log,
    metrics: noopMetrics,
    listEngines: () => engines,
    countRunning: (id) => running[id] ?? 0,
  })
  const getCosts = () => {
    now += 1000
    return engines.map(({ dataCentre }) => overflow.getCost("s", dataCentre))
  }
  return { running, getCosts }
}

it("another data centre has its price until the own engines are full", () => {
  const { running, getCosts } = createOverflow({ a: 5, b: 0, c: 3 })
  expect(getCosts()).to.deep.equal([0, TRANSFER_MS, TRANSFER_MS])
  running.a = SLOT_COUNT
  expect(getCosts()).to.deep.equal([0, 0, TRANSFER_MS])
  running.b = SLOT_COUNT
  expect(getCosts()).to.deep.equal([0, TRANSFER_MS, 0])
  running.a = 5
  expect(getCosts()).to.deep.equal([0, TRANSFER_MS, TRANSFER_MS])
})
