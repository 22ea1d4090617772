import { expect } from "chai"
import { checkConfiguration, ConfigurationError, parseConfiguration } from "@galenaway/config"

const ORIGIN = { reason: "ice loading", author: "maria", date: "2026-01-31" }
const INVENTORY = { endpoints: [{ id: "engine-1", dataCentre: "iloilo" }] }

function readRefusal(document: unknown): string {
  try {
    checkConfiguration(document, INVENTORY)
    return "accepted"
  } catch (error) {
    expect(error).to.be.instanceOf(ConfigurationError)
    return (error as Error).message
  }
}

function readExceptionRefusal(match: object, set: object, defaults: object = {}): string {
  return readRefusal({ defaults, exceptions: [{ match, set, ...ORIGIN }] })
}

it("fills a short configuration with the built-in defaults", () => {
  const { configuration } = parseConfiguration('{"defaults":{"floors":{"bulk":0.2}}}')
  expect(configuration.defaults.floors).to.deep.equal({ urgent: 0.4, standard: 0.2, bulk: 0.2 })
})

it("refuses text that is no JSON", () => {
  expect(() => parseConfiguration("floors: 1")).to.throw(ConfigurationError, "allowed: JSON")
})

it("refuses an unknown key with the known ones", () => {
  const message = readRefusal({ defaults: { targetSeconds: { urgent: 1 } } })
  expect(message).to.equal(
    'defaults.targetSeconds: got {"urgent":1}; allowed: no such key; one of floors, targetMs, deadlineMs, queueLimit, loads, retryShare',
  )
})

it("refuses a duration with a unit", () => {
  const message = readRefusal({ defaults: { targetMs: { urgent: "1.4s" } } })
  expect(message).to.match(/^defaults\.targetMs\.urgent: got "1\.4s"; allowed: whole milliseconds/)
})

it("refuses a duration in seconds", () => {
  const message = readRefusal({ defaults: { targetMs: { urgent: 1.4 } } })
  expect(message).to.match(/^defaults\.targetMs\.urgent: got 1\.4; allowed: whole milliseconds/)
})

it("refuses a share as a percentage", () => {
  const message = readRefusal({ defaults: { floors: { bulk: 40 } } })
  expect(message).to.equal(
    "defaults.floors.bulk: got 40; allowed: a share from 0 to 1, not a percentage",
  )
})

it("refuses floors above the whole", () => {
  const message = readRefusal({ defaults: { floors: { urgent: 0.9 } } })
  expect(message).to.contain("defaults.floors").and.contain("sum is at most 1")
})

it("refuses an urgent target above the bulk one", () => {
  const message = readRefusal({ defaults: { targetMs: { bulk: 1000 } } })
  expect(message).to.contain("defaults.targetMs").and.contain("urgent <= standard <= bulk")
})

it("refuses a target above its deadline", () => {
  const message = readRefusal({ defaults: { deadlineMs: { urgent: 1000 } } })
  expect(message).to.equal("defaults.targetMs.urgent: got 1400; allowed: at most deadlineMs.urgent")
})

it("refuses an exception without a reason", () => {
  const exception = { match: { rank: "bulk" }, set: { retryShare: 0 }, ...ORIGIN, reason: " " }
  const message = readRefusal({ exceptions: [exception] })
  expect(message).to.contain("exceptions.0.reason").and.contain("a reason of 1 to")
})

it("refuses an exception that matches everything", () => {
  expect(readExceptionRefusal({}, { retryShare: 0 })).to.contain("exceptions.0.match: got {}")
})

it("refuses an exception that matches nothing that exists", () => {
  const message = readExceptionRefusal({ endpoint: "engine-9" }, { retryShare: 0 })
  expect(message).to.contain('got {"endpoint":"engine-9"}').and.contain("engine-1 in iloilo")
})

it("refuses a setting of a rank that is not matched", () => {
  const message = readExceptionRefusal({ rank: "bulk" }, { targetMs: { urgent: 1000 } })
  expect(message).to.contain("exceptions.0.set.targetMs.urgent").and.contain("targetMs.bulk")
})

it("refuses an exception that can't change its setting", () => {
  const message = readExceptionRefusal({ rank: "bulk" }, { loads: { burst: 2 } })
  expect(message).to.contain("loads is set in defaults only, not by rank")
})

it("refuses two exceptions for one match", () => {
  const one = { match: { rank: "bulk" }, set: { retryShare: 0 }, ...ORIGIN }
  const other = { match: { rank: "bulk" }, set: { retryShare: 1 }, ...ORIGIN }
  expect(readRefusal({ exceptions: [one, other] })).to.contain("one exception for each match")
})

it("refuses two exceptions that contradict together", () => {
  const one = { match: { dataCentre: "iloilo" }, set: { floors: { bulk: 0.4 } }, ...ORIGIN }
  const other = { match: { endpoint: "engine-1" }, set: { floors: { urgent: 0.6 } }, ...ORIGIN }
  const message = readRefusal({ exceptions: [one, other] })
  expect(message).to.contain("settings for dataCentre=iloilo endpoint=engine-1.floors")
})

it("refuses a drain of an unknown endpoint", () => {
  const message = readRefusal({ drains: [{ kind: "endpoint", id: "engine-9", ...ORIGIN }] })
  expect(message).to.contain('drains.0.id: got "engine-9"')
})
