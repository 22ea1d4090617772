import type { DependencyContainer } from "tsyringe"
import type {
  AccountName,
  EndpointId,
  EngineClient,
  HeaderCodec,
  InstanceId,
  Millis,
  Registration,
  ServiceName,
  StoreItem,
} from "@galenaway/core"
import { computeGuardLimits, IngressGuard } from "@galenaway/ingress"
import {
  CostEstimator,
  EndpointHealth,
  PaceTable,
  PlacementCostTable,
  Popularity,
  Residency,
  RetryLimiter,
  type SpeedSample,
  VersionTable,
} from "@galenaway/routing"
import { AccountUsage, AccountWeights, Authorizer } from "./accounts/index.js"
import {
  ConfigurationWatcher,
  EndpointDirectory,
  OperatorCatalogue,
  ReadFreshness,
} from "./catalogue/index.js"
import { formatPartItem, Ownership } from "./fleet/index.js"
import { EndpointPools, type ForwardContext } from "./forward/index.js"
import { InstanceMonitor, ServiceOverflow, SlowInstances } from "./load/index.js"
import {
  PeerLinks,
  LeavingReports,
  LinkServer,
  AdapterUseTable,
  NO_STORE_NEWS,
  type StoreNews,
} from "./links/index.js"
import { type GatePace, Owner } from "./owner/index.js"
import { hasEnded, PartGuard, PartStore } from "./quarantine/index.js"
import {
  formatQuotaReply,
  parseQuotaReply,
  parseQuotaReport,
  QuotaAllocators,
  QuotaGate,
} from "./quota/index.js"
import { RequestLog } from "./request-log.js"
import type { EntrySettings } from "./settings.js"
import { StopSchedule } from "./stop-schedule.js"
import { ENTRY_TOKENS } from "./tokens.js"

/** Share of an endpoint's connection limit that all instances together may use. */
const CONNECTION_SHARE = 0.9
const MS_PER_S = 1000
const PERCENT = 100
const MICROS_PER_MS = 1000
/** Longest pause between two events of a stream where no route has such an objective. */
const DEFAULT_PAUSE_MS = 500

/** Creates the owner of this instance's engines. Their holdings are written to the residency table and published to peers. */
export function createOwner(c: DependencyContainer, engineClient: EngineClient): Owner {
  const residency = c.resolve(Residency)
  const clock = c.resolve(ENTRY_TOKENS.clock)
  const weights = c.resolve(AccountWeights)
  return new Owner({
    self: c.resolve(ENTRY_TOKENS.self).id,
    ownership: c.resolve(Ownership),
    directory: c.resolve(EndpointDirectory),
    catalogue: c.resolve(OperatorCatalogue),
    versions: c.resolve(VersionTable),
    engineClient,
    clock,
    log: c.resolve(ENTRY_TOKENS.log),
    metrics: c.resolve(ENTRY_TOKENS.metrics),
    getPace: (engine) => buildPace(c, engine),
    getWeight: (account) => weights.get(account),
    orderTimeoutMs: c.resolve(ENTRY_TOKENS.times).orderTimeoutMs,
    getSlowdown: (endpoint) => c.resolve(EndpointHealth).speeds.getSlowdown(endpoint),
    getPause: (endpoint) => c.resolve(EndpointHealth).getPause(endpoint, clock.now()),
    onPause: (endpoint, ms) => {
      recordPause(c, endpoint, ms)
    },
    // The monotonic clock starts at 0 with the process.
    startedAt: 0,
    onEngineChanged: (snapshot) => {
      const { endpoint, models, adapters } = snapshot
      residency.update(endpoint, "owner", models, adapters, clock.now())
      c.resolve(LinkServer).publish(snapshot)
    },
    onEngineLost: (endpoint) => {
      c.resolve(LinkServer).publishLost(endpoint)
    },
  })
}

/** Records that an endpoint wants neither requests nor orders from this instance for a time. */
function recordPause(c: DependencyContainer, endpoint: EndpointId, ms: Millis): void {
  const now = c.resolve(ENTRY_TOKENS.clock).now()
  if (c.resolve(EndpointHealth).onPause(endpoint, ms, now))
    c.resolve(ENTRY_TOKENS.log).info({ endpoint, ms }, "endpoint asks for a pause")
}

