import { systemClock } from "@galenaway/core"
import "reflect-metadata"
import { randomUUID } from "node:crypto"
import { container, type DependencyContainer, instanceCachingFactory } from "tsyringe"
import { Agent } from "undici"
import type { EndpointId, EndpointInfo, EnginePort, PlatformPort, Router } from "@galenaway/core"
import {
  createLog,
  createMetrics,
  createRecorder,
  type Log,
  type Metrics,
  type Recorder,
} from "@galenaway/observe"
import type { NaiveRow } from "@galenaway/policy"
import { CompletionHandler } from "./caller/completions.js"
import { createTimeSource } from "./caller/request.js"
import type { DeadlineSource } from "./caller/parse.js"
import { ServiceHandler, type ServiceHandlerDependencies } from "./caller/services.js"
import type { ConfigurationKeeper } from "./configuration/keeper.js"
import { CONFIGURATION_PEERS, registerConfiguration } from "./configuration/parts.js"
import type { ConfigurationPeers } from "./configuration/peers.js"
import { StoredConfigurationKeeper } from "./configuration/stored.js"
import { ConfigurationWatch } from "./configuration/watch.js"
import { Coordination } from "./coordination.js"
import { HttpEngine } from "./endpoint/engine.js"
import { OPERATOR_TOKENS, registerOperatorInterface } from "./operator/registration.js"
import type { MetricsSource, TimelineSource } from "./operator/ports.js"
import { ConsulPlatform } from "./platform/consul.js"
import { MeasuredPlatform } from "./platform/measured.js"
import { NaiveRouter } from "./router/naive.js"
import type { Settings } from "./settings.js"
import { CoordinatedStatusSource } from "./coordinated-status.js"

/** Names of the parts in the daemon's container. */
export const TOKENS = {
  settings: Symbol("settings"),
  incarnation: Symbol("incarnation"),
  agent: Symbol("agent"),
  log: Symbol("log"),
  platform: Symbol("platform"),
  engines: Symbol("engines"),
  rows: Symbol("rows"),
  router: Symbol("router"),
  recorder: Symbol("recorder"),
  metrics: Symbol("metrics"),
  keeper: Symbol("keeper"),
} as const

/** Engines by endpoint. */
export type EngineMap = ReadonlyMap<EndpointId, EnginePort>

/** Rows of the naive router by endpoint. */
export type RowMap = ReadonlyMap<EndpointId, NaiveRow>

const KEEP_ALIVE_MS = 30_000
const CONNECT_TIMEOUT_MS = 1000

/** Builds the container of one daemon. Tests replace parts in a child of it. */
export function createContainer(settings: Settings): DependencyContainer {
  const parts = container.createChildContainer()
  parts.registerInstance<Settings>(TOKENS.settings, settings)
  parts.registerInstance<string>(TOKENS.incarnation, `${settings.id}:${randomUUID()}`)
  parts.registerInstance<Agent>(TOKENS.agent, createAgent())
  const { id: instance, dataCentre } = settings
  parts.registerInstance<Log>(TOKENS.log, createLog(settings.logLevel, { instance, dataCentre }))
  registerConfiguration(parts, settings)
  registerOperatorInterface(parts, settings)
  registerObservers(parts, settings)
  if (settings.router === "coordinated") registerCoordinated(parts, settings)
  parts.register<ConfigurationKeeper>(TOKENS.keeper, { useToken: StoredConfigurationKeeper })
  registerCached<PlatformPort>(
    parts,
    TOKENS.platform,
    (c) =>
      new MeasuredPlatform(
        new ConsulPlatform(settings.platformUrl, c.resolve(TOKENS.agent)),
        systemClock,
        c.resolve(TOKENS.metrics),
      ),
  )
  registerCached<EngineMap>(parts, TOKENS.engines, (c) =>
    mapEngines(settings.endpoints, c.resolve(TOKENS.agent)),
  )
  registerCached<RowMap>(parts, TOKENS.rows, () => mapRows(settings.endpoints))
  registerCached(parts, Coordination, (c) => createCoordination(settings, c))
  registerCached<Router>(parts, TOKENS.router, (c) => createRouter(settings, c))
  registerCached(
    parts,
    CompletionHandler,
    (c) =>
      new CompletionHandler({
        router: c.resolve(TOKENS.router),
        engines: c.resolve(TOKENS.engines),
        getDeadlineMs: createDeadlineSource(settings, c),
        recorder: c.resolve(TOKENS.recorder),
        metrics: c.resolve(TOKENS.metrics),
        log: c.resolve(TOKENS.log),
        ...createTimeSource(systemClock),
      }),
  )
  registerCached(
    parts,
    ServiceHandler,
    (c) =>
      new ServiceHandler({
        endpoints: settings.endpoints.filter((endpoint) => endpoint.kind === "service"),
        dataCentre: settings.dataCentre,
        platform: c.resolve(TOKENS.platform),
        incarnation: c.resolve(TOKENS.incarnation),
        ...createServicePredicates(settings, c),
        agent: c.resolve(TOKENS.agent),
        recorder: c.resolve(TOKENS.recorder),
        metrics: c.resolve(TOKENS.metrics),
        log: c.resolve(TOKENS.log),
        ...createTimeSource(systemClock),
      }),
  )
  return parts
}

