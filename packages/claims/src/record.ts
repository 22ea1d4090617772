/** The recorded answer of a call that ran. */
export interface RecordedAnswer {
  readonly status: number
  readonly body: string
}

interface ClaimBase {
  /** Hash of the request's body; another body under the same key is a conflict. */
  readonly fingerprint: string
  /** Wall time of the claim in milliseconds. */
  readonly claimedAt: number
  /** Wall time that the key itself carries, in milliseconds; undefined for an opaque key. */
  readonly issuedAt?: number
}

/** What the platform's service keeps of a call under its idempotency key. */
export type ClaimRecord =
  /** Its author may run it, be running it, or have died over it. The author knows it again by its id. */
  | (ClaimBase & { readonly state: "claimed"; readonly author: string; readonly id: number })
  /** It ran. The body is dropped after a while, or when it is large. */
  | (ClaimBase & { readonly state: "done"; readonly status: number; readonly body?: string })
  /** It was sent, and its outcome won't become known. */
  | (ClaimBase & { readonly state: "unknown" })

/** The claims of one shard. It is one value of the platform's service. */
export interface ShardDocument {
  /** Claims by the digest of their key. */
  readonly claims: ReadonlyMap<string, ClaimRecord>
  /** Digests of opaque keys that are past their retention, sorted and shortened, without separators. */
  readonly past: string
  /** The latest time of a key that was forgotten. A key of this time or before is never claimed again. */
  readonly horizon: number
}

/** How a claim ends. */
export type Settlement =
  | { readonly state: "done"; readonly status: number; readonly body?: string }
  | { readonly state: "unknown" }
