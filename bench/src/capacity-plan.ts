/**
 * Works out what control costs each instance at the size that the project
 * designs for, from slopes that `messages.js` and `capacity.js` measured.
 * Nothing is measured here.
 */
const FLEET = {
  instances: 330,
  dataCentres: 7,
  endpoints: 940,
  requestsPerSecond: 6100,
  tokensPerSecond: 1_900_000,
  adapters: 67_000,
  wakingShareAnHour: 0.055,
  changesADay: 1900,
  memberEventsADay: 165,
}
const BOUND = { cpuMicros: 28_000, bytes: 13_000 }
const SECONDS_A_DAY = 86_400
const SECONDS_AN_HOUR = 3600
const TOKEN_SECONDS = 0.04

/** Slopes of calls: microseconds of both ends, and bytes of both directions. */
const UNARY = {
  grant: { micros: 1523, bytes: 407 },
  returns: { micros: 1475, bytes: 151, bytesEach: 49 },
  exchange: { micros: 1665, bytes: 349, rowBytes: 60, fullRowBytes: 446 },
  announce: { micros: 1123, bytes: 213 },
}
/** The same over one open stream for each pair. Announcements are calculated. */
const STREAM = {
  grant: { micros: 552, bytes: 166 },
  returns: { micros: 349, bytes: 55 },
  exchange: { micros: 417, bytes: 250, rowBytes: 60 },
  announce: { micros: 552, bytes: 109 },
}
const BASE64 = 4 / 3
const EXCEPTIONS = 100
const EXCEPTION_BYTES = 150
const WATCH_WAIT_SECONDS = 30
const LIST_SECONDS = 2
const LIST_ENTRIES = 1270
const LIST_ENTRY_BYTES = 60
const CLAIM_SHARE = 0.01
const CLAIM_BYTES = 210
const SCRAPE = { bytes: 7158, seconds: 15 }
const LOG_LINE_MICROS = 15
const NEIGHBORS = 3
const WRITES_A_MEMBER_EVENT = 3
const OWNERSHIP_BYTES = 22_555

const members = FLEET.instances / FLEET.dataCentres
const peers = members - 1
const rows = FLEET.endpoints / FLEET.instances
const requests = FLEET.requestsPerSecond / FLEET.instances
const wakes = (FLEET.adapters * FLEET.wakingShareAnHour) / SECONDS_AN_HOUR
const announcements = (2 * wakes * peers) / FLEET.instances
const returnCalls = peers * (1 - Math.exp(-requests / peers))
const running =
  (FLEET.requestsPerSecond * (FLEET.tokensPerSecond / FLEET.requestsPerSecond) * TOKEN_SECONDS) /
  FLEET.instances

interface Cost {
  readonly name: string
  /** Calls a second that the instance starts; it answers as many. */
  readonly calls: number
  readonly cpuMicros: number
  /** Bytes a second, sent and received. */
  readonly bytes: number
}

console.log(
  `for each instance: ${requests.toFixed(1)} requests/s, ${rows.toFixed(2)} engines, ${running.toFixed(0)} running requests`,
)
console.log(
  `fleet: ${wakes.toFixed(2)} loads or evictions/s, ${announcements.toFixed(2)} announcements and settlements/s for each instance`,
)
const shared = listSharedCosts()
printPlan("unary calls, exchange with every member", [...listUnaryCosts(peers / 2), ...shared])
printPlan(`unary calls, exchange with ${NEIGHBORS} members`, [
  ...listUnaryCosts(NEIGHBORS),
  ...shared,
])
printPlan(`open streams, exchange with ${NEIGHBORS} members`, [...listStreamCosts(), ...shared])
printBreaks()
printPlatform()

function listUnaryCosts(exchanges: number): readonly Cost[] {
  const { grant, returns, exchange, announce } = UNARY
  const returnBytes = returnCalls * returns.bytes + requests * returns.bytesEach
  const exchangeBytes = exchanges * (exchange.bytes + rows * exchange.rowBytes)
  return [
    createCost("grants", requests, grant.micros, requests * grant.bytes),
    createCost("returns, gathered for 1 s", returnCalls, returns.micros, returnBytes),
    createCost("exchange", exchanges, exchange.micros, exchangeBytes),
    createCost("announcements", announcements, announce.micros, announcements * announce.bytes),
  ]
}

function listStreamCosts(): readonly Cost[] {
  const { grant, returns, exchange, announce } = STREAM
  const exchangeBytes = NEIGHBORS * (exchange.bytes + rows * exchange.rowBytes)
  return [
    createCost("grants", requests, grant.micros, requests * grant.bytes),
    createCost("returns", requests, returns.micros, requests * returns.bytes),
    createCost("exchange", NEIGHBORS, exchange.micros, exchangeBytes),
    createCost("announcements", announcements, announce.micros, announcements * announce.bytes),
  ]
}

