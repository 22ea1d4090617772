import { createHash } from "node:crypto"
import { z } from "zod"
import type { LiveInstance, OwnerRecord } from "@galenaway/coordination"
import {
  type EndpointId,
  getEra,
  type InstanceId,
  isHostAddress,
  type StoreItem,
} from "@galenaway/core"
import type { PartId, PartState } from "@galenaway/routing"

/** Prefix of all items that the instances write to the store for their own coordination. */
export const FLEET_PREFIX = "galenaway/"
/** Prefix of the owner records, one for each engine. */
export const OWNER_PREFIX = `${FLEET_PREFIX}owners/`
const INSTANCE_PREFIX = `${FLEET_PREFIX}instances/`
const PART_PREFIX = `${FLEET_PREFIX}parts/`
/** Callers choose the ids of parts, so keys have a hash of this length, in characters. */
const PART_HASH_LENGTH = 32

/** The registration that an instance publishes about itself. */
export interface RegisteredInstance extends LiveInstance {
  /** Address of the peer interface, `host:port`. */
  readonly peerAddress: string
}

/** The decoded items of the instances in the store. */
export interface FleetRecords {
  readonly instances: ReadonlyMap<InstanceId, RegisteredInstance>
  readonly owners: ReadonlyMap<EndpointId, OwnerRecord>
  /** The states of prompt parts, the longest unchanged first. */
  readonly parts: readonly PartState[]
  /** Keys that are unknown or whose values can't be parsed. */
  readonly unreadable: readonly string[]
}

const INSTANCE_SCHEMA = z.object({
  incarnation: z.string(),
  dataCentre: z.string(),
  peerAddress: z.string().refine(isHostAddress),
  isStopping: z.boolean(),
})

/** Instances send both numbers as 32 bits, and a later generation has a higher number. */
const MAX_PART_NUMBER = 2 ** 31
/** Callers send the ids of parts in a header of at most 16 KB. */
const MAX_PART_LENGTH = 16 * 1024
const PART_SCHEMA = z.object({
  part: z.string().max(MAX_PART_LENGTH),
  generation: z.number().int().positive().max(MAX_PART_NUMBER),
  endCount: z.number().int().nonnegative().max(MAX_PART_NUMBER),
})

/** The owner in a record that can't be parsed: no instance has this id. */
const NO_OWNER = { owner: "", incarnation: "", isHandedOver: false, isRestored: false }

const OWNER_SCHEMA = z.object({
  owner: z.string(),
  incarnation: z.string(),
  isHandedOver: z.boolean(),
  /** The era of the store in which the record was written. */
  era: z.number().default(0),
})

/** One decoded item. */
type FleetRecord =
  | { readonly kind: "instance"; readonly instance: RegisteredInstance }
  | { readonly kind: "owner"; readonly owner: OwnerRecord; readonly isReadable: boolean }
  | { readonly kind: "part"; readonly part: PartState }
  | { readonly kind: "unreadable" }

const UNREADABLE: FleetRecord = { kind: "unreadable" }
/** The records of items that were decoded before. The store's client returns the same object for an unchanged item. */
const decodedRecords = new WeakMap<StoreItem, FleetRecord>()

/**
 * Parses items under {@link FLEET_PREFIX}. Never throws; items that can't be parsed
 * are listed as unreadable. An owner record among them has no owner, and its
 * revision, with which it can be replaced.
 */
export function parseFleetRecords(items: readonly StoreItem[]): FleetRecords {
  const instances = new Map<InstanceId, RegisteredInstance>()
  const owners = new Map<EndpointId, OwnerRecord>()
  const unreadable: string[] = []
  for (const item of items) {
    const record = parseRecord(item)
    switch (record.kind) {
      case "instance":
        instances.set(record.instance.id, record.instance)
        break
      case "owner":
        owners.set(record.owner.endpoint, record.owner)
        if (!record.isReadable) unreadable.push(item.key)
        break
      case "part":
        break
      case "unreadable":
        unreadable.push(item.key)
    }
  }
  const parts = parseParts(items)
  return { instances, owners, parts, unreadable }
}

/** Parses the states of prompt parts among items, the longest unchanged first. Never throws; omits items that can't be parsed or aren't at the key of their part. */
export function parseParts(items: readonly StoreItem[]): readonly PartState[] {
  return items
    .filter(({ key }) => key.startsWith(PART_PREFIX))
    .sort((a, b) => a.revision - b.revision)
    .flatMap((item) => {
      const record = parseRecord(item)
      return record.kind === "part" ? [record.part] : []
    })
}

function parseRecord(item: StoreItem): FleetRecord {
  const known = decodedRecords.get(item)
  if (known) return known
  const record = decodeRecord(item)
  decodedRecords.set(item, record)
  return record
}

function decodeRecord(item: StoreItem): FleetRecord {
  if (item.key.startsWith(PART_PREFIX)) return decodePart(item)
  return item.key.startsWith(OWNER_PREFIX) ? decodeOwner(item) : decodeInstance(item)
}

/** Formats the key of a prompt part's state. */
export function formatPartKey(part: PartId): string {
  return PART_PREFIX + createHash("sha256").update(part).digest("hex").slice(0, PART_HASH_LENGTH)
}

/** Builds the item of a prompt part's state for a peer that can't reach the store. */
export function formatPartItem(state: PartState): StoreItem {
  return { key: formatPartKey(state.part), value: formatPart(state), revision: 0 }
}

/** Formats the state of a prompt part as a stored value. */
export function formatPart({ part, generation, endCount }: PartState): Buffer {
  return Buffer.from(JSON.stringify({ part, generation, endCount }))
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

/** Formats an owner record that is written in an era of the store as a stored value. */
export function formatOwner(owner: LiveInstance, isHandedOver: boolean, era: number): Buffer {
  const { id, incarnation } = owner
  return Buffer.from(JSON.stringify({ owner: id, incarnation, isHandedOver, era }))
}

function decodePart({ key, value }: StoreItem): FleetRecord {
  const part = parseJson(PART_SCHEMA, value)
  return part && formatPartKey(part.part) === key ? { kind: "part", part } : UNREADABLE
}

function decodeOwner({ key, value, revision }: StoreItem): FleetRecord {
  const parsed = parseJson(OWNER_SCHEMA, value)
  const base = { endpoint: key.slice(OWNER_PREFIX.length), revision }
  if (!parsed) return { kind: "owner", owner: { ...base, ...NO_OWNER }, isReadable: false }
  const { era, ...record } = parsed
  const isRestored = era < getEra(revision)
  return { kind: "owner", owner: { ...base, ...record, isRestored }, isReadable: true }
}

function decodeInstance({ key, value }: StoreItem): FleetRecord {
  const id = key.slice(INSTANCE_PREFIX.length)
  if (!key.startsWith(INSTANCE_PREFIX) || id === "") return UNREADABLE
  const parsed = parseJson(INSTANCE_SCHEMA, value)
  return parsed ? { kind: "instance", instance: { id, ...parsed } } : UNREADABLE
}

function parseJson<T>(schema: z.ZodType<T>, value: Buffer): T | undefined {
  try {
    return schema.parse(JSON.parse(value.toString()))
  } catch {
    // The caller logs the key.
    return undefined
  }
}
