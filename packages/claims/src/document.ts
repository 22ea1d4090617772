import type { ClaimKey } from "./key.js"
import type { ClaimLimits } from "./limits.js"
import type { ClaimRecord, Settlement, ShardDocument } from "./record.js"

/** The length to which the digests of discarded opaque keys are truncated. */
const PAST_DIGEST_CHARACTERS = 11
/** The estimated size of a formatted record without its body. */
const ESTIMATED_RECORD_BYTES = 160

/** Identifies the claim that an operation changes. The pair of `author` and `id` is never reused. */
export interface ClaimIdentity {
  readonly key: ClaimKey
  readonly author: string
  readonly id: number
}

/**
 * A change of one claim. Operations are idempotent: applying one twice in succession
 * has the effect of applying it once.
 */
export type ClaimOperation = ClaimIdentity &
  (
    | { readonly kind: "claim" }
    | { readonly kind: "settle"; readonly settlement: Settlement }
    /**
     * Removes a claim. Either its call certainly hasn't run, or its write wasn't confirmed
     * and may still take effect.
     */
    | { readonly kind: "release" }
  )

/** The result of an operation. Settlements and releases are always `applied`. */
export type OperationResult =
  | { readonly kind: "applied" }
  /** The key already has a record of another claim. */
  | { readonly kind: "held"; readonly record: ClaimRecord }
  /** The key is older than the kept records, so its call may have run. */
  | { readonly kind: "expired" }
  /** The shard has no space for another claim of this kind (opaque key, or key with a time). */
  | { readonly kind: "full" }

/** The document after a list of operations, and the result of each operation in the same order. */
export interface DocumentTransaction {
  readonly document: ShardDocument
  readonly results: readonly OperationResult[]
  /** Whether the document has to be written before the results are valid. */
  readonly isChanged: boolean
}

/** The document of a shard before its first write. */
export const EMPTY_DOCUMENT: ShardDocument = { claims: new Map(), past: "", horizon: 0 }

/**
 * Applies operations in order. If an operation changes the document, records
 * past their retention are discarded as well.
 */
export function applyOperations(
  document: ShardDocument,
  operations: readonly ClaimOperation[],
  wallNow: number,
  limits: ClaimLimits,
): DocumentTransaction {
  const claims = new Map(document.claims)
  const results: OperationResult[] = []
  let isChanged = false
  for (const operation of operations) {
    const { digest } = operation.key
    const held = claims.get(digest)
    const [result, next] = applyOperation({ ...document, claims }, operation, wallNow, limits)
    results.push(result)
    // A release is written even if the claim isn't found: the new revision makes a write of
    // the claim that is still in flight fail its compare-and-swap.
    if (next !== held || operation.kind === "release") isChanged = true
    if (next) claims.set(digest, next)
    else claims.delete(digest)
  }
  if (!isChanged) return { document, results, isChanged }
  return { document: compactDocument({ ...document, claims }, wallNow, limits), results, isChanged }
}

/**
 * Returns `held` with the key's record, `expired` if its record was discarded, or
 * undefined for an unused key.
 */
export function findRecord(document: ShardDocument, key: ClaimKey): OperationResult | undefined {
  const record = document.claims.get(key.digest)
  if (record) return { kind: "held", record }
  const isDiscarded = key.issuedAt !== undefined && key.issuedAt <= document.horizon
  if (isDiscarded || hasPastDigest(document.past, key.digest)) return { kind: "expired" }
  return undefined
}

/** Parses a shard's stored value; undefined gives the empty document. Throws if the value is malformed. */
export function parseDocument(value: string | undefined): ShardDocument {
  if (value === undefined) return EMPTY_DOCUMENT
  const { claims, past, horizon } = JSON.parse(value) as {
    claims: Record<string, ClaimRecord>
    past: string
    horizon: number
  }
  return { claims: new Map(Object.entries(claims)), past, horizon }
}

/** Formats a document as the stored value of its shard. */
export function formatDocument({ claims, past, horizon }: ShardDocument): string {
  return JSON.stringify({ claims: Object.fromEntries(claims), past, horizon })
}

type AppliedOperation = readonly [OperationResult, ClaimRecord | undefined]

function applyOperation(
  document: ShardDocument,
  operation: ClaimOperation,
  wallNow: number,
  limits: ClaimLimits,
): AppliedOperation {
  const held = document.claims.get(operation.key.digest)
  const ownClaim = findOwnClaim(held, operation)
  switch (operation.kind) {
    case "claim":
      return ownClaim
        ? [{ kind: "applied" }, ownClaim]
        : addClaim(document, operation, wallNow, limits)
    case "settle":
      return [{ kind: "applied" }, ownClaim ? settleClaim(ownClaim, operation.settlement) : held]
    case "release":
      return [{ kind: "applied" }, ownClaim ? undefined : held]
  }
}

