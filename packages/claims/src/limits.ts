/** Bounds of the claims. Times are in milliseconds, sizes in bytes. */
export interface ClaimLimits {
  /** Documents over which the keys are spread. It must be the same on every instance, always. */
  readonly shards: number
  /** How long a key is remembered, counted from the time that it carries, or from its claim. */
  readonly retentionMs: number
  /** How long the body of a recorded answer is kept. */
  readonly bodyRetentionMs: number
  /** The largest body of an answer that is recorded. */
  readonly bodyBytes: number
  /** The size from which on bodies are dropped early, the oldest first. */
  readonly documentBytes: number
  /** The size of one shard's digests of forgotten opaque keys, beyond which no opaque key is claimed. */
  readonly pastBytes: number
  /** Claims and settlements that one instance keeps in memory until the platform has them. */
  readonly maxOpen: number
  /** How long a call waits for its claim to be written. */
  readonly claimTimeoutMs: number
  /** How long a retry waits for the answer of the first call. */
  readonly replayWaitMs: number
}

/** The bounds that the daemon uses. */
export const DEFAULT_CLAIM_LIMITS: ClaimLimits = {
  shards: 8,
  retentionMs: 3_600_000,
  bodyRetentionMs: 900_000,
  bodyBytes: 4096,
  documentBytes: 384 * 1024,
  pastBytes: 256 * 1024,
  maxOpen: 4096,
  claimTimeoutMs: 1500,
  replayWaitMs: 3000,
}
