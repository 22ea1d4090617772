import type { AccountQuota, Millis } from "@galenaway/core"

/** By how much the use of a quota may exceed it in any window. */
export interface QuotaBounds {
  readonly windowMs: Millis
  /** Share of the quota. */
  readonly excess: number
  /** Tokens in addition to the share. */
  readonly slack: number
}

/** What all instances together may use of an account: a rate and a burst. */
export interface QuotaLimits {
  readonly ratePerMs: number
  readonly burst: number
}

/** The times of shares. */
export interface ShareTimes {
  /** How long a share is valid, counted from when its holder sent the report that it answers. */
  readonly validMs: Millis
  /** Longest wait of a request for the reply to a report. Units that arrive later are only stock. */
  readonly replyTimeoutMs: Millis
}

const MS_PER_S = 1000
/** Part of the excess and the slack that is allocated. The rest covers the time between the sending of a request and the decision. */
const PLANNED_PART = 0.5
/** Part of the excess that covers units on their way from the allocator to a waiting request. */
const IN_FLIGHT_PART = 0.25
const MAX_REPLY_TIMEOUT_MS = 200
const MIN_REPLY_TIMEOUT_MS = 20
/** A share outlasts its allocator: the expiry of the allocator's registration, the wait of its successor, and a report. */
const VALID_LEASES = 3

/** Computes what is allocated of a quota. It includes a part of the allowance, so that shares which are stuck at a lost instance don't reduce the quota. */
export function computeLimits(quota: AccountQuota, bounds: QuotaBounds): QuotaLimits {
  const factor = 1 + PLANNED_PART * bounds.excess
  return {
    ratePerMs: (factor * quota.ratePerS) / MS_PER_S,
    burst: factor * quota.burst + getPlannedSlack(quota, bounds),
  }
}

/** The slack is a number of tokens, so it says nothing about quotas of requests. */
function getPlannedSlack({ unit }: AccountQuota, { slack }: QuotaBounds): number {
  switch (unit) {
    case "tokens":
      return PLANNED_PART * slack
    case "requests":
      return 0
  }
}

/** Computes the times of shares for the lease of ownership. */
export function computeShareTimes(leaseMs: Millis, bounds: QuotaBounds): ShareTimes {
  const inFlightMs = IN_FLIGHT_PART * bounds.excess * bounds.windowMs
  return {
    validMs: VALID_LEASES * leaseMs,
    replyTimeoutMs: Math.min(MAX_REPLY_TIMEOUT_MS, Math.max(MIN_REPLY_TIMEOUT_MS, inFlightMs)),
  }
}
