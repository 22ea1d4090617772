import { UnreadySchedule, canMoveCallers, InstanceLoad } from "@galenaway/policy"
import { createRandom } from "./random.js"

/** A replay of the load of one data centre: callers that keep connections, a load balancer that deals new ones evenly, and instances with processors of different speeds. */
export interface FleetReplayOptions {
  /** Speeds of the instances' processors; 1 is the usual one. */
  readonly cores: readonly number[]
  /** Whether instances measure themselves and move callers. */
  readonly isAdaptive: boolean
  /** Mean demand as a share of all processors. */
  readonly demandShare: number
  /** Half of the difference between the highest and the lowest demand, as a share of the mean. */
  readonly swing: number
}

export interface FleetReplayResult {
  /** Share of requests whose instance delayed them beyond the objective. */
  readonly lateShare: number
  /** Share of requests that were rejected at once. */
  readonly rejectedShare: number
  /** The longest time that an instance wasn't ready, as a share of the replay. */
  readonly maxUnreadyShare: number
  /** The highest number of instances that weren't ready at once. */
  readonly maxUnreadyCount: number
  /** Number of connections that callers opened. */
  readonly connectionCount: number
}

interface Caller {
  instance: number | undefined
  busyUntil: number
  usedAt: number
}

interface Instance {
  readonly id: string
  readonly cores: number
  readonly load: InstanceLoad
  readonly breaks: UnreadySchedule
  backlogMs: number
  usedMs: number
  isReady: boolean
  isMoving: boolean
  unreadyMs: number
  /** Whether the load balancer sends it new connections. */
  isListed: boolean
  missCount: number
}

const STEP_MS = 10
const DURATION_MS = 120_000
const SAMPLE_MS = 250
const CHECK_MS = 1000
const MISS_LIMIT_COUNT = 2
const CALLER_COUNT = 3000
const CALLER_IDLE_MS = 12_000
const REQUEST_MS = 10
const REJECTION_MS = 0.5
/** Steps of a request that wait for the event loop; the work that waits is spread over them. */
const STEP_COUNT = 5
/** Age of what instances know of one another, in samples. */
const REPORT_AGE_COUNT = 4
const PERIOD_MS = 15_000
const OBJECTIVE_MS = 500
const SEED = 7

/** Runs the replay. The same options give the same result. */
export function replayFleet(options: FleetReplayOptions): FleetReplayResult {
  const random = createRandom(SEED)
  const instances = options.cores.map((cores, index) => createInstance(`entry-${index}`, cores))
  const callers: Caller[] = Array.from({ length: CALLER_COUNT }, () => ({
    instance: undefined,
    busyUntil: 0,
    usedAt: 0,
  }))
  const capacity = options.cores.reduce((sum, cores) => sum + cores, 0)
  const reports: string[][] = []
  let nextInstance = 0
  let arrivals = 0
  let [total, late, rejected, connectionCount, maxUnreadyCount] = [0, 0, 0, 0, 0]
  const chooseInstance = () => {
    connectionCount++
    const listed = instances.filter(({ isListed }) => isListed)
    const usable = listed.length * 2 < instances.length ? instances : listed
    const chosen = usable[nextInstance++ % usable.length]
    return chosen ? instances.indexOf(chosen) : 0
  }
  const serve = (caller: Caller, now: number) => {
    if (now - caller.usedAt > CALLER_IDLE_MS) caller.instance = undefined
    caller.instance ??= chooseInstance()
    const instance = instances[caller.instance]
    if (!instance) return
    total++
    caller.usedAt = now
    const waitMs = instance.backlogMs / instance.cores
    const isRejected = options.isAdaptive && instance.load.isTooSlowFor(OBJECTIVE_MS)
    instance.backlogMs += isRejected ? REJECTION_MS : REQUEST_MS
    caller.busyUntil = now + waitMs
    if (isRejected) rejected++
    else if (waitMs > OBJECTIVE_MS) late++
    if (instance.isMoving) caller.instance = undefined
  }
  for (let now = 0; now < DURATION_MS; now += STEP_MS) {
    const demand = 1 + options.swing * Math.sin((2 * Math.PI * now) / PERIOD_MS)
    const perStep = (options.demandShare * capacity * demand * STEP_MS) / REQUEST_MS
    arrivals += perStep
    for (; arrivals >= 1; arrivals--) {
      const caller = callers[Math.floor(random() * CALLER_COUNT)]
      if (caller && caller.busyUntil <= now) serve(caller, now)
    }
    for (const instance of instances) runStep(instance)
    if (options.isAdaptive && now % SAMPLE_MS === 0) updateAll(instances, reports, now)
    if (now % CHECK_MS === 0) for (const instance of instances) checkReadiness(instance)
    const unready = instances.filter(({ isReady }) => !isReady)
    for (const instance of unready) instance.unreadyMs += STEP_MS
    maxUnreadyCount = Math.max(maxUnreadyCount, unready.length)
  }
  return {
    lateShare: late / total,
    rejectedShare: rejected / total,
    maxUnreadyShare: Math.max(...instances.map(({ unreadyMs }) => unreadyMs)) / DURATION_MS,
    maxUnreadyCount,
    connectionCount,
  }
}

function createInstance(id: string, cores: number): Instance {
  return {
    id,
    cores,
    load: new InstanceLoad(),
    breaks: new UnreadySchedule(id),
    backlogMs: 0,
    usedMs: 0,
    isReady: true,
    isMoving: false,
    unreadyMs: 0,
    isListed: true,
    missCount: 0,
  }
}

function runStep(instance: Instance): void {
  const usedMs = Math.min(instance.backlogMs, STEP_MS * instance.cores)
  instance.backlogMs -= usedMs
  instance.usedMs += usedMs
}

function updateAll(instances: readonly Instance[], reports: string[][], now: number): void {
  for (const { load, cores, ...instance } of instances) {
    const utilization = instance.usedMs / (SAMPLE_MS * cores)
    const latenessMs = instance.backlogMs / cores / STEP_COUNT
    load.record({ latenessMs, utilization }, OBJECTIVE_MS)
  }
  reports.push(instances.filter(({ load }) => load.isSlow).map(({ id }) => id))
  const reported = reports.at(-1 - REPORT_AGE_COUNT) ?? []
  const members = instances.map(({ id }) => id)
  for (const instance of instances) {
    const others = reported.filter((id) => id !== instance.id)
    const slow = new Set(instance.load.isSlow ? [...others, instance.id] : others)
    const peers = { members, slow }
    instance.usedMs = 0
    instance.isReady = !instance.breaks.update(peers, now, now)
    instance.isMoving = canMoveCallers(instance.id, peers)
  }
}

/** The load balancer takes an instance out after two misses, and back in with the next success. */
function checkReadiness(instance: Instance): void {
  instance.missCount = instance.isReady ? 0 : instance.missCount + 1
  instance.isListed = instance.missCount < MISS_LIMIT_COUNT
}
