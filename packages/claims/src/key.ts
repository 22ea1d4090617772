import { createHash } from "node:crypto"

const DIGEST_CHARACTERS = 22
const FINGERPRINT_CHARACTERS = 16
/** The length of the digest's prefix that determines the shard. It encodes four whole bytes. */
const SHARD_CHARACTERS = 6
const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i
const HEX_RADIX = 16
const MAX_CLOCK_SKEW_MS = 300_000

/** A call that runs at most once under its idempotency key. */
export interface KeyedCall {
  /** Scopes the key: the same key under another operation is a different key. */
  readonly operation: string
  readonly key: string
  readonly body: string
}

/** An idempotency key in the form in which it is stored. */
export interface ClaimKey {
  /** Hash of the operation and the key, base64url. */
  readonly digest: string
  /** Hash of the body, base64url. */
  readonly fingerprint: string
  /** The time contained in the key, in milliseconds since the Unix epoch; undefined for an opaque key. */
  readonly issuedAt: number | undefined
}

/**
 * Derives the stored form of a call's key. A UUID of version 7 contains a time;
 * every other key is opaque.
 */
export function createClaimKey(call: KeyedCall, wallNow: number): ClaimKey {
  const digest = computeHash(`${call.operation}\n${call.key}`).slice(0, DIGEST_CHARACTERS)
  const fingerprint = computeHash(call.body).slice(0, FINGERPRINT_CHARACTERS)
  const issuedAt = parseKeyTime(call.key)
  // A time in the future comes from a wrong clock, and its record would be kept for too long.
  const isUsable = issuedAt !== undefined && issuedAt <= wallNow + MAX_CLOCK_SKEW_MS
  return { digest, fingerprint, issuedAt: isUsable ? issuedAt : undefined }
}

/** Returns the index of the shard that stores a key, from 0 to `shardCount - 1`. */
export function getShardIndex(digest: string, shardCount: number): number {
  const bytes = Buffer.from(digest.slice(0, SHARD_CHARACTERS), "base64url")
  return bytes.readUInt32BE(0) % shardCount
}

// Callers choose their keys, so the hash must be cryptographic to rule out constructed collisions.
function computeHash(text: string): string {
  return createHash("sha256").update(text).digest("base64url")
}

function parseKeyTime(key: string): number | undefined {
  const match = UUID_V7.exec(key)
  return match ? Number.parseInt(`${match[1] ?? ""}${match[2] ?? ""}`, HEX_RADIX) : undefined
}