function registerCached<T>(
  parts: DependencyContainer,
  token: symbol | (new (...args: never[]) => T),
  create: (parts: DependencyContainer) => T,
): void {
  parts.register<T>(token as symbol, { useFactory: instanceCachingFactory(create) })
}

/** Deadlines of requests that name none, from the configuration in force. */
function createDeadlineSource(settings: Settings, parts: DependencyContainer): DeadlineSource {
  const keeper = parts.resolve(StoredConfigurationKeeper)
  return (adapter, rank) => keeper.getDeadlineMs(adapter, rank, settings.dataCentre)
}

/** What the coordination knows of service endpoints and of the authors of claims. */
function createServicePredicates(
  settings: Settings,
  parts: DependencyContainer,
): Pick<ServiceHandlerDependencies, "isUsable" | "isAlive"> {
  if (settings.router === "naive") return {}
  const { views, peers } = parts.resolve(Coordination)
  return {
    isUsable: (endpoint) => views.getPhase(endpoint) === "live",
    isAlive: (author) => !peers.isGone(author),
  }
}

/** Registers the recorder and the metrics, which operators read. */
function registerObservers(parts: DependencyContainer, settings: Settings): void {
  const { id: instance, dataCentre } = settings
  const recorder = createRecorder({ instance, dataCentre, clock: systemClock })
  const metrics = createMetrics(systemClock)
  parts.registerInstance<Recorder>(TOKENS.recorder, recorder)
  parts.registerInstance<Metrics>(TOKENS.metrics, metrics)
  parts.registerInstance<TimelineSource>(OPERATOR_TOKENS.timeline, recorder)
  parts.registerInstance<MetricsSource>(OPERATOR_TOKENS.metrics, {
    format: () => metrics.formatMetrics(),
  })
}

/** Puts the sources that know the owners in place of those that know only reports and settings. */
function registerCoordinated(parts: DependencyContainer, settings: Settings): void {
  registerCached<ConfigurationPeers>(
    parts,
    CONFIGURATION_PEERS,
    (c) => c.resolve(Coordination).configurationPeers,
  )
  registerCached(
    parts,
    CoordinatedStatusSource,
    (c) =>
      new CoordinatedStatusSource(
        settings,
        c.resolve(Coordination),
        c.resolve(StoredConfigurationKeeper),
        c.resolve(ConfigurationWatch),
      ),
  )
  parts.register(OPERATOR_TOKENS.status, { useToken: CoordinatedStatusSource })
  parts.register(OPERATOR_TOKENS.explainer, { useToken: CoordinatedStatusSource })
}

function createCoordination(settings: Settings, parts: DependencyContainer): Coordination {
  return new Coordination({
    settings,
    incarnation: parts.resolve(TOKENS.incarnation),
    platform: parts.resolve(TOKENS.platform),
    engines: parts.resolve(TOKENS.engines),
    clock: systemClock,
    recorder: parts.resolve(TOKENS.recorder),
    metrics: parts.resolve(TOKENS.metrics),
    log: parts.resolve(TOKENS.log),
    keeper: parts.resolve(StoredConfigurationKeeper),
  })
}

function createRouter(settings: Settings, parts: DependencyContainer): Router {
  switch (settings.router) {
    case "coordinated":
      return parts.resolve(Coordination).router
    case "naive":
      return new NaiveRouter(
        parts.resolve(TOKENS.rows),
        parts.resolve(TOKENS.engines),
        systemClock,
        parts.resolve(TOKENS.incarnation),
      )
  }
}

function createAgent(): Agent {
  return new Agent({
    keepAliveTimeout: KEEP_ALIVE_MS,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    connections: null,
  })
}

function mapEngines(endpoints: readonly EndpointInfo[], agent: Agent): EngineMap {
  const engines = endpoints.filter((endpoint) => endpoint.kind === "engine")
  return new Map(engines.map((info) => [info.id, new HttpEngine(info, agent)]))
}

function mapRows(endpoints: readonly EndpointInfo[]): RowMap {
  const engines = endpoints.filter((endpoint) => endpoint.kind === "engine")
  return new Map(
    engines.map((info) => [
      info.id,
      { info, isReachable: true, report: undefined, lastUsed: new Map() },
    ]),
  )
}