/** Builds the pace of an engine from that of its service and from what the engine reports. */
function buildPace(c: DependencyContainer, { id, service }: Registration): GatePace {
  const pace = c.resolve(PaceTable).get(service)
  const pauseMs = c.resolve(OperatorCatalogue).routes?.getPauseMs(service) ?? DEFAULT_PAUSE_MS
  const { speeds, times } = c.resolve(EndpointHealth)
  const now = c.resolve(ENTRY_TOKENS.clock).now()
  const slowdown = speeds.getSlowdown(id) * pace.computeSlowdown(times.estimatePace(id, now))
  return {
    tokensPerMs: pace.tokensPerMs / slowdown,
    eventMs: pace.eventMs * slowdown,
    firstTokenMs: pace.firstTokenMs * slowdown,
    batchMs: pace.computeBatchMs(pauseMs),
    runMs: pace.runMs * slowdown,
    reportIntervalMs: c.resolve(PeerLinks).reportIntervalMs,
  }
}

/** Creates the guard of the callers' interface. */
export function createIngressGuard(c: DependencyContainer): IngressGuard {
  const { memoryMb, maxFds } = c.resolve(ENTRY_TOKENS.settings)
  const metrics = c.resolve(ENTRY_TOKENS.metrics)
  const log = c.resolve(RequestLog)
  return new IngressGuard(computeGuardLimits({ memoryMb, maxDescriptors: maxFds }), {
    onClose: (reason) => {
      metrics.count("caller-closes")
      log.write({ reason }, "caller connection closed")
    },
    onRefusedBody: (reason) => {
      metrics.count("body-refusals")
      log.write({ reason }, "body not read")
    },
    onCutAnswer: () => {
      metrics.count("unread-answers")
      log.write({}, "answer cut that its caller does not read")
    },
    onTick: (connections, heldBytes) => {
      metrics.setGauge("caller-connections", connections)
      metrics.setGauge("held-bytes", heldBytes)
    },
  })
}

/** Creates the server that peers connect to. */
export function createLinkServer(c: DependencyContainer): LinkServer {
  const owner = c.resolve(Owner)
  const catalogue = c.resolve(OperatorCatalogue)
  return new LinkServer(
    {
      admit: ({ endpoint, instance, account, ...options }, signal) =>
        owner.admit(endpoint, instance, { ...options, ...decodeAccount(account) }, signal),
      load: ({ endpoint, adapter, version, account, ...options }) =>
        owner.load(endpoint, adapter, version > 0 ? version : undefined, {
          ...options,
          ...decodeAccount(account),
        }),
      onUpdate: (update) => {
        const { instance, configurationVersion, uses, ends, soundParts, partStates } = update
        c.resolve(PartGuard).onReport({ ends, soundParts, states: partStates })
        c.resolve(LeavingReports).onReport(instance, update.leaving)
        c.resolve(SlowInstances).onReport(instance, update.isSlow)
        void c.resolve(ConfigurationWatcher).onPeerVersion(configurationVersion, instance)
        for (const use of uses) {
          const { endpoint, adapters, running, pacePercent, paceAgeMs } = use
          if (pacePercent > 0) onPeerPace(c, endpoint, pacePercent, paceAgeMs)
          const { slowdownPercent, slowdownCount: count } = use
          if (count > 0) onSpeedSample(c, endpoint, { slowdown: slowdownPercent / PERCENT, count })
          owner.onRunning(endpoint, instance, running)
          for (const { adapter, inFlight } of adapters)
            owner.onUse(endpoint, adapter, instance, inFlight)
        }
      },
      allocate: (report) =>
        formatQuotaReply(c.resolve(QuotaAllocators).handle(parseQuotaReport(report))),
      listSnapshots: () => owner.listSnapshots(),
      listPartStates: () => c.resolve(PartGuard).listStates(),
      listLeaving: () => c.resolve(LeavingReports).listRecent(),
      listSuspects: () => c.resolve(PartGuard).listSuspects(),
      listSlow: () => listSlow(c),
      listItems: () => listItems(c),
      getStoreNews: () => buildStoreNews(c),
      getConfigurationVersion: () => catalogue.version,
      getOwnerReport: () => c.resolve(Ownership).getOwnerReport(),
      onFollowerGone: (instance) => {
        owner.removeHolder(instance)
        c.resolve(SlowInstances).removeFollower(instance)
      },
    },
    c.resolve(ENTRY_TOKENS.clock),
    c.resolve(ENTRY_TOKENS.log),
  )
}

