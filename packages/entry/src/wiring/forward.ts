import type { DependencyContainer } from "tsyringe"
import type { HeaderCodec, Registration, ServiceName } from "@galenaway/core"
import { IngressGuard } from "@galenaway/ingress"
import {
  CostEstimator,
  EndpointHealth,
  PaceTable,
  PlacementCostTable,
  Popularity,
  Residency,
  RetryLimiter,
  VersionTable,
} from "@galenaway/routing"
import { AccountUsage, Authorizer } from "../accounts/index.js"
import { EndpointDirectory, OperatorCatalogue } from "../catalogue/index.js"
import { Ownership } from "../fleet/index.js"
import { EndpointPools, type ForwardContext } from "../forward/index.js"
import { ServiceOverflow } from "../load/index.js"
import { PeerLinks, LeavingReports, AdapterUseTable } from "../links/index.js"
import { PartGuard } from "../quarantine/index.js"
import { QuotaGate } from "../quota/index.js"
import { RequestLog } from "../request-log.js"
import type { EntrySettings } from "../settings.js"
import { StopSchedule } from "../stop-schedule.js"
import { ENTRY_TOKENS } from "../tokens.js"
import { recordPause } from "./owner.js"

/** Share of an endpoint's connection limit that all instances together may use. */
const CONNECTION_SHARE = 0.9
const MS_PER_S = 1000

/** Creates the context of the modules that forward calls. */
export function createForwardContext(
  c: DependencyContainer,
  settings: EntrySettings,
  headerCodec: HeaderCodec,
): ForwardContext {
  const directory = c.resolve(EndpointDirectory)
  const health = c.resolve(EndpointHealth)
  const residency = c.resolve(Residency)
  const versions = c.resolve(VersionTable)
  const links = c.resolve(PeerLinks)
  const ownership = c.resolve(Ownership)
  const catalogue = c.resolve(OperatorCatalogue)
  const budgets = new Map<ServiceName, RetryLimiter>()
  const overflow = createOverflow(c, settings)
  const countInstances = () => Math.max(1, ownership.instances.size)
  return {
    localDataCentre: settings.dataCentre,
    catalogue,
    directory,
    headerCodec,
    authorizer: c.resolve(Authorizer),
    accountUsage: c.resolve(AccountUsage),
    ingress: c.resolve(IngressGuard),
    pools: c.resolve(EndpointPools),
    health,
    paces: c.resolve(PaceTable),
    costs: c.resolve(CostEstimator),
    placementCosts: c.resolve(PlacementCostTable),
    residency,
    versions,
    popularity: c.resolve(Popularity),
    guard: c.resolve(PartGuard),
    links,
    uses: c.resolve(AdapterUseTable),
    clock: c.resolve(ENTRY_TOKENS.clock),
    metrics: c.resolve(ENTRY_TOKENS.metrics),
    log: c.resolve(RequestLog),
    onPause: (endpoint, ms) => {
      recordPause(c, endpoint, ms)
    },
    onLeaving: (endpoint) => {
      c.resolve(LeavingReports).onAnswer(endpoint)
    },
    getRetryBudget: (service) => getRetryBudget(budgets, service, settings),
    countInstances,
    buildPlacementView: (service) => ({
      engines: directory.listLive(service),
      findEngine: (id) => {
        const engine = directory.find(id)
        return engine?.service === service && engine.phase === "live" ? engine : undefined
      },
      health,
      pace: c.resolve(PaceTable).get(service),
      residency,
      versions,
      popularity: c.resolve(Popularity),
      localDataCentre: settings.dataCentre,
      costs: c.resolve(PlacementCostTable).getCosts(c.resolve(PaceTable).get(service)),
      usesWork: c.resolve(CostEstimator).isInformative(service),
      ...(overflow && {
        getDataCentreCost: (dataCentre) => overflow.getCost(service, dataCentre),
      }),
      canLoad: (endpoint) => links.canLoad(endpoint),
    }),
    quotas: c.resolve(QuotaGate),
    stop: c.resolve(StopSchedule),
    monitor: c.resolve(ENTRY_TOKENS.monitor),
    computeConnectionLimit: ({ service }: Registration) => {
      const limit = catalogue.routes?.configuration.services.get(service)?.maxConnections ?? 0
      return Math.floor((CONNECTION_SHARE * limit) / countInstances())
    },
  }
}

function createOverflow(
  c: DependencyContainer,
  { dataCentre, transferMs }: EntrySettings,
): ServiceOverflow | undefined {
  if (transferMs === 0) return undefined
  const directory = c.resolve(EndpointDirectory)
  const health = c.resolve(EndpointHealth)
  const clock = c.resolve(ENTRY_TOKENS.clock)
  return new ServiceOverflow({
    localDataCentre: dataCentre,
    transferMs,
    clock,
    log: c.resolve(ENTRY_TOKENS.log),
    metrics: c.resolve(ENTRY_TOKENS.metrics),
    listEngines: (service) => directory.listLive(service),
    countRunning: (endpoint) => health.countRunning(endpoint, clock.now()),
  })
}

function getRetryBudget(
  budgets: Map<ServiceName, RetryLimiter>,
  service: ServiceName,
  { retryShare, retryFixed, retryWindowS }: EntrySettings,
): RetryLimiter {
  const existing = budgets.get(service)
  if (existing) return existing
  const limits = { share: retryShare, fixed: retryFixed, windowMs: retryWindowS * MS_PER_S }
  const created = new RetryLimiter(limits)
  budgets.set(service, created)
  return created
}
