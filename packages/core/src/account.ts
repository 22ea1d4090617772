/** The name of a client account. */
export type AccountName = string

/** What the use of a quota is counted in. */
export type QuotaUnit = "requests" | "tokens"

/** The quota of a client account over all instances. */
export interface AccountQuota {
  readonly unit: QuotaUnit
  /** Units per second. */
  readonly ratePerS: number
  /** Units that may be used at once after a time without use. */
  readonly burst: number
  /** Units of a request that doesn't state its tokens, if tokens are counted. */
  readonly plainTokens: number
}

/** A client account with the keys that its callers send. */
export interface ClientAccount {
  readonly name: AccountName
  readonly keys: readonly string[]
  /** Precedes the priority of the route, 0 is the most urgent; undefined if the route's applies. */
  readonly priority?: number
  /** Undefined if the account's use isn't limited. */
  readonly quota?: AccountQuota
}

/** The credentials of a request. A `key` may belong to no account. */
export type CallerCredentials =
  | { readonly kind: "none" }
  /** The reason contains nothing of the credentials. */
  | { readonly kind: "invalid"; readonly reason: string }
  | { readonly kind: "key"; readonly key: string }
