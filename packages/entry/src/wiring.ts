import type { DependencyContainer } from "tsyringe"
import type { EngineControl, HeaderDialect, Registration, ServiceName } from "@galenaway/core"
import {
  EndpointHealth,
  Popularity,
  Residency,
  RetryLimiter,
  VersionTable,
} from "@galenaway/routing"
import { ConfigurationWatch, Directory, Serving } from "./catalogue/index.js"
import { Ownership } from "./fleet/index.js"
import { EndpointPools, type ForwardParts } from "./forward/index.js"
import { Links, LinkServer, UseTable } from "./links/index.js"
import { Owner } from "./owner/index.js"
import { RequestLog } from "./request-log.js"
import type { EntrySettings } from "./settings.js"
import { ENTRY_TOKENS } from "./tokens.js"

/** Share of an endpoint's connections that the instances use. */
const CONNECTION_SHARE = 0.9
const MS_PER_S = 1000

/** Creates the keeper of the engines that this instance owns; what they hold goes to the residency table and to peers. */
export function createOwner(c: DependencyContainer, control: EngineControl): Owner {
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
    // The monotonic clock begins with the process.
    startedAt: 0,
    onNews: (news) => {
      residency.update(news.endpoint, "owner", news.models, news.adapters, clock.now())
      c.resolve(LinkServer).publish(news)
    },
    onDropped: (endpoint) => {
      c.resolve(LinkServer).publishDropped(endpoint)
    },
  })
}

/** Creates the interface that peers call. */
export function createLinkServer(c: DependencyContainer): LinkServer {
  const owner = c.resolve(Owner)
  const serving = c.resolve(Serving)
  return new LinkServer(
    {
      load: ({ endpoint, adapter, version, ...ask }) =>
        owner.load(endpoint, adapter, version > 0 ? version : undefined, ask),
      onUpdate: ({ instance, configurationVersion, uses }) => {
        void c.resolve(ConfigurationWatch).noticeVersion(configurationVersion, instance)
        for (const { endpoint, adapters } of uses)
          for (const { adapter, inFlight } of adapters)
            owner.onUse(endpoint, adapter, instance, inFlight)
      },
      listNews: () => owner.listNews(),
      listItems: () => [...serving.listItems(), ...c.resolve(Directory).listItems()],
      getConfigurationVersion: () => serving.version,
      tellOwners: () => c.resolve(Ownership).tellOwners(),
      onFollowerGone: (instance) => {
        owner.removeHolder(instance)
      },
    },
    c.resolve(ENTRY_TOKENS.log),
  )
}

/** Creates the links to peers; their news goes to the residency table. */
export function createLinks(c: DependencyContainer): Links {
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
        void c.resolve(ConfigurationWatch).noticeVersion(configurationVersion, peer)
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

/** Creates what forwarding needs. */
export function createForwardParts(
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
  const allowances = new Map<ServiceName, RetryLimiter>()
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
      findEngine: (id) => {
        const engine = directory.find(id)
        return engine?.service === service && engine.phase === "live" ? engine : undefined
      },
      health,
      residency,
      versions,
      popularity: c.resolve(Popularity),
      localDataCentre: settings.dataCentre,
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
  allowances: Map<ServiceName, RetryLimiter>,
  service: ServiceName,
  { retryShare, retryFixed, retryWindowS }: EntrySettings,
): RetryLimiter {
  const known = allowances.get(service)
  if (known) return known
  const limits = { share: retryShare, fixed: retryFixed, windowMs: retryWindowS * MS_PER_S }
  const created = new RetryLimiter(limits)
  allowances.set(service, created)
  return created
}