function listSharedCosts(): readonly Cost[] {
  const changes = FLEET.changesADay / SECONDS_A_DAY
  const writes =
    (FLEET.memberEventsADay / FLEET.dataCentres / SECONDS_A_DAY) * WRITES_A_MEMBER_EVENT
  const configuration = changes * EXCEPTIONS * EXCEPTION_BYTES * BASE64
  const { bytes, seconds } = SCRAPE
  return [
    { name: "configuration", calls: changes, cpuMicros: 0, bytes: configuration },
    {
      name: "ownership document",
      calls: writes,
      cpuMicros: 0,
      bytes: writes * OWNERSHIP_BYTES * BASE64,
    },
    { name: "metrics read", calls: 1 / seconds, cpuMicros: 0, bytes: bytes / seconds },
    {
      name: "one log line a request",
      calls: requests,
      cpuMicros: requests * LOG_LINE_MICROS,
      bytes: 0,
    },
  ]
}

/** An instance is the near end of as many calls as it is the far end, so it bears both ends' time and twice the bytes. */
function createCost(name: string, calls: number, micros: number, bytes: number): Cost {
  return { name, calls, cpuMicros: calls * micros, bytes: 2 * bytes }
}

function printPlan(name: string, costs: readonly Cost[]): void {
  console.log(`\n${name}`)
  for (const cost of costs) printCost(cost)
  const cpuMicros = costs.reduce((sum, cost) => sum + cost.cpuMicros, 0)
  const bytes = costs.reduce((sum, cost) => sum + cost.bytes, 0)
  const calls = costs.reduce((sum, cost) => sum + cost.calls, 0)
  printCost({ name: "sum", calls, cpuMicros, bytes })
  const [cpuShare, byteShare] = [cpuMicros / BOUND.cpuMicros, bytes / BOUND.bytes]
  console.log(
    `  against the bound: processor ${cpuShare.toFixed(2)}, bytes ${byteShare.toFixed(2)}`,
  )
}

function printCost({ name, calls, cpuMicros, bytes }: Cost): void {
  const cpu = `${(cpuMicros / 10_000).toFixed(2)}% of a core`
  console.log(`  ${name}: ${calls.toFixed(3)}/s, ${cpu}, ${(bytes / 1000).toFixed(2)} KB/s`)
}

/** Prints calls a second at the platform, of the whole fleet. */
function printPlatform(): void {
  const { instances, dataCentres, changesADay, memberEventsADay, requestsPerSecond } = FLEET
  const changes = changesADay / SECONDS_A_DAY
  const events = memberEventsADay / SECONDS_A_DAY
  const waits = (2 * instances) / WATCH_WAIT_SECONDS
  const writes = changes + events * WRITES_A_MEMBER_EVENT
  const claims = requestsPerSecond * CLAIM_SHARE
  console.log(`\nplatform, calls a second of the whole fleet`)
  printCalls("reads: waiting watches of configuration and ownership", waits)
  printCalls("reads: watches answered by changes of configuration", changes * instances)
  printCalls("reads: list, by each instance", instances / LIST_SECONDS)
  printCalls("reads: list, by one instance a data centre", dataCentres / LIST_SECONDS)
  printCalls("writes: configuration and ownership", writes)
  printCalls("writes: claims, two each, ungrouped", 2 * claims)
  printCalls("claims of one instance", claims / instances)
  printCalls("list bytes of one reader", (LIST_ENTRIES * LIST_ENTRY_BYTES) / LIST_SECONDS)
  const moved = (2 * claims * 2 * CLAIM_BYTES) / instances
  printCalls("claim bytes of one instance for each claim that a shard holds", moved)
}

function printCalls(name: string, rate: number): void {
  console.log(`  ${name}: ${rate.toFixed(3)}/s`)
}

function printBreaks(): void {
  const { grant, returns, exchange } = UNARY
  const byMember = exchange.bytes + rows * exchange.rowBytes
  const byFullMember = exchange.bytes + rows * exchange.fullRowBytes
  console.log(`\nwhat breaks alone, and where`)
  printBreak("full exchange, processor, members", (2 * BOUND.cpuMicros) / exchange.micros + 1)
  printBreak("full exchange, bytes both ways, members", BOUND.bytes / byMember + 1)
  printBreak("full exchange with all adapters, bytes, members", BOUND.bytes / byFullMember + 1)
  const unary = grant.micros + (returnCalls / requests) * returns.micros
  printBreak("unary grants and returns, requests/s for each instance", BOUND.cpuMicros / unary)
  const stream = STREAM.grant.micros + STREAM.returns.micros
  printBreak("streamed grants and returns, requests/s", BOUND.cpuMicros / stream)
  const exceptionBytes = (FLEET.changesADay / SECONDS_A_DAY) * EXCEPTION_BYTES * BASE64
  printBreak("configuration, exceptions", BOUND.bytes / exceptionBytes)
}

function printBreak(name: string, size: number): void {
  console.log(`  ${name}: ${size.toFixed(0)}`)
}
