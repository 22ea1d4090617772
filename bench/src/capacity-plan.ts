/**
 * Computes the cost of control traffic for each instance at the design size of
 * the fleet. The slopes are results of `messages.js` and `capacity.js`; this
 * program measures nothing.
 */
const FLEET = {
  instances: 330,
  dataCentres: 7,
  endpoints: 940,
  requestsPerSecond: 6100,
  tokensPerSecond: 1_900_000,
  adapters: 67_000,
  /** Share of the adapters that are loaded in an hour. */
  loadedSharePerHour: 0.055,
  changesPerDay: 1900,
  /** Changes of membership, each of which causes `WRITES_PER_MEMBER_EVENT` writes. */
  memberEventsPerDay: 165,
}
/** Limits of control traffic for each instance: microseconds of processor time and bytes, each per second. */
const BOUND = { cpuMicros: 28_000, bytes: 13_000 }
const SECONDS_PER_DAY = 86_400
const SECONDS_PER_HOUR = 3600
const SECONDS_PER_TOKEN = 0.04

/** Costs of unary calls: microseconds of client and server, and bytes of both directions. */
const UNARY = {
  grant: { micros: 1523, bytes: 407 },
  returns: { micros: 1475, bytes: 151, bytesPerGrant: 49 },
  exchange: { micros: 1665, bytes: 349, bytesPerRow: 60, bytesPerFullRow: 446 },
  announce: { micros: 1123, bytes: 213 },
}
/**
 * The same costs over one open stream for each pair of instances. Those of
 * announcements are calculated, since `messages.js` sends none over a stream.
 */
const STREAM = {
  grant: { micros: 552, bytes: 166 },
  returns: { micros: 349, bytes: 55 },
  exchange: { micros: 417, bytes: 250, bytesPerRow: 60 },
  announce: { micros: 552, bytes: 109 },
}
const BASE64_FACTOR = 4 / 3
const EXCEPTION_COUNT = 100
const EXCEPTION_BYTES = 150
const WATCH_WAIT_SECONDS = 30
const LIST_INTERVAL_SECONDS = 2
const LIST_ENTRY_COUNT = 1270
const LIST_ENTRY_BYTES = 60
const CLAIM_SHARE = 0.01
const CLAIM_BYTES = 210
const SCRAPE = { bytes: 7158, intervalSeconds: 15 }
const LOG_LINE_MICROS = 15
const NEIGHBOR_COUNT = 3
const WRITES_PER_MEMBER_EVENT = 3
const OWNERSHIP_BYTES = 22_555

const membersPerDataCentre = FLEET.instances / FLEET.dataCentres
const peerCount = membersPerDataCentre - 1
const endpointsPerInstance = FLEET.endpoints / FLEET.instances
const requestRate = FLEET.requestsPerSecond / FLEET.instances
const loadsPerSecond = (FLEET.adapters * FLEET.loadedSharePerHour) / SECONDS_PER_HOUR
/** Each load evicts an adapter, whose announcement and settlement go to every peer. */
const announcementsPerSecond = (2 * loadsPerSecond * peerCount) / FLEET.instances
/** Expected number of peers to which at least one grant is returned in a second. */
const returnCallsPerSecond = peerCount * (1 - Math.exp(-requestRate / peerCount))
/** Mean number of running requests by Little's law: the arrival rate times the duration. */
const runningRequests =
  (FLEET.requestsPerSecond *
    (FLEET.tokensPerSecond / FLEET.requestsPerSecond) *
    SECONDS_PER_TOKEN) /
  FLEET.instances

interface Cost {
  readonly name: string
  /** Calls a second that the instance starts. It answers the same number of calls. */
  readonly calls: number
  readonly cpuMicros: number
  /** Bytes a second, sent and received. */
  readonly bytes: number
}

console.log(
  `for each instance: ${requestRate.toFixed(1)} requests/s, ${endpointsPerInstance.toFixed(2)} engines, ${runningRequests.toFixed(0)} running requests`,
)
console.log(
  `fleet: ${loadsPerSecond.toFixed(2)} loads or evictions/s, ${announcementsPerSecond.toFixed(2)} announcements and settlements/s for each instance`,
)
const sharedCosts = listSharedCosts()
printPlan("unary calls, exchange with every member", [
  ...listUnaryCosts(peerCount / 2),
  ...sharedCosts,
])
printPlan(`unary calls, exchange with ${NEIGHBOR_COUNT} members`, [
  ...listUnaryCosts(NEIGHBOR_COUNT),
  ...sharedCosts,
])
printPlan(`open streams, exchange with ${NEIGHBOR_COUNT} members`, [
  ...listStreamCosts(),
  ...sharedCosts,
])
printLimits()
printPlatform()

function listUnaryCosts(exchangesPerSecond: number): readonly Cost[] {
  const { grant, returns, exchange, announce } = UNARY
  const returnBytes = returnCallsPerSecond * returns.bytes + requestRate * returns.bytesPerGrant
  const exchangeBytes =
    exchangesPerSecond * (exchange.bytes + endpointsPerInstance * exchange.bytesPerRow)
  return [
    createCost("grants", requestRate, grant.micros, requestRate * grant.bytes),
    createCost("returns, gathered for 1 s", returnCallsPerSecond, returns.micros, returnBytes),
    createCost("exchange", exchangesPerSecond, exchange.micros, exchangeBytes),
    createCost(
      "announcements",
      announcementsPerSecond,
      announce.micros,
      announcementsPerSecond * announce.bytes,
    ),
  ]
}

