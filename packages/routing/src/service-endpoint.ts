import type { DataCentre, EndpointId, Millis, Registration } from "@galenaway/core"
import type { EndpointHealth } from "./health.js"

/** A hop to another data centre, as a share of an endpoint's slots in use. */
const HOP_COST_SHARE = 0.15
const FAILURE_COST_SHARE = 4

/** Chooses an endpoint of a plain service: the one with the most room, near ones first among equals. */
export function chooseEndpoint(
  endpoints: readonly Registration[],
  health: EndpointHealth,
  home: DataCentre,
  excluded: ReadonlySet<EndpointId>,
  now: Millis,
): Registration | undefined {
  let best: Registration | undefined
  let bestCost = Infinity
  for (const endpoint of endpoints) {
    if (excluded.has(endpoint.id) || !health.isUsable(endpoint.id, now)) continue
    const cost = estimateCost(endpoint, health, home, now)
    if (cost >= bestCost) continue
    best = endpoint
    bestCost = cost
  }
  return best
}

function estimateCost(
  { id, slots, dataCentre }: Registration,
  health: EndpointHealth,
  home: DataCentre,
  now: Millis,
): number {
  const load = (health.countRunning(id, now) + health.countInFlight(id) + 1) / Math.max(1, slots)
  const hop = dataCentre === home ? 0 : HOP_COST_SHARE
  return load * health.getSlowness(id) + hop + FAILURE_COST_SHARE * health.getFailureRate(id)
}
