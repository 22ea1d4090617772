import { createHash } from "node:crypto"

const DIGEST_CHARACTERS = 22
const FINGERPRINT_CHARACTERS = 16
const SHARD_CHARACTERS = 6
const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i
const HEX_RADIX = 16
const MAX_CLOCK_SKEW_MS = 300_000

/** A call that runs at most once under its idempotency key. */
export interface KeyedCall {
  /** The key's scope: one key under two operations is two keys. */
  readonly operation: string
  readonly key: string
  readonly body: string
}

/** A call's key in the form that is written down. */
export interface ClaimKey {
  readonly digest: string
  readonly fingerprint: string
  /** The time that the key carries, in milliseconds; undefined for an opaque key. */
  readonly issuedAt: number | undefined
}

/** Derives the written form of a call's key. A UUID of version 7 carries its time; any other key is opaque. */
export function createClaimKey(call: KeyedCall, wallNow: number): ClaimKey {
  const digest = computeHash(`${call.operation}\n${call.key}`).slice(0, DIGEST_CHARACTERS)
  const fingerprint = computeHash(call.body).slice(0, FINGERPRINT_CHARACTERS)
  const issuedAt = parseKeyTime(call.key)
  // A time in the future comes from a wrong clock, and would be remembered for too long.
  const isUsable = issuedAt !== undefined && issuedAt <= wallNow + MAX_CLOCK_SKEW_MS
  return { digest, fingerprint, issuedAt: isUsable ? issuedAt : undefined }
}

/** Returns the shard of a key. */
export function getShardIndex(digest: string, shards: number): number {
  const bytes = Buffer.from(digest.slice(0, SHARD_CHARACTERS), "base64url")
  return bytes.readUInt32BE(0) % shards
}

// Callers choose their keys, so equal digests must be beyond what they can construct.
function computeHash(text: string): string {
  return createHash("sha256").update(text).digest("base64url")
}

function parseKeyTime(key: string): number | undefined {
  const match = UUID_V7.exec(key)
  return match ? Number.parseInt(`${match[1] ?? ""}${match[2] ?? ""}`, HEX_RADIX) : undefined
}
