import { expect } from "chai"
import {
  checkConfiguration,
  type Configuration,
  formatStoredConfiguration,
  HISTORY_LIMIT,
  INITIAL_STORED_CONFIGURATION,
  parseStoredConfiguration,
  planChange,
  type StoredConfiguration,
} from "@galenaway/config"

const PLATFORM_LIMIT_BYTES = 1024 * 1024
const CHANGED_AT = "2026-01-31T06:00:00.000Z"

function planBurstChange(
  current: StoredConfiguration,
  burst: number,
  baseRevision: number,
  id = `change-${burst}`,
) {
  const { configuration } = checkConfiguration({ defaults: { loads: { burst } } })
  const origin = { id, author: "maria", reason: "more loads", at: CHANGED_AT }
  return planChange(current, { configuration, baseRevision }, origin)
}

function applyBurstChange(
  current: StoredConfiguration,
  burst: number,
  id?: string,
): StoredConfiguration {
  const plan = planBurstChange(current, burst, current.revision, id)
  if (plan.kind !== "write") throw new Error(plan.kind)
  return plan.next
}

it("raises the revision by one and records the change", () => {
  const next = applyBurstChange(INITIAL_STORED_CONFIGURATION, 4)
  expect(next.revision).to.equal(1)
  expect(next.history[0]?.differences).to.deep.equal([
    { path: "defaults.loads.burst", before: 3, after: 4 },
  ])
})

it("finds its own change after a lost reply", () => {
  const next = applyBurstChange(applyBurstChange(INITIAL_STORED_CONFIGURATION, 4), 5)
  expect(planBurstChange(next, 4, 0)).to.deep.include({ kind: "done", record: next.history[1] })
})

it("returns the winning change to the loser of a race", () => {
  const next = applyBurstChange(INITIAL_STORED_CONFIGURATION, 4)
  expect(planBurstChange(next, 5, 0)).to.deep.equal({ kind: "conflict", winners: next.history })
})

it("plans no write for an equal configuration", () => {
  expect(planBurstChange(INITIAL_STORED_CONFIGURATION, 3, 0)).to.deep.equal({ kind: "unchanged" })
})

it("keeps a bounded history", () => {
  let stored = INITIAL_STORED_CONFIGURATION
  for (let turn = 0; turn < HISTORY_LIMIT + 5; turn++)
    stored = applyBurstChange(stored, 10 + (turn % 2), `turn-${turn}`)
  expect(stored.history.map((each) => each.revision)).to.have.length(HISTORY_LIMIT)
  expect(stored.history[0]?.revision).to.equal(HISTORY_LIMIT + 5)
})

/** Builds a configuration near the size limit of an edited text. Each turn changes every value. */
function buildLargestConfiguration(turn: number): Configuration {
  const origin = { reason: "ř".repeat(500), author: "maria", date: "2026-01-31" }
  const byRank = { urgent: 100 + turn, standard: 100 + turn, bulk: 100 + turn }
  const set = { targetMs: byRank, deadlineMs: byRank, retryShare: turn / 10 }
  const exceptions = Array.from({ length: 100 }, (_, index) => {
    const name = `${turn}-${index}-`.padEnd(63, "x")
    const match = { base: name, adapter: name, dataCentre: name, endpoint: name }
    return { match, set, ...origin }
  })
  const drains = Array.from({ length: 100 }, (_, index) => {
    return { kind: "endpoint" as const, id: `engine-${turn}-${index}`, ...origin }
  })
  return { ...INITIAL_STORED_CONFIGURATION.configuration, exceptions, drains }
}

it("stays below the platform's limit after the largest changes", () => {
  let stored = INITIAL_STORED_CONFIGURATION
  for (let turn = 1; turn <= 5; turn++) {
    const edited = { configuration: buildLargestConfiguration(turn), baseRevision: stored.revision }
    const origin = { id: `turn-${turn}`, author: "maria", reason: "season", at: CHANGED_AT }
    const plan = planChange(stored, edited, origin)
    if (plan.kind === "write") stored = plan.next
  }
  expect(Buffer.byteLength(formatStoredConfiguration(stored))).to.be.below(PLATFORM_LIMIT_BYTES)
  expect(stored.history[0]).to.deep.include({ id: "turn-5", revision: 5 })
})

it("parses a formatted value back to an equal one", () => {
  const next = applyBurstChange(INITIAL_STORED_CONFIGURATION, 4)
  expect(parseStoredConfiguration(formatStoredConfiguration(next))).to.deep.equal(next)
})

it("refuses a stored value that another program wrote", () => {
  expect(() => parseStoredConfiguration('{"revision":"7"}')).to.throw(
    "a value written by galenaway",
  )
})
