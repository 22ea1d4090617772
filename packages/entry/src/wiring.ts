import type { DependencyContainer } from "tsyringe"
import type {
  EndpointId,
  EngineClient,
  HeaderCodec,
  Millis,
  Registration,
  ServiceName,
  StoreItem,
} from "@galenaway/core"
import { computeGuardLimits, IngressGuard } from "@galenaway/ingress"
import {
  EndpointHealth,
  PaceTable,
  Popularity,
  Residency,
  RetryLimiter,
  VersionTable,
} from "@galenaway/routing"
import {
  ConfigurationWatcher,
  EndpointDirectory,
  OperatorCatalogue,
  ReadFreshness,
} from "./catalogue/index.js"
import { formatPartItem, Ownership } from "./fleet/index.js"
import { EndpointPools, type ForwardContext } from "./forward/index.js"
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
import { RequestLog } from "./request-log.js"
import type { EntrySettings } from "./settings.js"
import { StopSchedule } from "./stop-schedule.js"
import { ENTRY_TOKENS } from "./tokens.js"

/** Share of an endpoint's connection limit that all instances together may use. */
const CONNECTION_SHARE = 0.9
const MS_PER_S = 1000
/** Longest pause between two events of a stream where no route has such an objective. */
const DEFAULT_PAUSE_MS = 500

/** Creates the owner of this instance's engines. Their holdings are written to the residency table and published to peers. */
export function createOwner(c: DependencyContainer, engineClient: EngineClient): Owner {
  const residency = c.resolve(Residency)
  const clock = c.resolve(ENTRY_TOKENS.clock)
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
    getPace: (service) => buildPace(c, service),
    orderTimeoutMs: c.resolve(ENTRY_TOKENS.times).orderTimeoutMs,
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

function buildPace(c: DependencyContainer, service: ServiceName): GatePace {
  const pace = c.resolve(PaceTable).get(service)
  const pauseMs = c.resolve(OperatorCatalogue).routes?.getPauseMs(service) ?? DEFAULT_PAUSE_MS
  return {
    tokensPerMs: pace.tokensPerMs,
    eventMs: pace.eventMs,
    firstTokenMs: pace.firstTokenMs,
    batchMs: pace.computeBatchMs(pauseMs),
    runMs: pace.runMs,
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
      admit: ({ endpoint, instance, ...options }, signal) =>
        owner.admit(endpoint, instance, options, signal),
      load: ({ endpoint, adapter, version, ...options }) =>
        owner.load(endpoint, adapter, version > 0 ? version : undefined, options),
      onUpdate: (update) => {
        const { instance, configurationVersion, uses, ends, soundParts, partStates } = update
        c.resolve(PartGuard).onReport({ ends, soundParts, states: partStates })
        c.resolve(LeavingReports).onReport(instance, update.leaving)
        void c.resolve(ConfigurationWatcher).onPeerVersion(configurationVersion, instance)
        for (const { endpoint, adapters, running } of uses) {
          owner.onRunning(endpoint, instance, running)
          for (const { adapter, inFlight } of adapters)
            owner.onUse(endpoint, adapter, instance, inFlight)
        }
      },
      listSnapshots: () => owner.listSnapshots(),
      listPartStates: () => c.resolve(PartGuard).listStates(),
      listLeaving: () => c.resolve(LeavingReports).listRecent(),
      listSuspects: () => c.resolve(PartGuard).listSuspects(),
      listItems: () => listItems(c),
      getStoreNews: () => buildStoreNews(c),
      getConfigurationVersion: () => catalogue.version,
      getOwnerReport: () => c.resolve(Ownership).getOwnerReport(),
      onFollowerGone: (instance) => {
        owner.removeHolder(instance)
      },
    },
    c.resolve(ENTRY_TOKENS.clock),
    c.resolve(ENTRY_TOKENS.log),
  )
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
    clock,
    log: c.resolve(ENTRY_TOKENS.log),
    handlers: {
      getConfigurationVersion: () => c.resolve(OperatorCatalogue).version,
      listPartStates: () => c.resolve(PartGuard).listStates(),
      onUpdate: (peer, update) => {
        const { configurationVersion, engines, changes, dropped, suspects, partStates } = update
        c.resolve(PartGuard).onPublished(peer, suspects, partStates)
        c.resolve(LeavingReports).onPublished(peer, update.leaving)
        handleStoreNews(c, update)
        void c.resolve(ConfigurationWatcher).onPeerVersion(configurationVersion, peer)
        const endpoints = endpointsByPeer.get(peer) ?? new Set<string>()
        endpointsByPeer.set(peer, endpoints)
        for (const endpoint of dropped) endpoints.delete(endpoint)
        for (const endpoint of endpoints) residency.confirm(endpoint, clock.now())
        for (const { endpoint, models, adapters } of engines) {
          endpoints.add(endpoint)
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
  const countInstances = () => Math.max(1, ownership.instances.size)
  return {
    localDataCentre: settings.dataCentre,
    catalogue,
    directory,
    headerCodec,
    ingress: c.resolve(IngressGuard),
    pools: c.resolve(EndpointPools),
    health,
    paces: c.resolve(PaceTable),
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
      canLoad: (endpoint) => links.canLoad(endpoint),
    }),
    stop: c.resolve(StopSchedule),
    computeConnectionLimit: ({ service }: Registration) => {
      const limit = catalogue.routes?.configuration.services.get(service)?.maxConnections ?? 0
      return Math.floor((CONNECTION_SHARE * limit) / countInstances())
    },
  }
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
