import type { OwnedEndpoint } from "@galenaway/coordination"
import type { ClientAccount, DataCentre, EndpointId } from "@galenaway/core"
import { QUOTA_SHARD_COUNT, type QuotaShard } from "@galenaway/policy"

/** The id under which a shard of accounts is owned, like an engine. No endpoint's id contains a slash. */
export function formatShardId(shard: QuotaShard): EndpointId {
  return `quota/${shard}`
}

/** Returns whether any account has a quota, so that its shard needs an allocator. */
export function hasQuotas(accounts: readonly ClientAccount[]): boolean {
  return accounts.some(({ quota }) => quota !== undefined)
}

/** Lists all shards, spread over the data centres of the endpoints, so that the owners of engines allocate them. */
export function listShards(dataCentres: Iterable<DataCentre>): readonly OwnedEndpoint[] {
  const sorted = [...new Set(dataCentres)].sort()
  return Array.from({ length: QUOTA_SHARD_COUNT }, (_, shard) => ({
    id: formatShardId(shard),
    dataCentre: sorted[shard % sorted.length] ?? "",
  }))
}
