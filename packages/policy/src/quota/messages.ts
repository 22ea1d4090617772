import type { AccountName, Millis } from "@galenaway/core"
import type { TakenUnits } from "./token-bucket.js"

/** Parts of an account's rate and burst, each from 0 to 1. */
export interface ShareParts {
  readonly rate: number
  readonly burst: number
}

/** A share of nothing. */
export const NO_SHARE: ShareParts = { rate: 0, burst: 0 }

/** Units of a reply that no endpoint has used. */
export interface UnitRefund extends TakenUnits {
  /** Token of the allocator that sent the reply. */
  readonly token: number
}

/** What a holder reports about one account. */
export interface AccountReport {
  readonly account: AccountName
  /** The share in force at the holder. */
  readonly share: ShareParts
  /** Token of the allocator that granted it, 0 if there is none. */
  readonly token: number
  /** Number of the report whose reply the holder has applied last, 0 if none. */
  readonly appliedNumber: number
  readonly demandPerMs: number
  readonly meanCost: number
  /** Units that waiting requests need beyond the holder's stock. */
  readonly requested: number
  /** Units that the first of them needs. */
  readonly firstRequested: number
  /** Stock that the holder gives up, as its share of the burst was reduced. */
  readonly returned: number
  readonly refunds: readonly UnitRefund[]
}

/** A report of one incarnation of an instance to the allocator of a shard of accounts. */
export interface ShareReport {
  readonly holder: string
  /** Increases with each report of the holder, to any allocator. */
  readonly number: number
  readonly accounts: readonly AccountReport[]
}

/** The allocator's answer about one account. */
export interface AccountGrant {
  readonly account: AccountName
  readonly share: ShareParts
  /** Whether the share is granted only because the holder has reported it, so that it has no effect if that has expired since. */
  readonly isRenewal: boolean
  /** Units for the waiting requests and the stock. */
  readonly units: number
  /** See {@link TakenUnits}. */
  readonly overflowsAt: number
  /** Time until the allocator has the units of the first waiting request; 0 if it has granted them. */
  readonly retryAfterMs: Millis
}

/** The answer to a report. */
export interface ShareReply {
  readonly number: number
  readonly token: number
  readonly grants: readonly AccountGrant[]
}
