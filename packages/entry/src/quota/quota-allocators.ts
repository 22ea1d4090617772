import type { OwnedEndpoint } from "@galenaway/coordination"
import type {
  AccountName,
  ClientAccount,
  Clock,
  DataCentre,
  EndpointId,
  Millis,
} from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import {
  type AllocatedQuota,
  computeLimits,
  type QuotaBounds,
  type QuotaLimits,
  type QuotaShard,
  ShareAllocator,
  type ShardReport,
  type ShareTimes,
} from "@galenaway/policy"
import type { ShardReply } from "./messages.js"
import { formatShardId, hasQuotas, listShards } from "./shards.js"

/** The dependencies of {@link QuotaAllocators}. */
export interface QuotaAllocatorsDependencies {
  readonly clock: Clock
  readonly log: Log
  readonly bounds: QuotaBounds
  readonly times: ShareTimes
  /** Returns the accounts in force, the same array until they change. */
  listAccounts(): readonly ClientAccount[]
  /** Lists the data centres of the endpoints. */
  listDataCentres(): Iterable<DataCentre>
  /** Returns the fencing token of a shard; undefined if this instance may not allocate it now. */
  getToken(shard: EndpointId): number | undefined
  /** Returns the time from which this instance may allocate a shard that it owns. */
  getActiveFrom(shard: EndpointId): Millis
}

/** The allocators of the shards of accounts that this instance owns. */
export class QuotaAllocators {
  private readonly allocators = new Map<QuotaShard, ShareAllocator>()
  private accounts: readonly ClientAccount[] = []
  private limits: ReadonlyMap<AccountName, QuotaLimits> = new Map()
  private hadQuotas = false

  constructor(private readonly deps: QuotaAllocatorsDependencies) {}

  /** Lists the shards that need an owner: none before an account has a quota. Shards that this process may own stay listed, so that it can hand them over. */
  listShards(): readonly OwnedEndpoint[] {
    this.hadQuotas ||= hasQuotas(this.deps.listAccounts())
    return this.hadQuotas ? listShards(this.deps.listDataCentres()) : []
  }

  /** Handles the report of an instance. */
  handle({ shard, report }: ShardReport): ShardReply {
    const token = this.deps.getToken(formatShardId(shard))
    if (token === undefined) return { shard, reply: undefined }
    const now = this.deps.clock.now()
    return { shard, reply: this.getAllocator(shard, token, now).handle(report, now) }
  }

  /** Lists the state of the accounts with recent use whose quotas this instance allocates. */
  list(): readonly AllocatedQuota[] {
    const now = this.deps.clock.now()
    return [...this.allocators].flatMap(([shard, allocator]) =>
      this.deps.getToken(formatShardId(shard)) === allocator.token ? allocator.list(now) : [],
    )
  }

  private getAllocator(shard: QuotaShard, token: number, now: Millis): ShareAllocator {
    const known = this.allocators.get(shard)
    if (known?.token === token) return known
    // What an allocator of this process has granted is as unknown to the next one as another instance's.
    const startedAt = known ? now : this.deps.getActiveFrom(formatShardId(shard))
    const allocator = new ShareAllocator({
      token,
      startedAt,
      times: this.deps.times,
      findLimits: (account) => this.findLimits(account),
    })
    this.allocators.set(shard, allocator)
    const settledInMs = Math.round(Math.max(0, startedAt + this.deps.times.validMs - now))
    this.deps.log.info({ shard, token, settledInMs }, "quota allocator started")
    return allocator
  }

  private findLimits(account: AccountName): QuotaLimits | undefined {
    const accounts = this.deps.listAccounts()
    if (accounts !== this.accounts) {
      this.accounts = accounts
      this.limits = new Map(
        accounts.flatMap(({ name, quota }) =>
          quota ? [[name, computeLimits(quota, this.deps.bounds)]] : [],
        ),
      )
    }
    return this.limits.get(account)
  }
}
