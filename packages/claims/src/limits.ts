/** Limits on the memory, storage and waiting times of claims. Times are in milliseconds, sizes in bytes. */
export interface ClaimLimits {
  /**
   * The number of documents over which the keys are spread. It must be equal on all
   * instances and never change.
   */
  readonly shards: number
  /** How long a key's record is kept, counted from the time contained in the key, or else from its claim. */
  readonly retentionMs: number
  /** How long the body of a recorded answer is kept, counted from the claim. */
  readonly bodyRetentionMs: number
  /** The largest body that is recorded; a larger one is left out of the record. */
  readonly bodyBytes: number
  /**
   * The estimated size of one document's records above which bodies are removed early,
   * the oldest first. A shard whose records without bodies and digests of expired keys
   * together reach it accepts no further key.
   */
  readonly documentBytes: number
  /**
   * The size of one shard's digests of expired opaque keys from which it accepts no
   * further opaque key. It counts the space reserved for its current claims.
   */
  readonly pastBytes: number
  /**
   * The number of unsettled calls and unwritten operations at one instance from
   * which it refuses further calls.
   */
  readonly maxOpen: number
  /** How long a call waits for the platform to confirm its claim. */
  readonly claimTimeoutMs: number
  /** How long a retry waits for the answer of the first call. */
  readonly replayWaitMs: number
}

/** The limits that the daemon uses. */
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
