import { z } from "zod"
import type { LiveInstance, OwnerRecord } from "@galenaway/coordination"
import type { EndpointId, InstanceId, StoreItem } from "@galenaway/core"

/** Prefix of all items that the instances write to the store for their own coordination. */
export const FLEET_PREFIX = "galenaway/"
/** Prefix of the owner records, one for each engine. */
export const OWNER_PREFIX = `${FLEET_PREFIX}owners/`
const INSTANCE_PREFIX = `${FLEET_PREFIX}instances/`

/** The registration that an instance publishes about itself. */
export interface RegisteredInstance extends LiveInstance {
  /** Address of the peer interface, `host:port`. */
  readonly peerAddress: string
}

/** The decoded items of the instances in the store. */
export interface FleetRecords {
  readonly instances: ReadonlyMap<InstanceId, RegisteredInstance>
  readonly owners: ReadonlyMap<EndpointId, OwnerRecord>
  /** Keys that are unknown or whose values can't be parsed. */
  readonly unreadable: readonly string[]
}

const INSTANCE_SCHEMA = z.object({
  incarnation: z.string(),
  dataCentre: z.string(),
  peerAddress: z.string(),
  isStopping: z.boolean(),
})

const OWNER_SCHEMA = z.object({
  owner: z.string(),
  incarnation: z.string(),
  isHandedOver: z.boolean(),
})

/** Parses items under {@link FLEET_PREFIX}. Never throws; items that can't be parsed are listed as unreadable. */
export function parseFleetRecords(items: readonly StoreItem[]): FleetRecords {
  const instances = new Map<InstanceId, RegisteredInstance>()
  const owners = new Map<EndpointId, OwnerRecord>()
  const unreadable: string[] = []
  for (const item of items) {
    const isRead = item.key.startsWith(OWNER_PREFIX)
      ? addOwner(owners, item)
      : addInstance(instances, item)
    if (!isRead) unreadable.push(item.key)
  }
  return { instances, owners, unreadable }
}

/** Formats the key of an instance's registration. */
export function formatInstanceKey(id: InstanceId): string {
  return INSTANCE_PREFIX + id
}

/** Formats an instance's registration as a stored value. */
export function formatInstance(instance: RegisteredInstance): Buffer {
  const { incarnation, dataCentre, peerAddress, isStopping } = instance
  return Buffer.from(JSON.stringify({ incarnation, dataCentre, peerAddress, isStopping }))
}

/** Formats the key of an engine's owner record. */
export function formatOwnerKey(endpoint: EndpointId): string {
  return OWNER_PREFIX + endpoint
}

/** Formats an owner record as a stored value. */
export function formatOwner(owner: LiveInstance, isHandedOver: boolean): Buffer {
  const { id, incarnation } = owner
  return Buffer.from(JSON.stringify({ owner: id, incarnation, isHandedOver }))
}

function addOwner(owners: Map<EndpointId, OwnerRecord>, item: StoreItem): boolean {
  const parsed = parseJson(OWNER_SCHEMA, item.value)
  if (!parsed) return false
  const endpoint = item.key.slice(OWNER_PREFIX.length)
  owners.set(endpoint, { endpoint, ...parsed, revision: item.revision })
  return true
}

function addInstance(instances: Map<InstanceId, RegisteredInstance>, item: StoreItem): boolean {
  if (!item.key.startsWith(INSTANCE_PREFIX)) return false
  const parsed = parseJson(INSTANCE_SCHEMA, item.value)
  if (!parsed) return false
  const id = item.key.slice(INSTANCE_PREFIX.length)
  instances.set(id, { id, ...parsed })
  return true
}

function parseJson<T>(schema: z.ZodType<T>, value: Buffer): T | undefined {
  try {
    return schema.parse(JSON.parse(value.toString()))
  } catch {
    // The caller logs the key.
    return undefined
  }
}
