import "reflect-metadata"
import { randomUUID } from "node:crypto"
import {
  container as rootContainer,
  type DependencyContainer,
  instanceCachingFactory,
} from "tsyringe"
import type { InjectionToken } from "tsyringe"
import { computeAuthorityTimes, OrderAuthority, SuspensionDetector } from "@galenaway/coordination"
import { systemClock } from "@galenaway/core"
import { IngressGuard } from "@galenaway/ingress"
import { createLog, createMetrics } from "@galenaway/observe"
import {
  CostEstimator,
  EndpointHealth,
  PaceTable,
  PlacementCostTable,
  Popularity,
  Residency,
  VersionTable,
} from "@galenaway/routing"
import { AccountUsage, AccountWeights, Authorizer } from "./accounts/index.js"
import {
  ConfigurationWatcher,
  EndpointDirectory,
  DirectoryPoller,
  OperatorCatalogue,
  ReadFreshness,
} from "./catalogue/index.js"
import { Membership, Ownership } from "./fleet/index.js"
import { EndpointPools, ForwardHandler } from "./forward/index.js"
import {
  AdapterUseTable,
  fetchCatalogue,
  LeavingReports,
  LinkServer,
  PeerLinks,
} from "./links/index.js"
import { SlowInstances } from "./load/index.js"
import { openLogOutput } from "./log-output.js"
import { Owner } from "./owner/index.js"
import { PartGuard, PartStore } from "./quarantine/index.js"
import { QuotaAllocators, QuotaGate } from "./quota/index.js"
import { createQuotaAllocators, createQuotaGate } from "./quota/wiring.js"
import { RequestLog } from "./request-log.js"
import { CallerServer } from "./server.js"
import type { EntrySettings } from "./settings.js"
import { StopSchedule } from "./stop-schedule.js"
import { ENTRY_TOKENS, type EntryPorts } from "./tokens.js"
import {
  createForwardContext,
  createInstanceMonitor,
  createIngressGuard,
  createLeavingReports,
  createLinks,
  createLinkServer,
  createOwner,
  createPartGuard,
} from "./wiring/index.js"

const MS_PER_S = 1000
const MAX_REQUEST_LINES_PER_SECOND = 400
/** A longer gap between two clock readings is classified as a suspension of the process. */
const MAX_CLOCK_GAP_MS = 250
/** Requests start on an older adapter version only during this share of the version limit. */
const VERSION_GRACE_SHARE = 0.5
const POPULARITY_HALF_LIFE_MS = 5000

/** Creates the dependency container of one entry instance. Tests override dependencies in a child container. */
export function createEntryContainer(
  settings: EntrySettings,
  ports: EntryPorts,
): DependencyContainer {
  const container = rootContainer.createChildContainer()
  const { id, dataCentre, peerListen } = settings
  const incarnation = randomUUID()
  container.registerInstance(ENTRY_TOKENS.settings, settings)
  container.registerInstance(ENTRY_TOKENS.ports, ports)
  container.registerInstance(ENTRY_TOKENS.clock, systemClock)
  container.registerInstance(
    StopSchedule,
    new StopSchedule(systemClock, settings.stopLimitS * MS_PER_S),
  )
  container.registerInstance(ENTRY_TOKENS.times, computeAuthorityTimes(settings.leaseMs))
  container.registerInstance(ENTRY_TOKENS.self, {
    id,
    incarnation,
    dataCentre,
    peerAddress: peerListen,
    isStopping: false,
  })
  const output = openLogOutput()
  const log = createLog(settings.logLevel, { instance: id, dataCentre }, output)
  container.registerInstance(ENTRY_TOKENS.log, log)
  registerTables(container, settings)
  registerCatalogue(container, ports)
  registerFleet(container, ports)
  registerForwarding(container, settings, ports)
  return container
}

function registerCached<T>(
  container: DependencyContainer,
  token: InjectionToken<T>,
  create: (c: DependencyContainer) => T,
): void {
  container.register(token, { useFactory: instanceCachingFactory(create) })
}

function registerTables(container: DependencyContainer, settings: EntrySettings): void {
  registerCached(container, ENTRY_TOKENS.metrics, (c) =>
    createMetrics(c.resolve(ENTRY_TOKENS.clock)),
  )
  registerCached(
    container,
    VersionTable,
    () => new VersionTable(VERSION_GRACE_SHARE * settings.versionLimitMs),
  )
  registerCached(container, Authorizer, () => new Authorizer())
  registerCached(container, AccountUsage, () => new AccountUsage())
  registerCached(container, AccountWeights, () => new AccountWeights())
  registerCached(container, EndpointHealth, () => new EndpointHealth())
  registerCached(container, PaceTable, () => new PaceTable())
  registerCached(container, CostEstimator, () => new CostEstimator())
  registerCached(container, PlacementCostTable, () => new PlacementCostTable())
  registerCached(container, Residency, () => new Residency())
  registerCached(container, Popularity, () => new Popularity(POPULARITY_HALF_LIFE_MS))
  registerCached(container, AdapterUseTable, () => new AdapterUseTable())
  registerCached(container, EndpointPools, (c) => {
    const costs = c.resolve(PlacementCostTable)
    return new EndpointPools(undefined, ({ dataCentre }, ms) => {
      costs.recordRoundTrip(ms, dataCentre === settings.dataCentre)
    })
  })
  registerCached(
    container,
    RequestLog,
    (c) =>
      new RequestLog(
        c.resolve(ENTRY_TOKENS.log),
        c.resolve(ENTRY_TOKENS.clock),
        MAX_REQUEST_LINES_PER_SECOND,
      ),
  )
}

