import type { DataCentre, EndpointId, Millis, Registration } from "@galenaway/core"
import type { EndpointHealth } from "./health.js"

/** Cost of a hop to another data centre, as a share of an endpoint's slots. */
const HOP_COST_SHARE = 0.15
/** Cost of an endpoint at which every request fails, in multiples of its slots. It is multiplied by the failure rate. */
const FAILURE_COST_FACTOR = 4

/**
 * Chooses the endpoint of a plain service with the lowest cost, which grows with
 * load, slowness, failures and a hop to another data centre. Returns undefined when
 * no endpoint is usable.
 */
export function chooseEndpoint(
  endpoints: readonly Registration[],
  health: EndpointHealth,
  localDataCentre: DataCentre,
  excluded: ReadonlySet<EndpointId>,
  now: Millis,
): Registration | undefined {
  let best: Registration | undefined
  let bestCost = Infinity
  for (const endpoint of endpoints) {
    if (excluded.has(endpoint.id) || !health.isUsable(endpoint.id, now)) continue
    const cost = estimateCost(endpoint, health, localDataCentre, now)
    if (cost >= bestCost) continue
    best = endpoint
    bestCost = cost
  }
  return best
}

function estimateCost(
  { id, slots, dataCentre }: Registration,
  health: EndpointHealth,
  localDataCentre: DataCentre,
  now: Millis,
): number {
  const load = (health.countRunning(id, now) + health.countInFlight(id) + 1) / Math.max(1, slots)
  const hop = dataCentre === localDataCentre ? 0 : HOP_COST_SHARE
  return load * health.getSlowness(id) + hop + FAILURE_COST_FACTOR * health.getFailureRate(id)
}
