import type {
  Clock,
  DataCentre,
  EndpointId,
  Millis,
  Registration,
  ServiceName,
} from "@galenaway/core"
import type { Log, Metrics } from "@galenaway/observe"
import { DataCentreCosts, type DataCentreLoad } from "@galenaway/routing"

/** The dependencies of a {@link ServiceOverflow}. */
export interface ServiceOverflowDependencies {
  readonly localDataCentre: DataCentre
  /** Price of a request's bytes between data centres, as an added wait. */
  readonly transferMs: Millis
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Metrics
  /** Lists the live engines of a service. */
  listEngines(service: ServiceName): readonly Registration[]
  /** Counts the running and waiting requests of an engine, as far as this instance knows. */
  countRunning(endpoint: EndpointId): number
}

interface ServiceState {
  readonly costs: DataCentreCosts
  updatedAt: Millis
}

/** The figures of engines are read again after this time. */
const UPDATE_INTERVAL_MS = 250

/** Decides for each service to which other data centre its requests are sent when the own engines are full. */
export class ServiceOverflow {
  private readonly services = new Map<ServiceName, ServiceState>()

  constructor(private readonly deps: ServiceOverflowDependencies) {}

  /** Returns the cost in ms that is added to the engines of a service in a data centre. */
  getCost(service: ServiceName, dataCentre: DataCentre): Millis {
    const state = this.getState(service)
    const now = this.deps.clock.now()
    if (now - state.updatedAt >= UPDATE_INTERVAL_MS) {
      state.updatedAt = now
      this.update(service, state.costs)
    }
    return state.costs.getCost(dataCentre)
  }

  private getState(service: ServiceName): ServiceState {
    const known = this.services.get(service)
    if (known) return known
    const { localDataCentre, transferMs } = this.deps
    const costs = new DataCentreCosts(localDataCentre, transferMs)
    const state = { costs, updatedAt: -Infinity }
    this.services.set(service, state)
    return state
  }

  private update(service: ServiceName, costs: DataCentreCosts): void {
    const { log, metrics } = this.deps
    const before = costs.overflowTarget
    costs.update(this.listLoads(service))
    const target = costs.overflowTarget
    if (target === before) return
    if (target === undefined)
      log.info({ service, from: before }, "requests stay in the data centre")
    else {
      metrics.count("overflows")
      log.info({ service, target }, "the data centre is full, sending requests to another one")
    }
  }

  private listLoads(service: ServiceName): readonly DataCentreLoad[] {
    const sums = new Map<DataCentre, { running: number; slots: number }>()
    for (const { id, dataCentre, slots } of this.deps.listEngines(service)) {
      const sum = sums.get(dataCentre) ?? { running: 0, slots: 0 }
      sum.running += this.deps.countRunning(id)
      sum.slots += slots
      sums.set(dataCentre, sum)
    }
    return [...sums].map(([dataCentre, { running, slots }]) => ({
      dataCentre,
      fill: running / Math.max(1, slots),
    }))
  }
}
