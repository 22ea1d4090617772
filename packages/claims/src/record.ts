/** The recorded answer of a call that ran. */
export interface RecordedAnswer {
  readonly status: number
  readonly body: string
}

interface ClaimBase {
  /** Hash of the request's body. A request with another body under the same key is a conflict. */
  readonly fingerprint: string
  /** Wall time of the claim, in milliseconds since the Unix epoch. */
  readonly claimedAt: number
  /** Wall time contained in the key, in milliseconds since the Unix epoch; undefined for an opaque key. */
  readonly issuedAt?: number
}

/** The stored record of a call under its idempotency key. */
export type ClaimRecord =
  /**
   * The author may be about to run the call, may be running it, or may have crashed.
   * The author finds its own claim by `id`.
   */
  | (ClaimBase & { readonly state: "claimed"; readonly author: string; readonly id: number })
  /** The call ran. The body is missing if it was too large or is past its retention. */
  | (ClaimBase & { readonly state: "done"; readonly status: number; readonly body?: string })
  /** The call was sent and its outcome can't be determined. */
  | (ClaimBase & { readonly state: "unknown" })

/** The claims of one shard, stored as one value of the platform's service. */
export interface ShardDocument {
  /** Claims by the digest of their key, in the order in which they were first written. */
  readonly claims: ReadonlyMap<string, ClaimRecord>
  /** Truncated digests of opaque keys past their retention, sorted and joined without separators. */
  readonly past: string
  /**
   * The latest time of a key whose record was discarded. A key with this time or an
   * earlier one can't be claimed any more.
   */
  readonly horizon: number
}

/** The final state of a claim. */
export type Settlement =
  | { readonly state: "done"; readonly status: number; readonly body?: string }
  | { readonly state: "unknown" }
