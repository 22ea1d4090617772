import { expect } from "chai"
import {
  checkConfiguration,
  EMPTY_CONFIGURATION,
  formatStored,
  HISTORY_LIMIT,
  parseStored,
  planChange,
  STORED_LIMIT_BYTES,
  type StoredConfiguration,
} from "@galenaway/config"

const AT = "2026-01-31T06:00:00.000Z"

function changeBurst(
  current: StoredConfiguration,
  burst: number,
  baseRevision: number,
  id = `change-${burst}`,
) {
  const { configuration } = checkConfiguration({ defaults: { loads: { burst } } })
  const origin = { id, author: "maria", reason: "more loads", at: AT }
  return planChange(current, { configuration, baseRevision }, origin)
}

function applyBurst(current: StoredConfiguration, burst: number, id?: string): StoredConfiguration {
  const plan = changeBurst(current, burst, current.revision, id)
  if (plan.kind !== "write") throw new Error(plan.kind)
  return plan.next
}

it("raises the revision by one and records the change", () => {
  const next = applyBurst(EMPTY_CONFIGURATION, 4)
  expect(next.revision).to.equal(1)
  expect(next.history[0]?.differences).to.deep.equal([
    { path: "defaults.loads.burst", before: 3, after: 4 },
  ])
})

it("recognises its own change after a lost reply", () => {
  const next = applyBurst(applyBurst(EMPTY_CONFIGURATION, 4), 5)
  expect(changeBurst(next, 4, 0)).to.deep.include({ kind: "done", record: next.history[1] })
})

it("tells the loser of a race which change won", () => {
  const next = applyBurst(EMPTY_CONFIGURATION, 4)
  expect(changeBurst(next, 5, 0)).to.deep.equal({ kind: "conflict", winners: next.history })
})

it("plans no write for an equal configuration", () => {
  expect(changeBurst(EMPTY_CONFIGURATION, 3, 0)).to.deep.equal({ kind: "unchanged" })
})

it("keeps a bounded history", () => {
  let stored = EMPTY_CONFIGURATION
  for (let turn = 0; turn < HISTORY_LIMIT + 5; turn++)
    stored = applyBurst(stored, 10 + (turn % 2), `turn-${turn}`)
  expect(stored.history.map((each) => each.revision)).to.have.length(HISTORY_LIMIT)
  expect(stored.history[0]?.revision).to.equal(HISTORY_LIMIT + 5)
})

it("drops old changes from the history before the value grows too large", () => {
  const origin = { id: "x", author: "maria", reason: "r".repeat(500), at: AT }
  const record = { ...origin, revision: 1, differences: [{ path: "p".repeat(50_000) }] }
  const grown = { ...EMPTY_CONFIGURATION, revision: 1, history: Array(40).fill(record) }
  const next = applyBurst(grown, 4)
  expect(Buffer.byteLength(formatStored(next))).to.be.below(STORED_LIMIT_BYTES)
  expect(next.history[0]?.id).to.equal("change-4")
})

it("reads back what it stored", () => {
  const next = applyBurst(EMPTY_CONFIGURATION, 4)
  expect(parseStored(formatStored(next))).to.deep.equal(next)
})

it("refuses a stored value that another program wrote", () => {
  expect(() => parseStored('{"revision":"7"}')).to.throw("a value written by galenaway")
})