/** Merges what an instance has seen of the speed of an owned engine, and publishes a changed result. */
function onSpeedSample(c: DependencyContainer, endpoint: EndpointId, sample: SpeedSample): void {
  const { speeds } = c.resolve(EndpointHealth)
  const owner = c.resolve(Owner)
  if (!owner.hasEngine(endpoint) || !speeds.onSample(endpoint, sample)) return
  const slowdown = speeds.getLearned(endpoint)
  speeds.onPublished(endpoint, slowdown)
  c.resolve(ENTRY_TOKENS.log).info({ endpoint, slowdown }, "speed of an engine has changed")
  owner.publish(endpoint)
}

/** Records the pace that an engine reported to another instance. */
function onPeerPace(
  c: DependencyContainer,
  endpoint: EndpointId,
  pacePercent: number,
  ageMs: Millis,
): void {
  const at = c.resolve(ENTRY_TOKENS.clock).now() - ageMs
  c.resolve(EndpointHealth).times.onPace(endpoint, pacePercent, at)
}

/** Decodes the account of a message, which is empty if the request has none. */
function decodeAccount(account: string): { readonly account?: AccountName } {
  return account === "" ? {} : { account }
}

/** Lists the followers that delay their answers, and this instance if it does. */
function listSlow(c: DependencyContainer): readonly InstanceId[] {
  const isSlow = c.resolve(ENTRY_TOKENS.monitor)?.isSlow ?? false
  const followers = c.resolve(SlowInstances).listFollowers()
  return isSlow ? [...followers, c.resolve(ENTRY_TOKENS.self).id] : followers
}

/** Creates the monitor of this instance's own delay; undefined if the settings don't state its processor. */
export function createInstanceMonitor(
  c: DependencyContainer,
  { cores, cpuShare }: EntrySettings,
): InstanceMonitor | undefined {
  if (cores === 0) return undefined
  const { id, dataCentre } = c.resolve(ENTRY_TOKENS.self)
  return new InstanceMonitor({
    self: id,
    slowInstances: c.resolve(SlowInstances),
    clock: c.resolve(ENTRY_TOKENS.clock),
    log: c.resolve(ENTRY_TOKENS.log),
    metrics: c.resolve(ENTRY_TOKENS.metrics),
    cores: cores * cpuShare,
    readProcessorMs,
    listMembers: () =>
      [...c.resolve(Ownership).instances.values()]
        .filter((instance) => instance.dataCentre === dataCentre && !instance.isStopping)
        .map((instance) => instance.id),
    findShortestObjective: () => c.resolve(OperatorCatalogue).routes?.shortestObjectiveMs,
    notifyPeers: () => {
      c.resolve(PeerLinks).sendSlowness()
    },
  })
}

function readProcessorMs(): Millis {
  const { user, system } = process.cpuUsage()
  return (user + system) / MICROS_PER_MS
}

/** Lists the items of the store that an instance needs to start while the store can't be reached. */
function listItems(c: DependencyContainer): readonly StoreItem[] {
  return [
    ...c.resolve(OperatorCatalogue).listItems(),
    ...c.resolve(EndpointDirectory).listItems(),
    ...c.resolve(PartGuard).listStates().map(formatPartItem),
  ]
}

/** Creates the guard that keeps prompt parts which end engines away from them. */
export function createPartGuard(c: DependencyContainer): PartGuard {
  return new PartGuard({
    clock: c.resolve(ENTRY_TOKENS.clock),
    log: c.resolve(ENTRY_TOKENS.log),
    metrics: c.resolve(ENTRY_TOKENS.metrics),
    hasEnded,
    sendReport: (report) => {
      c.resolve(PeerLinks).sendReport(report)
    },
    publish: (states) => {
      c.resolve(LinkServer).publishParts(states)
    },
    store: (state) => {
      c.resolve(PartStore).write(state)
    },
    isTester: () => c.resolve(PeerLinks).isFirstCollector(),
  })
}

