import type { DataCentre, EndpointId, Incarnation, InstanceId } from "@galenaway/core"
import { hashText } from "@galenaway/policy"

/** An instance whose registration hasn't expired. */
export interface LiveInstance {
  readonly id: InstanceId
  readonly incarnation: Incarnation
  readonly dataCentre: DataCentre
  /** A stopping instance claims no endpoints and hands its own over. */
  readonly isStopping: boolean
}

/**
 * The stored record of an endpoint's owner, which alone may send orders to it.
 * `revision` is the fencing token.
 */
export interface OwnerRecord {
  readonly endpoint: EndpointId
  readonly owner: InstanceId
  readonly incarnation: Incarnation
  /** The store's revision of the record's last change. */
  readonly revision: number
  /** The previous owner has confirmed that it sends no more orders. */
  readonly isHandedOver: boolean
  /**
   * The record was written before the store was restored from an older copy. It
   * permits nothing until it is written again, since a later one may be lost.
   */
  readonly isRestored: boolean
}

/** An endpoint that needs an owner, and its data centre. */
export interface OwnedEndpoint {
  readonly id: EndpointId
  readonly dataCentre: DataCentre
}

/** An owner record to write. */
export interface OwnershipClaim {
  readonly endpoint: EndpointId
  readonly owner: LiveInstance
  /** The record that it replaces, undefined if there is none. */
  readonly before: OwnerRecord | undefined
}

/** The number of endpoints per owner, which determines how many owners a data centre has. */
const ENDPOINTS_PER_OWNER = 8
/** The minimum number of owners in a data centre that has as many instances. */
const MIN_OWNERS = 2
/**
 * An endpoint without an owner is assigned to one that has less than this many
 * times the mean number of endpoints, or less than the mean rounded up if that is
 * more. If there is none, the load isn't bounded.
 */
const LOAD_FACTOR = 1.25

/**
 * Plans the endpoints that an instance should claim for itself: those without a
 * live owner that are assigned to it, those that its own earlier process owned, and
 * those whose record of this process was written before the store was restored. Instances with the same input plan disjoint claims. If their inputs
 * differ, the store's conditional writes reject all but one claim of an endpoint.
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
      (before?.owner !== self.id || before.incarnation !== self.incarnation || before.isRestored),
  )
}

/** Plans the new owners of the endpoints that a stopping instance owns. */
export function planHandovers(
  self: LiveInstance,
  instances: readonly LiveInstance[],
  endpoints: readonly OwnedEndpoint[],
  records: ReadonlyMap<EndpointId, OwnerRecord>,
): readonly OwnershipClaim[] {
  const others = instances.filter(({ id }) => id !== self.id)
  const isOwn = (record: OwnerRecord | undefined) =>
    record?.owner === self.id && record.incarnation === self.incarnation
  return planOwners(others, endpoints, records).filter(({ before }) => isOwn(before))
}

/**
 * Plans an owner for every endpoint whose recorded owner isn't live or was
 * restarted, or whose record was restored. A live owner keeps the endpoint. A new owner is in the
 * endpoint's data centre if that has a live instance.
 */
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
  const unowned: OwnedEndpoint[] = []
  for (const endpoint of endpoints) {
    const before = records.get(endpoint.id)
    const owner = before && byId.get(before.owner)
    if (!owner) {
      unowned.push(endpoint)
      continue
    }
    counts.set(owner.id, (counts.get(owner.id) ?? 0) + 1)
    if (before.incarnation !== owner.incarnation || before.isRestored)
      claims.push({ endpoint: endpoint.id, owner, before })
  }
  for (const endpoint of unowned.sort((a, b) => (a.id < b.id ? -1 : 1))) {
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
  const local = live.filter(({ dataCentre }) => dataCentre === endpoint.dataCentre)
  const endpointCount =
    local.length > 0
      ? endpoints.filter(({ dataCentre }) => dataCentre === endpoint.dataCentre).length
      : endpoints.length
  const candidates = chooseCandidates(local.length > 0 ? local : live, endpointCount)
  const mean = endpointCount / candidates.length
  const bound = Math.max(Math.ceil(mean), Math.floor(LOAD_FACTOR * mean))
  const ranked = rankInstances(endpoint.id, candidates)
  const chosen = ranked.find(({ id }) => (counts.get(id) ?? 0) < bound) ?? ranked[0]
  if (!chosen) throw new RangeError("no live instance to choose an owner from")
  return chosen
}

/**
 * Chooses the instances that may own endpoints. Every instance keeps a
 * connection to each owner, and every owner reads its records from the store
 * repeatedly, so the number of owners is limited by the number of endpoints.
 */
function chooseCandidates(
  instances: readonly LiveInstance[],
  endpointCount: number,
): readonly LiveInstance[] {
  const count = Math.max(MIN_OWNERS, Math.ceil(endpointCount / ENDPOINTS_PER_OWNER))
  return rankInstances("owner", instances).slice(0, count)
}

/** Ranks instances for a key by rendezvous hashing, highest score first. */
function rankInstances(key: string, instances: readonly LiveInstance[]): readonly LiveInstance[] {
  return instances
    .map((instance) => ({ instance, score: hashText(`${key} ${instance.id}`) }))
    .sort((a, b) => b.score - a.score || (a.instance.id < b.instance.id ? -1 : 1))
    .map(({ instance }) => instance)
}
