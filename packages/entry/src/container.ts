import "reflect-metadata"
import { randomUUID } from "node:crypto"
import { container, type DependencyContainer, instanceCachingFactory } from "tsyringe"
import type { InjectionToken } from "tsyringe"
import {
  type AuthorityTimes,
  computeAuthorityTimes,
  OrderAuthority,
  SuspensionDetector,
} from "@galenaway/coordination"
import {
  type Clock,
  type EngineControl,
  type HeaderDialect,
  type Registration,
  type ServiceName,
  type StorePort,
  systemClock,
} from "@galenaway/core"
import { createLog, createMetrics, type Log, type MetricsRegistry } from "@galenaway/observe"
import {
  EndpointHealth,
  Popularity,
  Residency,
  RetryAllowance,
  VersionTable,
} from "@galenaway/routing"
import { pino } from "pino"
import {
  type CatalogueFormat,
  ConfigurationWatch,
  Directory,
  DirectoryPoll,
  Serving,
} from "./catalogue/index.js"
import { Membership, Ownership, type RegisteredInstance } from "./fleet/index.js"
import { EndpointPools, ForwardHandler, type ForwardParts } from "./forward/index.js"
import { Links, LinkServer, UseTable } from "./links/index.js"
import { Owner } from "./owner/index.js"
import { RequestLog } from "./request-log.js"
import { CallerServer } from "./server.js"
import type { EntrySettings } from "./settings.js"

/** What an entry instance speaks to the world outside; the platform's adapter provides it. */
export interface EntryPorts {
  readonly store: StorePort
  readonly control: EngineControl
  readonly dialect: HeaderDialect
  readonly format: CatalogueFormat
}

/** State that parts of the instance share. */
export interface EntryState {
  isStopping: boolean
}

/** Names of the parts that have no class of their own. */
export const ENTRY_TOKENS = {
  settings: Symbol("settings") as InjectionToken<EntrySettings>,
  ports: Symbol("ports") as InjectionToken<EntryPorts>,
  clock: Symbol("clock") as InjectionToken<Clock>,
  log: Symbol("log") as InjectionToken<Log>,
  metrics: Symbol("metrics") as InjectionToken<MetricsRegistry>,
  self: Symbol("self") as InjectionToken<RegisteredInstance>,
  times: Symbol("times") as InjectionToken<AuthorityTimes>,
  state: Symbol("state") as InjectionToken<EntryState>,
  forward: Symbol("forward") as InjectionToken<ForwardParts>,
} as const

const STANDARD_OUTPUT = 1
const REQUEST_LINES_PER_SECOND = 400
/** Longest gap between two looks at the clocks that isn't a pause of the process. */
const MAX_GAP_MS = 250
/** Share of an endpoint's connections that the instances use. */
const CONNECTION_SHARE = 0.9
/** Part of the limit on older adapter versions that passes before they are avoided. */
const VERSION_GRACE_SHARE = 0.5
const MS_PER_S = 1000
const POPULARITY_HALF_LIFE_MS = 5000

/** Builds the container of one entry instance. Tests replace parts in a child of it. */
export function createEntryContainer(
  settings: EntrySettings,
  ports: EntryPorts,
): DependencyContainer {
  const parts = container.createChildContainer()
  const { id, dataCentre, peerListen } = settings
  const incarnation = randomUUID()
  parts.registerInstance(ENTRY_TOKENS.settings, settings)
  parts.registerInstance(ENTRY_TOKENS.ports, ports)
  parts.registerInstance(ENTRY_TOKENS.clock, systemClock)
  parts.registerInstance(ENTRY_TOKENS.state, { isStopping: false })
  parts.registerInstance(ENTRY_TOKENS.times, computeAuthorityTimes(settings.leaseMs))
  parts.registerInstance(ENTRY_TOKENS.self, {
    id,
    incarnation,
    dataCentre,
    peerAddress: peerListen,
    isStopping: false,
  })
  const output = pino.destination({ dest: STANDARD_OUTPUT, sync: false })
  const log = createLog(settings.logLevel, { instance: id, dataCentre }, output)
  parts.registerInstance(ENTRY_TOKENS.log, log)
  registerTables(parts, settings)
  registerCatalogue(parts, ports)
  registerFleet(parts, ports)
  registerForwarding(parts, settings, ports)
  return parts
}

function registerCached<T>(
  parts: DependencyContainer,
  token: InjectionToken<T>,
  create: (c: DependencyContainer) => T,
): void {
  parts.register(token, { useFactory: instanceCachingFactory(create) })
}

