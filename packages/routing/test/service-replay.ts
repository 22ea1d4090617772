import type { EndpointId, Millis, Registration, ReportedLoad } from "@galenaway/core"
import {
  CostEstimator,
  EndpointHealth,
  recordPlainCall,
  type ServiceView,
} from "@galenaway/routing"
import { createRandom, EventQueue } from "./replay-events.js"

/** The load of a replay: calls of two routes to a few endpoints of different speeds. */
export interface ServiceLoad {
  readonly instances: number
  /** The speed of each endpoint, 1 is usual. */
  readonly speeds: readonly number[]
  /** Offered work as a share of what the endpoints can do. */
  readonly utilization: number
  readonly objectiveMs: Millis
  /** Whether the endpoints report their pace. */
  readonly reportsPace: boolean
  /** Mean time for which an endpoint stays 2.5 times slower, which it is in 15% of the time; 0 if it never is. */
  readonly slowMs: Millis
  readonly seed: number
}

/** What a choice rule sees when one instance has a call. */
export interface ServiceChooserInput {
  readonly view: ServiceView
  readonly costMs: Millis
  readonly excluded: ReadonlySet<EndpointId>
  readonly now: Millis
  readonly random: () => number
  /** The true expected completion at each endpoint, for a choice with perfect information. */
  readonly computeCompletion: (endpoint: EndpointId) => Millis
}

/** Chooses an endpoint by its id. */
export type ServiceChooser = (input: ServiceChooserInput) => EndpointId | undefined

/** The outcome of a replay. */
export interface ServiceReplayResult {
  /** Share of the calls that were answered within the objective. */
  readonly inTimeShare: number
  /** Refusals for each call. */
  readonly refusalShare: number
  /** Share of the calls that went to each endpoint. */
  readonly callShares: readonly number[]
}

interface ReplayCall {
  readonly instance: number
  readonly route: string
  readonly workMs: Millis
  readonly arrivedAt: Millis
  readonly excluded: Set<EndpointId>
  sentAt: Millis
  /** Removes the call from the work of its endpoint. */
  endWork: () => void
}

interface ReplayEndpoint {
  readonly registration: Registration
  readonly speed: number
  isSlow: boolean
  running: number
  callCount: number
  readonly queue: ReplayCall[]
}

const SLOTS = 6
const QUEUE_LIMIT = 24
const SLOW_FACTOR = 2.5
const SLOW_SHARE = 0.15
const ROUTES = [
  { route: "short", workMs: 20 },
  { route: "long", workMs: 43 },
] as const
const MEAN_WORK_MS = 31.5
const TAIL_SHARE = 0.05
const TAIL_FACTOR = 3
const DATA_CENTRE_COUNT = 4
const LOCAL_DELAY_MS = 0.4
const REMOTE_DELAY_MS = 1.5
const WARM_UP_MS = 2000
const DURATION_MS = 14_000
const PEAK_PERIOD_MS = 15_000
const PEAK_SHARE = 0.55
const MAX_SEND_COUNT = 5

/** Replays calls of many instances against endpoints whose pace changes. Equal loads give equal results. */
export function replayServiceCalls(load: ServiceLoad, choose: ServiceChooser): ServiceReplayResult {
  return new ServiceReplay(load, choose).run()
}

class ServiceReplay {
  private now: Millis = 0
  private readonly events = new EventQueue()
  private readonly random: () => number
  private readonly endpoints: readonly ReplayEndpoint[]
  private readonly instances: readonly (ServiceView & { readonly costs: CostEstimator })[]
  private callCount = 0
  private inTimeCount = 0
  private refusalCount = 0

