import type {
  AccountGrant,
  AccountReport,
  QuotaShard,
  ShareParts,
  ShareReply,
  ShareReport,
  ShardReport,
} from "@galenaway/policy"
import { NO_SHARE } from "@galenaway/policy"
import type { AccountUse, QuotaGrant, QuotaReply, QuotaReport } from "../generated/fleet.js"

/** The reply to a report about a shard; undefined if the callee may not allocate it. */
export interface ShardReply {
  readonly shard: QuotaShard
  readonly reply: ShareReply | undefined
}

/** Formats a report for the allocator of its shard. */
export function formatQuotaReport({ shard, report }: ShardReport): QuotaReport {
  const { holder, number, accounts } = report
  return { shard, holder, number, accounts: accounts.map(formatAccount) }
}

/** Parses a report of a peer. Numbers that can't be are treated as 0. */
export function parseQuotaReport({ shard, holder, number, accounts }: QuotaReport): ShardReport {
  const report: ShareReport = { holder, number, accounts: accounts.map(parseAccount) }
  return { shard, report }
}

/** Formats the reply to a report. */
export function formatQuotaReply({ shard, reply }: ShardReply): QuotaReply {
  if (!reply) return { shard, number: 0, isUnavailable: true, token: 0, grants: [] }
  const { number, token, grants } = reply
  return { shard, number, isUnavailable: false, token, grants: grants.map(formatGrant) }
}

/** Parses the reply of a peer. */
export function parseQuotaReply(message: QuotaReply): ShardReply {
  const { shard, number, isUnavailable, token, grants } = message
  const reply: ShareReply = { number, token, grants: grants.map(parseGrant) }
  return { shard, reply: isUnavailable ? undefined : reply }
}

function formatAccount({ share, refunds, ...report }: AccountReport): AccountUse {
  return { ...report, share: { ...share }, refunds: refunds.map((refund) => ({ ...refund })) }
}

function parseAccount({ share, refunds, ...use }: AccountUse): AccountReport {
  return {
    account: use.account,
    share: parseParts(share),
    token: use.token,
    appliedNumber: use.appliedNumber,
    demandPerMs: parseUnits(use.demandPerMs),
    meanCost: parseUnits(use.meanCost),
    requested: parseUnits(use.requested),
    firstRequested: parseUnits(use.firstRequested),
    returned: parseUnits(use.returned),
    refunds: refunds.map(({ units, overflowsAt, token }) => ({
      units: parseUnits(units),
      overflowsAt,
      token,
    })),
  }
}

function formatGrant({ share, ...grant }: AccountGrant): QuotaGrant {
  return { ...grant, share: { ...share } }
}

function parseGrant(grant: QuotaGrant): AccountGrant {
  const { account, share, isRenewal, units, overflowsAt, retryAfterMs } = grant
  return {
    account,
    share: parseParts(share),
    isRenewal,
    units: parseUnits(units),
    overflowsAt,
    retryAfterMs: Math.max(0, retryAfterMs),
  }
}

function parseParts(share: ShareParts | undefined): ShareParts {
  return share ? { rate: parseUnits(share.rate), burst: parseUnits(share.burst) } : NO_SHARE
}

function parseUnits(value: number): number {
  return Number.isFinite(value) && value > 0 ? value : 0
}