function addClaim(
  document: ShardDocument,
  { key, id, author }: ClaimIdentity,
  wallNow: number,
  limits: ClaimLimits,
): AppliedOperation {
  const found = findRecord(document, key)
  if (found) return [found, document.claims.get(key.digest)]
  const { fingerprint, issuedAt } = key
  if (issuedAt !== undefined && issuedAt < wallNow - limits.retentionMs)
    return [{ kind: "expired" }, undefined]
  if (isFull(document, issuedAt === undefined, limits)) return [{ kind: "full" }, undefined]
  const base = { fingerprint, claimedAt: wallNow, ...(issuedAt === undefined ? {} : { issuedAt }) }
  return [{ kind: "applied" }, { state: "claimed", author, id, ...base }]
}

type UnsettledRecord = Extract<ClaimRecord, { state: "claimed" }>

function findOwnClaim(
  held: ClaimRecord | undefined,
  identity: ClaimIdentity,
): UnsettledRecord | undefined {
  if (held?.state !== "claimed") return undefined
  return held.author === identity.author && held.id === identity.id ? held : undefined
}

function settleClaim(held: UnsettledRecord, settlement: Settlement): ClaimRecord {
  const { fingerprint, claimedAt, issuedAt } = held
  const base = { fingerprint, claimedAt, ...(issuedAt === undefined ? {} : { issuedAt }) }
  return { ...base, ...settlement }
}

function isFull(document: ShardDocument, isOpaque: boolean, limits: ClaimLimits): boolean {
  const { past, claims } = document
  // Reserves space among the past digests for every current claim.
  if (isOpaque && past.length + claims.size * PAST_DIGEST_CHARACTERS >= limits.pastBytes)
    return true
  return past.length + claims.size * ESTIMATED_RECORD_BYTES >= limits.documentBytes
}

/**
 * Removes bodies and discards records that are past their retention, and removes
 * the oldest bodies if the records are still too large. The key of a discarded
 * record can't be claimed again: opaque keys stay in `past`, keys with a time are
 * covered by `horizon`.
 */
export function compactDocument(
  document: ShardDocument,
  wallNow: number,
  limits: ClaimLimits,
): ShardDocument {
  const claims = new Map<string, ClaimRecord>()
  const discarded: string[] = []
  let { horizon } = document
  for (const [digest, record] of document.claims) {
    const isOld = (record.issuedAt ?? record.claimedAt) < wallNow - limits.retentionMs
    if (!isOld) claims.set(digest, removeOldBody(record, wallNow - limits.bodyRetentionMs))
    else if (record.issuedAt === undefined) discarded.push(digest)
    else horizon = Math.max(horizon, record.issuedAt)
  }
  const past = discarded.length === 0 ? document.past : addPastDigests(document.past, discarded)
  return removeExcessBodies({ claims, past, horizon }, limits.documentBytes)
}

function removeExcessBodies(document: ShardDocument, limitBytes: number): ShardDocument {
  let bytes = 0
  const claims = new Map<string, ClaimRecord>()
  // Keeps the newest bodies: a Map iterates in insertion order, so the newest claims are last.
  for (const [digest, record] of [...document.claims].reverse()) {
    const bodyBytes = record.state === "done" ? countBodyBytes(record.body) : 0
    bytes += ESTIMATED_RECORD_BYTES + bodyBytes
    claims.set(digest, bytes > limitBytes ? removeOldBody(record, Infinity) : record)
    if (bytes > limitBytes) bytes -= bodyBytes
  }
  return { ...document, claims: new Map([...claims].reverse()) }
}

function countBodyBytes(body: string | undefined): number {
  return body === undefined ? 0 : Buffer.byteLength(JSON.stringify(body))
}

function removeOldBody(record: ClaimRecord, before: number): ClaimRecord {
  if (record.state !== "done" || record.body === undefined || record.claimedAt >= before)
    return record
  const { fingerprint, claimedAt, issuedAt, state, status } = record
  const base = { fingerprint, claimedAt, ...(issuedAt === undefined ? {} : { issuedAt }) }
  return { ...base, state, status }
}

function addPastDigests(past: string, digests: readonly string[]): string {
  const current = past.match(new RegExp(`.{${PAST_DIGEST_CHARACTERS}}`, "gs")) ?? []
  return [...current, ...digests.map(shortenDigest)].sort(compareText).join("")
}

function hasPastDigest(past: string, digest: string): boolean {
  const target = shortenDigest(digest)
  let low = 0
  let high = past.length / PAST_DIGEST_CHARACTERS
  while (low < high) {
    const middle = (low + high) >>> 1
    const entry = past.slice(middle * PAST_DIGEST_CHARACTERS, (middle + 1) * PAST_DIGEST_CHARACTERS)
    if (entry === target) return true
    if (entry < target) low = middle + 1
    else high = middle
  }
  return false
}

function shortenDigest(digest: string): string {
  return digest.slice(0, PAST_DIGEST_CHARACTERS)
}

function compareText(a: string, b: string): number {
  if (a === b) return 0
  return a < b ? -1 : 1
}
