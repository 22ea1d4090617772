import { expect } from "chai"
import { checkConfiguration, ConfigurationError, parseConfiguration } from "@galenaway/config"

const ORIGIN = { reason: "ice loading", author: "maria", date: "2026-01-31" }
const INVENTORY = { endpoints: [{ id: "engine-1", dataCentre: "iloilo" }] }

function getRefusalMessage(document: unknown): string {
  try {
    checkConfiguration(document, INVENTORY)
    return "accepted"
  } catch (error) {
    expect(error).to.be.instanceOf(ConfigurationError)
    return (error as Error).message
  }
}

function buildException(match: object, set: object) {
  return { match, set, ...ORIGIN }
}

const RETRY = { retryShare: 0 }
const BULK = buildException({ rank: "bulk" }, RETRY)
const ILOILO = buildException({ dataCentre: "iloilo" }, { floors: { bulk: 0.4 } })
const ENGINE = buildException({ endpoint: "engine-1" }, { floors: { urgent: 0.6 } })
const MILLISECONDS = "allowed: whole milliseconds from 10 to 86400000, without a unit"

const REFUSALS: readonly (readonly [name: string, document: object, message: string])[] = [
  [
    "an unknown key with the known ones",
    { defaults: { targetSeconds: { urgent: 1 } } },
    'defaults.targetSeconds: got {"urgent":1}; allowed: no such key; one of floors, targetMs, deadlineMs, queueLimit, loads, retryShare',
  ],
  [
    "a duration with a unit",
    { defaults: { targetMs: { urgent: "1.4s" } } },
    `defaults.targetMs.urgent: got "1.4s"; ${MILLISECONDS}`,
  ],
  [
    "a duration in seconds",
    { defaults: { targetMs: { urgent: 1.4 } } },
    `defaults.targetMs.urgent: got 1.4; ${MILLISECONDS}`,
  ],
  [
    "a share as a percentage",
    { defaults: { floors: { bulk: 40 } } },
    "defaults.floors.bulk: got 40; allowed: a share from 0 to 1, not a percentage",
  ],
  [
    "floors above the whole",
    { defaults: { floors: { urgent: 0.9 } } },
    'defaults.floors: got {"urgent":0.9,"standard":0.2,"bulk":0.1}; allowed: shares whose sum is at most 1, not 1.2',
  ],
  [
    "an urgent target above the bulk one",
    { defaults: { targetMs: { bulk: 1000 } } },
    'defaults.targetMs: got {"urgent":1400,"standard":10000,"bulk":1000}; allowed: urgent <= standard <= bulk',
  ],
  [
    "a target above its deadline",
    { defaults: { deadlineMs: { urgent: 1000 } } },
    "defaults.targetMs.urgent: got 1400; allowed: at most deadlineMs.urgent",
  ],
  [
    "an exception without a reason",
    { exceptions: [{ ...BULK, reason: " " }] },
    'exceptions.0.reason: got " "; allowed: a reason of 1 to 500 characters',
  ],
  [
    "an exception that matches everything",
    { exceptions: [buildException({}, RETRY)] },
    "exceptions.0.match: got {}; allowed: at least one of rank, dataCentre, base, adapter, endpoint",
  ],
  [
    "an exception that matches nothing that exists",
    { exceptions: [buildException({ endpoint: "engine-9" }, RETRY)] },
    'exceptions.0.match: got {"endpoint":"engine-9"}; allowed: an existing endpoint or data centre: engine-1 in iloilo',
  ],
  [
    "a setting of a rank that is not matched",
    { exceptions: [buildException({ rank: "bulk" }, { targetMs: { urgent: 1000 } })] },
    "exceptions.0.set.targetMs.urgent: got 1000; allowed: targetMs.bulk, as it matches that rank",
  ],
  [
    "an exception that can't change its setting",
    { exceptions: [buildException({ rank: "bulk" }, { loads: { burst: 2 } })] },
    "exceptions.0.set.loads.burst: got 2; allowed: loads is set in defaults only, not by rank",
  ],
  [
    "two exceptions for one match",
    { exceptions: [BULK, { ...BULK, set: { retryShare: 1 } }] },
    'exceptions.1: got "rank=bulk"; allowed: one exception for each match; put both sets into one',
  ],
  [
    "two exceptions that contradict together",
    { exceptions: [ILOILO, ENGINE] },
    'settings for dataCentre=iloilo endpoint=engine-1.floors: got {"urgent":0.6,"standard":0.2,"bulk":0.4}; allowed: shares whose sum is at most 1, not 1.2',
  ],
  [
    "a drain of an unknown endpoint",
    { drains: [{ kind: "endpoint", id: "engine-9", ...ORIGIN }] },
    'drains.0.id: got "engine-9"; allowed: an existing endpoint: engine-1',
  ],
]

for (const [name, document, message] of REFUSALS)
  it(`refuses ${name}`, () => {
    expect(getRefusalMessage(document)).to.equal(message)
  })

it("fills a short configuration with the built-in defaults", () => {
  const { configuration } = parseConfiguration('{"defaults":{"floors":{"bulk":0.2}}}')
  expect(configuration.defaults.floors).to.deep.equal({ urgent: 0.4, standard: 0.2, bulk: 0.2 })
})

it("refuses text that is not JSON", () => {
  expect(() => parseConfiguration("floors: 1")).to.throw(ConfigurationError, "allowed: JSON")
})
