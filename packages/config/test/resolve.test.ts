import { expect } from "chai"
import fc from "fast-check"
import { RANKS } from "@galenaway/core"
import {
  checkConfiguration,
  type Configuration,
  diffConfigurations,
  listNewExceptions,
  resolveSettings,
} from "@galenaway/config"

const SEED = 17
const ORIGIN = { reason: "season", author: "maria", date: "2026-01-31" }

function buildConfiguration(...exceptions: { match: object; set: object }[]): Configuration {
  const document = { exceptions: exceptions.map((each) => ({ ...each, ...ORIGIN })) }
  return checkConfiguration(document).configuration
}

it("applies the more specific exception and returns it as the source", () => {
  const configuration = buildConfiguration(
    { match: { endpoint: "engine-1" }, set: { retryShare: 0.3 } },
    { match: { rank: "bulk", dataCentre: "iloilo" }, set: { retryShare: 0.2 } },
  )
  const query = { rank: "bulk", dataCentre: "iloilo", endpoint: "engine-1" } as const
  const { decisions } = resolveSettings(configuration, query)
  expect(decisions.find((each) => each.path === "retryShare")).to.deep.equal({
    path: "retryShare",
    value: 0.3,
    source: { kind: "exception", match: { endpoint: "engine-1" }, reason: "season" },
  })
})

it("lists each difference with both sides", () => {
  const before = buildConfiguration()
  const after = checkConfiguration({ defaults: { loads: { burst: 4 } } }).configuration
  expect(diffConfigurations(before, after)).to.deep.equal([
    { path: "defaults.loads.burst", before: 3, after: 4 },
  ])
})

it("lists exceptions that are new or set something else", () => {
  const before = buildConfiguration({ match: { rank: "bulk" }, set: { retryShare: 0.1 } })
  const after = buildConfiguration(
    { match: { rank: "bulk" }, set: { retryShare: 0.2 } },
    { match: { adapter: "sst" }, set: { retryShare: 0.2 } },
  )
  expect(listNewExceptions(before, after)).to.have.length(2)
})

const FLOOR = fc.constantFrom(0, 0.1, 0.3, 0.5)
const FLOORS = fc.record({ urgent: FLOOR, standard: FLOOR, bulk: FLOOR }, { requiredKeys: [] })
const EXCEPTION = fc.record({
  match: fc.record(
    { dataCentre: fc.constantFrom("a", "b"), endpoint: fc.constantFrom("e1", "e2") },
    { requiredKeys: [] },
  ),
  set: fc.record({ floors: FLOORS }),
})

it("accepts no configuration whose floors add up to more than 1 for any endpoint", () => {
  const checkFloors = (exceptions: { match: object; set: object }[]) => {
    let configuration: Configuration
    try {
      configuration = buildConfiguration(...exceptions)
    } catch {
      return
    }
    for (const dataCentre of ["a", "b"])
      for (const endpoint of ["e1", "e2"]) {
        const { floors } = resolveSettings(configuration, { dataCentre, endpoint }).settings
        const sum = RANKS.reduce((total, rank) => total + floors[rank], 0)
        expect(sum).to.be.at.most(1 + 1e-9)
      }
  }
  const exceptions = fc.array(EXCEPTION, { maxLength: 4 })
  fc.assert(fc.property(exceptions, checkFloors), { seed: SEED, numRuns: 2000 })
})
