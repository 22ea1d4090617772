import type { Millis, Route, ServiceName, ServingConfiguration } from "@galenaway/core"

type RoutesByPrefix = Map<string, Route>

/** The routes of one configuration, indexed by host and path prefix. Lookup time grows with the depth of the path, not with the number of routes. */
export class RouteTable {
  private readonly byHost = new Map<string, RoutesByPrefix>()
  private readonly pauseMsByService = new Map<ServiceName, Millis>()
  /** The shortest latency objective of all routes; undefined if no route has one. */
  readonly shortestObjectiveMs: Millis | undefined

  constructor(readonly configuration: ServingConfiguration) {
    for (const route of configuration.routes) {
      this.addPause(route)
      const routes = this.byHost.get(route.host) ?? new Map<string, Route>()
      routes.set(route.pathPrefix, route)
      this.byHost.set(route.host, routes)
    }
    const objectives = configuration.routes.map(({ objectiveMs }) => objectiveMs)
    const positive = objectives.filter((objectiveMs) => objectiveMs > 0)
    this.shortestObjectiveMs = positive.length > 0 ? Math.min(...positive) : undefined
  }

  /** Returns the shortest pause between two events that the stream routes of a service require; undefined if none does. */
  getPauseMs(service: ServiceName): Millis | undefined {
    return this.pauseMsByService.get(service)
  }

  /** Finds the route with the longest matching path prefix. The host may include a port and the target a query. */
  findRoute(host: string, target: string): Route | undefined {
    const routes = this.byHost.get(parseHostName(host))
    if (!routes) return undefined
    const path = parsePath(target)
    for (let end = path.lastIndexOf("/"); end >= 0; end = path.lastIndexOf("/", end - 1)) {
      const route = routes.get(path.slice(0, end + 1))
      if (route) return route
      if (end === 0) break
    }
    return undefined
  }

  private addPause({ pauseMs, targets }: Route): void {
    if (pauseMs === undefined) return
    for (const { service } of targets) {
      const shortestMs = Math.min(pauseMs, this.pauseMsByService.get(service) ?? Infinity)
      this.pauseMsByService.set(service, shortestMs)
    }
  }
}

/** Chooses a service of a route by weight. `fraction` is a uniform random number from 0 to 1. Returns undefined when no weight is positive. */
export function chooseService(route: Route, fraction: number): ServiceName | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = fraction * total
  for (const { service, weight } of route.targets) {
    if (weight > 0 && remaining < weight) return service
    remaining -= weight
  }
  return route.targets.findLast(({ weight }) => weight > 0)?.service
}

function parseHostName(host: string): string {
  const colon = host.indexOf(":")
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase()
}

function parsePath(target: string): string {
  const end = target.search(/[?#]/)
  return end < 0 ? target : target.slice(0, end)
}
