import type { DataCentre, EndpointId, Incarnation, InstanceId } from "@galenaway/core"
import { hashText } from "@galenaway/policy"

/** An instance that has registered itself and hasn't lapsed. */
export interface LiveInstance {
  readonly id: InstanceId
  readonly incarnation: Incarnation
  readonly dataCentre: DataCentre
  /** A stopping instance takes no endpoint and gives its own away. */
  readonly isStopping: boolean
}

/** Who may give an endpoint orders, as the store has it. The revision of the record's last change is the fencing token. */
export interface OwnerRecord {
  readonly endpoint: EndpointId
  readonly owner: InstanceId
  readonly incarnation: Incarnation
  readonly revision: number
  /** The owner before has said that it gives no more orders. */
  readonly isHandedOver: boolean
}

/** An endpoint that needs an owner. */
export interface OwnedEndpoint {
  readonly id: EndpointId
  readonly dataCentre: DataCentre
}

/** An owner record that should be written, and what it follows. */
export interface OwnershipClaim {
  readonly endpoint: EndpointId
  readonly owner: LiveInstance
  /** The record that it replaces. */
  readonly before: OwnerRecord | undefined
}

/** Endpoints that one owner takes before the data centre gets a further one. */
const ENDPOINTS_PER_OWNER = 8
/** Owners that a data centre has at least, where it has instances enough. */
const MIN_OWNERS = 2
/** An owner may have this many times the mean number of endpoints, or the mean rounded up. */
const LOAD_FACTOR = 1.25

/**
 * Plans which endpoints an instance should claim for itself: those that it is
 * the best successor of, and those that its own earlier process owned. All
 * instances with the same view plan claims that exclude each other; where
 * views differ, the store's conditions decide.
 */
export function planClaims(
  self: LiveInstance,
  instances: readonly LiveInstance[],
  endpoints: readonly OwnedEndpoint[],
  records: ReadonlyMap<EndpointId, OwnerRecord>,
): readonly OwnershipClaim[] {
  if (self.isStopping) return []
  return planOwners(instances, endpoints, records).filter(
    ({ owner, before }) =>
      owner.id === self.id &&
      (before?.owner !== self.id || before.incarnation !== self.incarnation),
  )
}

/** Plans to whom a stopping instance gives the endpoints that it owns. */
export function planHandovers(
  self: LiveInstance,
  instances: readonly LiveInstance[],
  endpoints: readonly OwnedEndpoint[],
  records: ReadonlyMap<EndpointId, OwnerRecord>,
): readonly OwnershipClaim[] {
  const others = instances.filter(({ id }) => id !== self.id)
  const own = (record: OwnerRecord | undefined) =>
    record?.owner === self.id && record.incarnation === self.incarnation
  return planOwners(others, endpoints, records).filter(({ before }) => own(before))
}

/** Plans an owner for every endpoint whose recorded owner can't keep it. Endpoints stay within their data centre where it has an instance. */
function planOwners(
  instances: readonly LiveInstance[],
  endpoints: readonly OwnedEndpoint[],
  records: ReadonlyMap<EndpointId, OwnerRecord>,
): readonly OwnershipClaim[] {
  const live = instances.filter(({ isStopping }) => !isStopping)
  if (live.length === 0) return []
  const byId = new Map(live.map((instance) => [instance.id, instance]))
  const counts = new Map<InstanceId, number>()
  const claims: OwnershipClaim[] = []
  const open: OwnedEndpoint[] = []
  for (const endpoint of endpoints) {
    const before = records.get(endpoint.id)
    const owner = before && byId.get(before.owner)
    if (!owner) {
      open.push(endpoint)
      continue
    }
    counts.set(owner.id, (counts.get(owner.id) ?? 0) + 1)
    if (before.incarnation !== owner.incarnation)
      claims.push({ endpoint: endpoint.id, owner, before })
  }
  for (const endpoint of open.sort((a, b) => (a.id < b.id ? -1 : 1))) {
    const owner = chooseOwner(endpoint, endpoints, live, counts)
    counts.set(owner.id, (counts.get(owner.id) ?? 0) + 1)
    claims.push({ endpoint: endpoint.id, owner, before: records.get(endpoint.id) })
  }
  return claims
}

function chooseOwner(
  endpoint: OwnedEndpoint,
  endpoints: readonly OwnedEndpoint[],
  live: readonly LiveInstance[],
  counts: ReadonlyMap<InstanceId, number>,
): LiveInstance {
  const near = live.filter(({ dataCentre }) => dataCentre === endpoint.dataCentre)
  const shared =
    near.length > 0
      ? endpoints.filter(({ dataCentre }) => dataCentre === endpoint.dataCentre).length
      : endpoints.length
  const candidates = chooseCandidates(near.length > 0 ? near : live, shared)
  const mean = shared / candidates.length
  const bound = Math.max(Math.ceil(mean), Math.floor(LOAD_FACTOR * mean))
  const ranked = rankInstances(endpoint.id, candidates)
  const found = ranked.find(({ id }) => (counts.get(id) ?? 0) < bound) ?? ranked[0]
  if (!found) throw new RangeError("no live instance to choose an owner from")
  return found
}

/**
 * Chooses the instances that own endpoints. Every instance keeps a connection
 * to each owner, and every owner confirms its records at the store, so there
 * are only as many as the endpoints need.
 */
function chooseCandidates(
  instances: readonly LiveInstance[],
  endpoints: number,
): readonly LiveInstance[] {
  const count = Math.max(MIN_OWNERS, Math.ceil(endpoints / ENDPOINTS_PER_OWNER))
  return rankInstances("owner", instances).slice(0, count)
}

function rankInstances(
  endpoint: string,
  instances: readonly LiveInstance[],
): readonly LiveInstance[] {
  return instances
    .map((instance) => ({ instance, score: hashText(`${endpoint} ${instance.id}`) }))
    .sort((a, b) => b.score - a.score || (a.instance.id < b.instance.id ? -1 : 1))
    .map(({ instance }) => instance)
}