  constructor(
    private readonly load: ServiceLoad,
    private readonly choose: ServiceChooser,
  ) {
    this.random = createRandom(load.seed)
    this.endpoints = load.speeds.map((speed, index) => ({
      registration: buildEndpoint(`e${String(index)}`, index),
      speed,
      isSlow: false,
      running: 0,
      callCount: 0,
      queue: [],
    }))
    const endpoints = this.endpoints.map(({ registration }) => registration)
    this.instances = Array.from({ length: load.instances }, (_, index) => ({
      endpoints,
      health: new EndpointHealth(),
      costs: new CostEstimator(),
      localDataCentre: formatDataCentre(index),
      meanCostMs: MEAN_WORK_MS,
    }))
  }

  run(): ServiceReplayResult {
    for (const endpoint of this.endpoints) if (this.load.slowMs > 0) this.scheduleFlip(endpoint)
    this.instances.forEach((_, index) => {
      this.scheduleArrival(index)
    })
    for (let event = this.events.pop(); event; event = this.events.pop()) {
      this.now = event.at
      if (this.now > DURATION_MS) break
      event.run()
    }
    const sum = this.endpoints.reduce((total, { callCount }) => total + callCount, 0)
    return {
      inTimeShare: this.inTimeCount / this.callCount,
      refusalShare: this.refusalCount / this.callCount,
      callShares: this.endpoints.map(({ callCount }) => callCount / sum),
    }
  }

  private schedule(delayMs: Millis, run: () => void): void {
    this.events.push({ at: this.now + delayMs, run })
  }

  private draw(meanMs: Millis): Millis {
    return -Math.log(1 - this.random()) * meanMs
  }

  private scheduleFlip(endpoint: ReplayEndpoint): void {
    const { slowMs } = this.load
    const usualMs = (slowMs * (1 - SLOW_SHARE)) / SLOW_SHARE
    this.schedule(this.draw(endpoint.isSlow ? slowMs : usualMs), () => {
      endpoint.isSlow = !endpoint.isSlow
      this.scheduleFlip(endpoint)
    })
  }

  private scheduleArrival(instance: number): void {
    const { speeds, utilization, instances, slowMs } = this.load
    const slowdown = slowMs > 0 ? 1 + SLOW_SHARE * (SLOW_FACTOR - 1) : 1
    const speed = speeds.reduce((sum, value) => sum + value, 0)
    const rate = (utilization * SLOTS * speed) / (MEAN_WORK_MS * slowdown) / instances
    const phase = this.now / PEAK_PERIOD_MS + (instance % DATA_CENTRE_COUNT) / DATA_CENTRE_COUNT
    const peak = 1 + PEAK_SHARE * Math.sin(2 * Math.PI * phase)
    this.schedule(this.draw(1 / (rate * peak)), () => {
      this.scheduleArrival(instance)
      this.send(this.createCall(instance))
    })
  }

  private createCall(instance: number): ReplayCall {
    const { route, workMs } = ROUTES[this.random() < 0.5 ? 0 : 1]
    const tail = this.random() < TAIL_SHARE ? TAIL_FACTOR : 1
    const spread = (0.7 + 0.6 * this.random()) / (1 + TAIL_SHARE * (TAIL_FACTOR - 1))
    const arrivedAt = this.now
    const work = workMs * spread * tail
    return {
      instance,
      route,
      workMs: work,
      arrivedAt,
      excluded: new Set(),
      sentAt: 0,
      endWork: doNothing,
    }
  }

  private getInstance(index: number) {
    const instance = this.instances[index]
    if (!instance) throw new Error(`no instance ${String(index)}`)
    return instance
  }

  private send(call: ReplayCall): void {
    const { costs, ...view } = this.getInstance(call.instance)
    const costMs = costs.estimateCall(toPlainCall(call))
    const id = this.choose({
      view,
      costMs,
      excluded: call.excluded,
      now: this.now,
      random: this.random,
      computeCompletion: (endpoint) => this.computeCompletion(this.find(endpoint)),
    })
    if (id === undefined) {
      this.countCall(call, false)
      return
    }
    const endpoint = this.find(id)
    call.sentAt = this.now
    view.health.onSend(id, 0, this.now)
    call.endWork = view.health.work.add(id, costMs, this.now)
    this.schedule(this.getDelay(call, endpoint), () => {
      this.receive(call, endpoint)
    })
  }

