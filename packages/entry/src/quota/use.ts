import type { AccountName } from "@galenaway/core"
import type { AllocatedQuota } from "@galenaway/policy"

const MS_PER_S = 1000

/** The share of a quota that an instance holds. */
export interface HeldShare {
  /** Units per second that requests at the instance ask for, whether they are granted or refused. */
  readonly demandPerS: number
  /** Part of the quota's rate. */
  readonly rate: number
  /** Part of the quota's burst. */
  readonly burst: number
}

/** The state of a quota at the instance that allocates it. */
export interface Allocation {
  /** Units per second that requests at all instances ask for. */
  readonly demandPerS: number
  /** Number of instances with recent requests. */
  readonly holders: number
  /** Units that can be granted at once. */
  readonly units: number
}

/** What an instance can tell operators about the use of a quota. */
export interface QuotaUse {
  /** Absent if the account has had no recent request at this instance. */
  readonly held?: HeldShare
  /** Present at the instance that allocates the quota, if it has been used recently. */
  readonly allocation?: Allocation
}

interface QuotaUseSource {
  readonly gate: { findUse(account: AccountName): HeldShare | undefined }
  readonly allocators: { list(): readonly AllocatedQuota[] }
}

/** Creates a function that describes the use of an account's quota. Call it for one list of accounts only. */
export function createUseLookup({
  gate,
  allocators,
}: QuotaUseSource): (account: AccountName) => QuotaUse {
  const allocated = new Map(allocators.list().map((each) => [each.account, each]))
  return (account) => {
    const held = gate.findUse(account)
    const quota = allocated.get(account)
    return { ...(held && { held }), ...(quota && { allocation: describeAllocation(quota) }) }
  }
}

function describeAllocation({ demandPerMs, holders, units }: AllocatedQuota): Allocation {
  return { demandPerS: demandPerMs * MS_PER_S, holders, units }
}