function registerCatalogue(container: DependencyContainer, { store, format }: EntryPorts): void {
  registerCached(
    container,
    ReadFreshness,
    (c) =>
      new ReadFreshness(
        c.resolve(ENTRY_TOKENS.clock),
        c.resolve(ENTRY_TOKENS.settings).drainLimitMs,
      ),
  )
  registerCached(
    container,
    OperatorCatalogue,
    (c) =>
      new OperatorCatalogue(
        format,
        c.resolve(VersionTable),
        c.resolve(ENTRY_TOKENS.clock),
        c.resolve(ENTRY_TOKENS.log),
      ),
  )
  registerCached(
    container,
    EndpointDirectory,
    (c) =>
      new EndpointDirectory(format, c.resolve(ENTRY_TOKENS.clock), c.resolve(ENTRY_TOKENS.log)),
  )
  registerCached(
    container,
    ConfigurationWatcher,
    (c) =>
      new ConfigurationWatcher({
        store,
        format,
        catalogue: c.resolve(OperatorCatalogue),
        freshness: c.resolve(ReadFreshness),
        clock: c.resolve(ENTRY_TOKENS.clock),
        log: c.resolve(ENTRY_TOKENS.log),
        limitMs: c.resolve(ENTRY_TOKENS.settings).configurationLimitMs,
        fetchFromPeer: (peer) =>
          fetchCatalogue(c.resolve(Ownership).instances.get(peer)?.peerAddress ?? peer),
        isConfirming: () => c.resolve(PeerLinks).isFirstCollector(),
      }),
  )
  registerCached(
    container,
    DirectoryPoller,
    (c) =>
      new DirectoryPoller(
        store,
        format.registrationPrefix,
        c.resolve(EndpointDirectory),
        c.resolve(ReadFreshness),
        c.resolve(ENTRY_TOKENS.clock),
        c.resolve(ENTRY_TOKENS.settings).drainLimitMs,
        c.resolve(ENTRY_TOKENS.log),
      ),
  )
}

function registerFleet(container: DependencyContainer, { store, engineClient }: EntryPorts): void {
  registerCached(
    container,
    OrderAuthority,
    (c) => new OrderAuthority(c.resolve(ENTRY_TOKENS.times)),
  )
  registerCached(
    container,
    Membership,
    (c) => new Membership(store, c.resolve(ENTRY_TOKENS.self), c.resolve(ENTRY_TOKENS.log)),
  )
  registerCached(
    container,
    Ownership,
    (c) =>
      new Ownership(c.resolve(ENTRY_TOKENS.self), {
        store,
        authority: c.resolve(OrderAuthority),
        suspension: new SuspensionDetector(c.resolve(ENTRY_TOKENS.clock), MAX_CLOCK_GAP_MS),
        clock: c.resolve(ENTRY_TOKENS.clock),
        log: c.resolve(ENTRY_TOKENS.log),
        listEngines: () => [
          ...c.resolve(Owner).listEngines(),
          ...c.resolve(QuotaAllocators).listShards(),
        ],
        isAlive: (id) => c.resolve(PeerLinks).isAlive(id),
        getReadConsistency: () => c.resolve(ReadFreshness).consistency,
        onStated: (state) => {
          c.resolve(ReadFreshness).onStated(state)
        },
        fetchOwnerReports: () => c.resolve(PeerLinks).fetchOwnerReports(),
        onParts: (parts) => {
          c.resolve(PartGuard).onStored(parts)
          c.resolve(PartStore).onRead(parts, c.resolve(PartGuard).listStates())
        },
        onListed: (isListed) => {
          c.resolve(Membership).onListed(isListed)
        },
      }),
  )
  registerCached(container, Owner, (c) => createOwner(c, engineClient))
  registerCached(container, QuotaAllocators, createQuotaAllocators)
  registerCached(container, QuotaGate, createQuotaGate)
  registerCached(container, LinkServer, createLinkServer)
  registerCached(container, PeerLinks, createLinks)
  registerCached(container, LeavingReports, createLeavingReports)
  registerCached(container, PartGuard, createPartGuard)
  registerCached(
    container,
    PartStore,
    (c) =>
      new PartStore({
        store,
        clock: c.resolve(ENTRY_TOKENS.clock),
        log: c.resolve(ENTRY_TOKENS.log),
        isFirstWriter: () => c.resolve(PeerLinks).isFirstCollector(),
      }),
  )
}

function registerForwarding(
  container: DependencyContainer,
  settings: EntrySettings,
  { headerCodec }: EntryPorts,
): void {
  container.registerInstance(SlowInstances, new SlowInstances())
  registerCached(container, ENTRY_TOKENS.monitor, (c) => createInstanceMonitor(c, settings))
  registerCached(container, IngressGuard, createIngressGuard)
  registerCached(container, ENTRY_TOKENS.forward, (c) =>
    createForwardContext(c, settings, headerCodec),
  )
  registerCached(
    container,
    ForwardHandler,
    (c) => new ForwardHandler(c.resolve(ENTRY_TOKENS.forward)),
  )
  registerCached(
    container,
    CallerServer,
    (c) => new CallerServer(c.resolve(ForwardHandler), c.resolve(IngressGuard)),
  )
}