function registerTables(parts: DependencyContainer, settings: EntrySettings): void {
  registerCached(parts, ENTRY_TOKENS.metrics, (c) => createMetrics(c.resolve(ENTRY_TOKENS.clock)))
  registerCached(
    parts,
    VersionTable,
    () => new VersionTable(VERSION_GRACE_SHARE * settings.versionLimitMs),
  )
  registerCached(parts, EndpointHealth, () => new EndpointHealth())
  registerCached(parts, Residency, () => new Residency())
  registerCached(parts, Popularity, () => new Popularity(POPULARITY_HALF_LIFE_MS))
  registerCached(parts, UseTable, () => new UseTable())
  registerCached(parts, EndpointPools, () => new EndpointPools())
  registerCached(
    parts,
    RequestLog,
    (c) =>
      new RequestLog(
        c.resolve(ENTRY_TOKENS.log),
        c.resolve(ENTRY_TOKENS.clock),
        REQUEST_LINES_PER_SECOND,
      ),
  )
}

function registerCatalogue(parts: DependencyContainer, { store, format }: EntryPorts): void {
  registerCached(
    parts,
    Serving,
    (c) =>
      new Serving(
        format,
        c.resolve(VersionTable),
        c.resolve(ENTRY_TOKENS.clock),
        c.resolve(ENTRY_TOKENS.log),
      ),
  )
  registerCached(
    parts,
    Directory,
    (c) => new Directory(format, c.resolve(ENTRY_TOKENS.clock), c.resolve(ENTRY_TOKENS.log)),
  )
  registerCached(
    parts,
    ConfigurationWatch,
    (c) => new ConfigurationWatch(store, format, c.resolve(Serving), c.resolve(ENTRY_TOKENS.log)),
  )
  registerCached(
    parts,
    DirectoryPoll,
    (c) =>
      new DirectoryPoll(
        store,
        format.registrationPrefix,
        c.resolve(Directory),
        c.resolve(ENTRY_TOKENS.log),
      ),
  )
}

function registerFleet(parts: DependencyContainer, { store, control }: EntryPorts): void {
  registerCached(parts, OrderAuthority, (c) => new OrderAuthority(c.resolve(ENTRY_TOKENS.times)))
  registerCached(
    parts,
    Membership,
    (c) => new Membership(store, c.resolve(ENTRY_TOKENS.self), c.resolve(ENTRY_TOKENS.log)),
  )
  registerCached(
    parts,
    Ownership,
    (c) =>
      new Ownership(c.resolve(ENTRY_TOKENS.self), {
        store,
        authority: c.resolve(OrderAuthority),
        suspension: new SuspensionDetector(c.resolve(ENTRY_TOKENS.clock), MAX_GAP_MS),
        clock: c.resolve(ENTRY_TOKENS.clock),
        log: c.resolve(ENTRY_TOKENS.log),
        listEngines: () => c.resolve(Owner).listEngines(),
        isHeard: (id) => c.resolve(Links).isHeard(id),
        askOwners: () => c.resolve(Links).askOwners(),
        onListed: (isListed) => {
          c.resolve(Membership).onListed(isListed)
        },
      }),
  )
  registerCached(parts, Owner, (c) => createOwner(c, control))
  registerCached(parts, LinkServer, createLinkServer)
  registerCached(parts, Links, createLinks)
}

function createOwner(c: DependencyContainer, control: EngineControl): Owner {
  const residency = c.resolve(Residency)
  const clock = c.resolve(ENTRY_TOKENS.clock)
  return new Owner({
    self: c.resolve(ENTRY_TOKENS.self).id,
    ownership: c.resolve(Ownership),
    directory: c.resolve(Directory),
    serving: c.resolve(Serving),
    versions: c.resolve(VersionTable),
    control,
    clock,
    log: c.resolve(ENTRY_TOKENS.log),
    metrics: c.resolve(ENTRY_TOKENS.metrics),
    orderTimeoutMs: c.resolve(ENTRY_TOKENS.times).orderTimeoutMs,
    startedAt: clock.now(),
    onNews: (news) => {
      residency.update(news.endpoint, "owner", news.models, news.adapters, clock.now())
      c.resolve(LinkServer).publish(news)
    },
    onDropped: (endpoint) => {
      c.resolve(LinkServer).publishDropped(endpoint)
    },
  })
}