/** Creates the reports by which instances send each other the endpoints that are leaving. */
export function createLeavingReports(c: DependencyContainer): LeavingReports {
  return new LeavingReports({
    directory: c.resolve(EndpointDirectory),
    log: c.resolve(ENTRY_TOKENS.log),
    send: (leaving) => {
      c.resolve(PeerLinks).sendLeaving(leaving)
    },
    publish: (leaving) => {
      c.resolve(LinkServer).publishLeaving(leaving)
    },
    isCollector: () => c.resolve(PeerLinks).isCollector(),
  })
}

/** Creates the links to peers. Their updates are written to the residency table. */
export function createLinks(c: DependencyContainer): PeerLinks {
  const residency = c.resolve(Residency)
  const clock = c.resolve(ENTRY_TOKENS.clock)
  const endpointsByPeer = new Map<string, Set<string>>()
  return new PeerLinks({
    self: c.resolve(ENTRY_TOKENS.self).id,
    ownership: c.resolve(Ownership),
    owner: c.resolve(Owner),
    uses: c.resolve(AdapterUseTable),
    countRunning: (endpoint) => c.resolve(EndpointHealth).countInFlight(endpoint),
    takeSpeedSample: (endpoint) => c.resolve(EndpointHealth).speeds.takeSample(endpoint),
    onOwnSpeedSample: (endpoint, sample) => {
      onSpeedSample(c, endpoint, sample)
    },
    getLastPace: (endpoint) => c.resolve(EndpointHealth).times.getLastPace(endpoint),
    clock,
    log: c.resolve(ENTRY_TOKENS.log),
    handlers: {
      onQuotaReply: (reply) => {
        c.resolve(QuotaGate).onReply(parseQuotaReply(reply))
      },
      getConfigurationVersion: () => c.resolve(OperatorCatalogue).version,
      isSlow: () => c.resolve(ENTRY_TOKENS.monitor)?.isSlow ?? false,
      listPartStates: () => c.resolve(PartGuard).listStates(),
      onUpdate: (peer, update) => {
        const { configurationVersion, engines, changes, dropped, suspects, partStates } = update
        c.resolve(PartGuard).onPublished(peer, suspects, partStates)
        c.resolve(LeavingReports).onPublished(peer, update.leaving)
        c.resolve(SlowInstances).onPublished(peer, update.slowInstances, clock.now())
        handleStoreNews(c, update)
        void c.resolve(ConfigurationWatcher).onPeerVersion(configurationVersion, peer)
        const endpoints = endpointsByPeer.get(peer) ?? new Set<string>()
        endpointsByPeer.set(peer, endpoints)
        for (const endpoint of dropped) endpoints.delete(endpoint)
        for (const endpoint of endpoints) residency.confirm(endpoint, clock.now())
        for (const { endpoint, models, adapters, slowdownPercent } of engines) {
          endpoints.add(endpoint)
          if (slowdownPercent > 0)
            c.resolve(EndpointHealth).speeds.onPublished(endpoint, slowdownPercent / PERCENT)
          residency.update(endpoint, "owner", models, adapters, clock.now())
        }
        for (const { endpoint, loaded, evicted } of changes)
          residency.change(endpoint, loaded, evicted, clock.now())
      },
    },
  })
}

/** Builds what this instance knows of the store for its followers. The news of a few instances are enough for all. */
function buildStoreNews(c: DependencyContainer): StoreNews {
  if (!c.resolve(PeerLinks).isCollector()) return NO_STORE_NEWS
  const now = c.resolve(ENTRY_TOKENS.clock).now()
  const stated = c.resolve(ReadFreshness).newest
  const watched = c.resolve(ConfigurationWatcher).state
  return {
    store: stated && { revision: stated.revision, ageMs: now - stated.at },
    catalogue: watched && {
      revision: watched.revision,
      lastChange: watched.lastChange,
      ageMs: now - watched.at,
    },
  }
}

/** Handles what a peer knows of the store. */
function handleStoreNews(c: DependencyContainer, { store, catalogue }: StoreNews): void {
  const now = c.resolve(ENTRY_TOKENS.clock).now()
  if (store) c.resolve(ReadFreshness).onStated({ revision: store.revision, at: now - store.ageMs })
  if (!catalogue) return
  const { revision, lastChange, ageMs } = catalogue
  c.resolve(ConfigurationWatcher).onPeerState({ revision, lastChange, at: now - ageMs })
}

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