  private find(id: EndpointId | undefined): ReplayEndpoint {
    const endpoint = this.endpoints.find(({ registration }) => registration.id === id)
    if (!endpoint) throw new Error(`no endpoint ${String(id)}`)
    return endpoint
  }

  private computeCompletion(endpoint: ReplayEndpoint): Millis {
    const ahead = Math.max(0, endpoint.running + 1 - SLOTS) + endpoint.queue.length
    return MEAN_WORK_MS * getSlowdown(endpoint) * (1 + ahead / SLOTS)
  }

  private getDelay({ instance }: ReplayCall, { registration }: ReplayEndpoint): Millis {
    const isLocal = registration.dataCentre === formatDataCentre(instance)
    return isLocal ? LOCAL_DELAY_MS : REMOTE_DELAY_MS
  }

  private receive(call: ReplayCall, endpoint: ReplayEndpoint): void {
    if (endpoint.queue.length < QUEUE_LIMIT) {
      endpoint.callCount++
      endpoint.queue.push(call)
      this.startCalls(endpoint)
      return
    }
    const report = this.buildReport(endpoint)
    this.schedule(this.getDelay(call, endpoint), () => {
      const { health } = this.getInstance(call.instance)
      const { id } = endpoint.registration
      health.onLoad(id, report, this.now)
      health.onEnd(id, "full", this.now)
      call.endWork()
      if (call.arrivedAt > WARM_UP_MS) this.refusalCount++
      call.excluded.add(id)
      if (call.excluded.size < MAX_SEND_COUNT) this.send(call)
      else this.countCall(call, false)
    })
  }

  private startCalls(endpoint: ReplayEndpoint): void {
    while (endpoint.running < SLOTS) {
      const call = endpoint.queue.shift()
      if (!call) return
      endpoint.running++
      this.schedule(call.workMs * getSlowdown(endpoint), () => {
        endpoint.running--
        this.startCalls(endpoint)
        this.answer(call, endpoint)
      })
    }
  }

  private answer(call: ReplayCall, endpoint: ReplayEndpoint): void {
    const report = this.buildReport(endpoint)
    this.schedule(this.getDelay(call, endpoint), () => {
      const instance = this.getInstance(call.instance)
      const { registration } = endpoint
      instance.health.onLoad(registration.id, report, this.now)
      const ms = this.now - call.sentAt
      recordPlainCall(instance, registration, toPlainCall(call), ms, this.now)
      instance.health.onEnd(registration.id, "answered", this.now)
      call.endWork()
      this.countCall(call, this.now - call.arrivedAt <= this.load.objectiveMs)
    })
  }

  private buildReport(endpoint: ReplayEndpoint): ReportedLoad {
    const { running, queue } = endpoint
    const pacePercent = endpoint.isSlow ? 100 * SLOW_FACTOR : 100
    const load = { running, waiting: queue.length, slots: SLOTS }
    return { ...load, ...(this.load.reportsPace && { pacePercent }) }
  }

  private countCall({ arrivedAt }: ReplayCall, isInTime: boolean): void {
    if (arrivedAt <= WARM_UP_MS) return
    this.callCount++
    if (isInTime) this.inTimeCount++
  }
}

function buildEndpoint(id: EndpointId, index: number): Registration {
  const dataCentre = formatDataCentre(index)
  return { id, service: "s", address: "127.0.0.1:1", dataCentre, slots: SLOTS, phase: "live" }
}

function formatDataCentre(index: number): string {
  return `dc-${String(index % DATA_CENTRE_COUNT)}`
}

function getSlowdown({ speed, isSlow }: ReplayEndpoint): number {
  return (isSlow ? SLOW_FACTOR : 1) / speed
}

function toPlainCall({ route }: ReplayCall) {
  return { service: "s", route, path: `/${route}` }
}

function doNothing(): void {
  // A call that wasn't sent is no work.
}