function createLinkServer(c: DependencyContainer): LinkServer {
  const owner = c.resolve(Owner)
  const serving = c.resolve(Serving)
  return new LinkServer(
    {
      load: ({ endpoint, adapter, version, ...ask }) =>
        owner.load(endpoint, adapter, version > 0 ? version : undefined, ask),
      onUpdate: ({ instance, configurationVersion, uses }) => {
        c.resolve(ConfigurationWatch).noticeVersion(configurationVersion, instance)
        for (const { endpoint, adapters } of uses)
          for (const { adapter, inFlight } of adapters)
            owner.onUse(endpoint, adapter, instance, inFlight)
      },
      listNews: () => owner.listNews(),
      listItems: () => [...serving.listItems(), ...c.resolve(Directory).listItems()],
      getConfigurationVersion: () => serving.version,
      tellOwners: () => c.resolve(Ownership).tellOwners(),
    },
    c.resolve(ENTRY_TOKENS.log),
  )
}

function createLinks(c: DependencyContainer): Links {
  const residency = c.resolve(Residency)
  const clock = c.resolve(ENTRY_TOKENS.clock)
  const told = new Map<string, Set<string>>()
  return new Links({
    self: c.resolve(ENTRY_TOKENS.self).id,
    ownership: c.resolve(Ownership),
    owner: c.resolve(Owner),
    uses: c.resolve(UseTable),
    clock,
    log: c.resolve(ENTRY_TOKENS.log),
    events: {
      getConfigurationVersion: () => c.resolve(Serving).version,
      onUpdate: (peer, { configurationVersion, engines, dropped }) => {
        c.resolve(ConfigurationWatch).noticeVersion(configurationVersion, peer)
        const endpoints = told.get(peer) ?? new Set<string>()
        told.set(peer, endpoints)
        for (const endpoint of dropped) endpoints.delete(endpoint)
        for (const endpoint of endpoints) residency.confirm(endpoint, clock.now())
        for (const { endpoint, models, adapters } of engines) {
          endpoints.add(endpoint)
          residency.update(endpoint, "owner", models, adapters, clock.now())
        }
      },
    },
  })
}

function registerForwarding(
  parts: DependencyContainer,
  settings: EntrySettings,
  { dialect }: EntryPorts,
): void {
  registerCached(parts, ENTRY_TOKENS.forward, (c) => createForwardParts(c, settings, dialect))
  registerCached(parts, ForwardHandler, (c) => new ForwardHandler(c.resolve(ENTRY_TOKENS.forward)))
  registerCached(parts, CallerServer, (c) => new CallerServer(c.resolve(ForwardHandler)))
}

function createForwardParts(
  c: DependencyContainer,
  settings: EntrySettings,
  dialect: HeaderDialect,
): ForwardParts {
  const directory = c.resolve(Directory)
  const health = c.resolve(EndpointHealth)
  const residency = c.resolve(Residency)
  const versions = c.resolve(VersionTable)
  const links = c.resolve(Links)
  const ownership = c.resolve(Ownership)
  const serving = c.resolve(Serving)
  const allowances = new Map<ServiceName, RetryAllowance>()
  const countInstances = () => Math.max(1, ownership.instances.size)
  return {
    home: settings.dataCentre,
    serving,
    directory,
    dialect,
    pools: c.resolve(EndpointPools),
    health,
    residency,
    versions,
    popularity: c.resolve(Popularity),
    links,
    uses: c.resolve(UseTable),
    clock: c.resolve(ENTRY_TOKENS.clock),
    metrics: c.resolve(ENTRY_TOKENS.metrics),
    log: c.resolve(RequestLog),
    getAllowance: (service) => getAllowance(allowances, service, settings),
    countInstances,
    buildView: (service) => ({
      engines: directory.listLive(service),
      health,
      residency,
      versions,
      popularity: c.resolve(Popularity),
      home: settings.dataCentre,
      canLoad: (endpoint) => links.canLoad(endpoint),
    }),
    isStopping: () => c.resolve(ENTRY_TOKENS.state).isStopping,
    countConnections: ({ service }: Registration) => {
      const limit = serving.routes?.configuration.services.get(service)?.maxConnections ?? 0
      return Math.floor((CONNECTION_SHARE * limit) / countInstances())
    },
  }
}

function getAllowance(
  allowances: Map<ServiceName, RetryAllowance>,
  service: ServiceName,
  { retryShare, retryFixed, retryWindowS }: EntrySettings,
): RetryAllowance {
  const known = allowances.get(service)
  if (known) return known
  const limits = { share: retryShare, fixed: retryFixed, windowMs: retryWindowS * MS_PER_S }
  const created = new RetryAllowance(limits)
  allowances.set(service, created)
  return created
}
