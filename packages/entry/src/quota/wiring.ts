import type { DependencyContainer } from "tsyringe"
import { OrderAuthority, SuspensionDetector } from "@galenaway/coordination"
import type { Clock } from "@galenaway/core"
import { computeShareTimes, type QuotaBounds } from "@galenaway/policy"
import { Authorizer } from "../accounts/index.js"
import { EndpointDirectory } from "../catalogue/index.js"
import { Ownership } from "../fleet/index.js"
import { PeerLinks } from "../links/index.js"
import type { EntrySettings } from "../settings.js"
import { ENTRY_TOKENS } from "../tokens.js"
import { formatQuotaReport } from "./messages.js"
import { QuotaAllocators } from "./quota-allocators.js"
import { QuotaGate } from "./quota-gate.js"
import { formatShardId } from "./shards.js"

const MS_PER_S = 1000

/** Creates the allocators of the shards that this instance owns. */
export function createQuotaAllocators(c: DependencyContainer): QuotaAllocators {
  const settings = c.resolve(ENTRY_TOKENS.settings)
  const bounds = buildBounds(settings)
  return new QuotaAllocators({
    clock: c.resolve(ENTRY_TOKENS.clock),
    log: c.resolve(ENTRY_TOKENS.log),
    bounds,
    times: computeShareTimes(settings.leaseMs, bounds),
    listAccounts: () => c.resolve(Authorizer).listAccounts(),
    listDataCentres: () =>
      c
        .resolve(EndpointDirectory)
        .listAll()
        .map(({ dataCentre }) => dataCentre),
    getToken: (shard) => c.resolve(Ownership).getToken(shard),
    getActiveFrom: (shard) => c.resolve(OrderAuthority).getActiveFrom(shard),
  })
}

/** Creates the gate that decides which requests are within their accounts' quotas. */
export function createQuotaGate(c: DependencyContainer): QuotaGate {
  const settings = c.resolve(ENTRY_TOKENS.settings)
  const self = c.resolve(ENTRY_TOKENS.self)
  const bounds = buildBounds(settings)
  const clock = c.resolve(ENTRY_TOKENS.clock)
  const gate: QuotaGate = new QuotaGate({
    incarnation: self.incarnation,
    bounds,
    times: computeShareTimes(settings.leaseMs, bounds),
    suspension: createDetector(clock),
    clock,
    metrics: c.resolve(ENTRY_TOKENS.metrics),
    log: c.resolve(ENTRY_TOKENS.log),
    findAllocator: (shard) => {
      const owner = c.resolve(Ownership).findOwner(formatShardId(shard))
      if (!owner || (owner.id !== self.id && !c.resolve(PeerLinks).isAlive(owner.id)))
        return undefined
      return { instance: owner.id, incarnation: owner.incarnation }
    },
    send: ({ instance }, report) => {
      if (instance === self.id) gate.onReply(c.resolve(QuotaAllocators).handle(report))
      else c.resolve(PeerLinks).sendQuotaReport(instance, formatQuotaReport(report))
    },
    countInstances: () => c.resolve(Ownership).instances.size,
  })
  return gate
}

/** Detects only that the monotonic clock has stood still: during any other pause it shows when a share expires. */
function createDetector(clock: Clock): SuspensionDetector {
  return new SuspensionDetector(clock, Infinity)
}

function buildBounds({ quotaWindowS, quotaExcess, quotaSlack }: EntrySettings): QuotaBounds {
  return { windowMs: quotaWindowS * MS_PER_S, excess: quotaExcess, slack: quotaSlack }
}