function listStreamCosts(): readonly Cost[] {
  const { grant, returns, exchange, announce } = STREAM
  const exchangeBytes =
    NEIGHBOR_COUNT * (exchange.bytes + endpointsPerInstance * exchange.bytesPerRow)
  return [
    createCost("grants", requestRate, grant.micros, requestRate * grant.bytes),
    createCost("returns", requestRate, returns.micros, requestRate * returns.bytes),
    createCost("exchange", NEIGHBOR_COUNT, exchange.micros, exchangeBytes),
    createCost(
      "announcements",
      announcementsPerSecond,
      announce.micros,
      announcementsPerSecond * announce.bytes,
    ),
  ]
}

function listSharedCosts(): readonly Cost[] {
  const changes = FLEET.changesPerDay / SECONDS_PER_DAY
  const writes =
    (FLEET.memberEventsPerDay / FLEET.dataCentres / SECONDS_PER_DAY) * WRITES_PER_MEMBER_EVENT
  const configurationBytes = changes * EXCEPTION_COUNT * EXCEPTION_BYTES * BASE64_FACTOR
  const { bytes, intervalSeconds } = SCRAPE
  return [
    { name: "configuration", calls: changes, cpuMicros: 0, bytes: configurationBytes },
    {
      name: "ownership document",
      calls: writes,
      cpuMicros: 0,
      bytes: writes * OWNERSHIP_BYTES * BASE64_FACTOR,
    },
    {
      name: "metrics read",
      calls: 1 / intervalSeconds,
      cpuMicros: 0,
      bytes: bytes / intervalSeconds,
    },
    {
      name: "one log line a request",
      calls: requestRate,
      cpuMicros: requestRate * LOG_LINE_MICROS,
      bytes: 0,
    },
  ]
}

/**
 * Creates the cost of calls that an instance starts at a rate and answers at the
 * same rate: the time of client and server for each call, and twice its bytes.
 */
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

/** Prints the calls a second that the whole fleet sends to the platform. */
function printPlatform(): void {
  const { instances, dataCentres, changesPerDay, memberEventsPerDay, requestsPerSecond } = FLEET
  const changes = changesPerDay / SECONDS_PER_DAY
  const events = memberEventsPerDay / SECONDS_PER_DAY
  const watchRenewals = (2 * instances) / WATCH_WAIT_SECONDS
  const writes = changes + events * WRITES_PER_MEMBER_EVENT
  const claims = requestsPerSecond * CLAIM_SHARE
  console.log(`\nplatform, calls a second of the whole fleet`)
  printCalls("reads: waiting watches of configuration and ownership", watchRenewals)
  printCalls("reads: watches answered by changes of configuration", changes * instances)
  printCalls("reads: list, by each instance", instances / LIST_INTERVAL_SECONDS)
  printCalls("reads: list, by one instance a data centre", dataCentres / LIST_INTERVAL_SECONDS)
  printCalls("writes: configuration and ownership", writes)
  printCalls("writes: claims, two each, ungrouped", 2 * claims)
  printCalls("claims of one instance", claims / instances)
  printCalls(
    "list bytes of one reader",
    (LIST_ENTRY_COUNT * LIST_ENTRY_BYTES) / LIST_INTERVAL_SECONDS,
  )
  const claimBytes = (2 * claims * 2 * CLAIM_BYTES) / instances
  printCalls("claim bytes of one instance for each claim that a shard holds", claimBytes)
}

function printCalls(name: string, rate: number): void {
  console.log(`  ${name}: ${rate.toFixed(3)}/s`)
}

function printLimits(): void {
  const { grant, returns, exchange } = UNARY
  const bytesPerMember = exchange.bytes + endpointsPerInstance * exchange.bytesPerRow
  const fullBytesPerMember = exchange.bytes + endpointsPerInstance * exchange.bytesPerFullRow
  console.log(`\nsize at which one cost alone reaches the bound`)
  printLimit("full exchange, processor, members", (2 * BOUND.cpuMicros) / exchange.micros + 1)
  printLimit("full exchange, bytes both ways, members", BOUND.bytes / bytesPerMember + 1)
  printLimit(
    "full exchange with all adapters, bytes, members",
    BOUND.bytes / fullBytesPerMember + 1,
  )
  const unary = grant.micros + (returnCallsPerSecond / requestRate) * returns.micros
  printLimit("unary grants and returns, requests/s for each instance", BOUND.cpuMicros / unary)
  const stream = STREAM.grant.micros + STREAM.returns.micros
  printLimit("streamed grants and returns, requests/s", BOUND.cpuMicros / stream)
  const exceptionBytes = (FLEET.changesPerDay / SECONDS_PER_DAY) * EXCEPTION_BYTES * BASE64_FACTOR
  printLimit("configuration, exceptions", BOUND.bytes / exceptionBytes)
}

function printLimit(name: string, size: number): void {
  console.log(`  ${name}: ${size.toFixed(0)}`)
}
