import { systemClock } from "@galenaway/core"
import "reflect-metadata"
import { randomUUID } from "node:crypto"
import {
  container as rootContainer,
  type DependencyContainer,
  instanceCachingFactory,
} from "tsyringe"
import { Agent } from "undici"
import type { EndpointId, EndpointInfo, EnginePort, PlatformPort, Router } from "@galenaway/core"
import { computeGuardLimits, IngressGuard } from "@galenaway/ingress"
import {
  createLog,
  createMetrics,
  createRecorder,
  type Log,
  type Metrics,
  type Recorder,
} from "@galenaway/observe"
import type { NaiveEngineState } from "@galenaway/policy"
import { CompletionHandler } from "./caller/completions.js"
import { createTimeSource } from "./caller/request.js"
import type { DeadlineSource } from "./caller/parse.js"
import { ServiceHandler, type ServiceHandlerDependencies } from "./caller/services.js"
import type { ActiveConfiguration } from "./configuration/active-configuration.js"
import { CONFIGURATION_PEERS, registerConfiguration } from "./configuration/registration.js"
import type { ConfigurationPeers } from "./configuration/peers.js"
import { StoredActiveConfiguration } from "./configuration/stored-active-configuration.js"
import { ConfigurationWatcher } from "./configuration/watch.js"
import { Coordination } from "./coordination.js"
import { HttpEngine } from "./endpoint/engine.js"
import { OPERATOR_TOKENS, registerOperatorInterface } from "./operator/registration.js"
import type { MetricsSource, TimelineSource } from "./operator/ports.js"
import { ConsulPlatform } from "./platform/consul.js"
import { MeasuredPlatform } from "./platform/measured.js"
import { NaiveRouter } from "./router/naive.js"
import type { Settings } from "./settings.js"
import { CoordinatedStatusSource } from "./coordinated-status.js"

/** Tokens of the components in the daemon's container. */
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
  activeConfiguration: Symbol("active-configuration"),
} as const

/** The engine clients by endpoint. */
export type EngineMap = ReadonlyMap<EndpointId, EnginePort>

/** The naive router's state of each engine, by endpoint. */
export type RowMap = ReadonlyMap<EndpointId, NaiveEngineState>

/** A body is held as text, and encoded again when it is sent to an endpoint. */
const BODY_COPY_COUNT = 2
const KEEP_ALIVE_MS = 30_000
const CONNECT_TIMEOUT_MS = 1000

/** Creates the container of one daemon. Tests replace components in a child container. */
export function createContainer(settings: Settings): DependencyContainer {
  const container = rootContainer.createChildContainer()
  container.registerInstance<Settings>(TOKENS.settings, settings)
  container.registerInstance<string>(TOKENS.incarnation, `${settings.id}:${randomUUID()}`)
  container.registerInstance<Agent>(TOKENS.agent, createAgent())
  const { id: instance, dataCentre } = settings
  container.registerInstance<Log>(
    TOKENS.log,
    createLog(settings.logLevel, { instance, dataCentre }),
  )
  registerConfiguration(container, settings)
  registerOperatorInterface(container, settings)
  registerObservers(container, settings)
  if (settings.router === "coordinated") registerCoordinated(container, settings)
  container.register<ActiveConfiguration>(TOKENS.activeConfiguration, {
    useToken: StoredActiveConfiguration,
  })
  registerCached<PlatformPort>(
    container,
    TOKENS.platform,
    (c) =>
      new MeasuredPlatform(
        new ConsulPlatform(settings.platformUrl, c.resolve(TOKENS.agent)),
        systemClock,
        c.resolve(TOKENS.metrics),
      ),
  )
  registerCached<EngineMap>(container, TOKENS.engines, (c) =>
    createEngines(settings.endpoints, c.resolve(TOKENS.agent)),
  )
  registerCached<RowMap>(container, TOKENS.rows, () => createRows(settings.endpoints))
  registerCached(container, Coordination, (c) => createCoordination(settings, c))
  registerCached<Router>(container, TOKENS.router, (c) => createRouter(settings, c))
  registerCached(container, IngressGuard, (c) => createIngressGuard(settings, c))
  registerCached(
    container,
    CompletionHandler,
    (c) =>
      new CompletionHandler({
        router: c.resolve(TOKENS.router),
        engines: c.resolve(TOKENS.engines),
        getDeadlineMs: createDeadlineSource(settings, c),
        ingress: c.resolve(IngressGuard),
        recorder: c.resolve(TOKENS.recorder),
        metrics: c.resolve(TOKENS.metrics),
        log: c.resolve(TOKENS.log),
        ...createTimeSource(systemClock),
      }),
  )
  registerCached(
    container,
    ServiceHandler,
    (c) =>
      new ServiceHandler({
        endpoints: settings.endpoints.filter((endpoint) => endpoint.kind === "service"),
        dataCentre: settings.dataCentre,
        platform: c.resolve(TOKENS.platform),
        incarnation: c.resolve(TOKENS.incarnation),
        ...createServicePredicates(settings, c),
        agent: c.resolve(TOKENS.agent),
        ingress: c.resolve(IngressGuard),
        recorder: c.resolve(TOKENS.recorder),
        metrics: c.resolve(TOKENS.metrics),
        log: c.resolve(TOKENS.log),
        ...createTimeSource(systemClock),
      }),
  )
  return container
}

function registerCached<T>(
  container: DependencyContainer,
  token: symbol | (new (...args: never[]) => T),
  create: (container: DependencyContainer) => T,
): void {
  container.register<T>(token as symbol, { useFactory: instanceCachingFactory(create) })
}

/** Creates the source of deadlines for requests without one, from the configuration in force. */
function createDeadlineSource(settings: Settings, container: DependencyContainer): DeadlineSource {
  const activeConfiguration = container.resolve(StoredActiveConfiguration)
  return (adapter, rank) => activeConfiguration.getDeadlineMs(adapter, rank, settings.dataCentre)
}

/**
 * Creates the predicates that check service endpoints and authors of claims.
 * Empty for the naive router.
 */
function createServicePredicates(
  settings: Settings,
  container: DependencyContainer,
): Pick<ServiceHandlerDependencies, "isUsable" | "isAlive"> {
  if (settings.router === "naive") return {}
  const { views, peers } = container.resolve(Coordination)
  return {
    isUsable: (endpoint) => views.getPhase(endpoint) === "live",
    isAlive: (author) => !peers.isGone(author),
  }
}

/** Creates the guard of the callers' interface. */
function createIngressGuard(
  { memoryMb, maxFds }: Settings,
  container: DependencyContainer,
): IngressGuard {
  const metrics = container.resolve<Metrics>(TOKENS.metrics)
  const log = container.resolve<Log>(TOKENS.log)
  return new IngressGuard(
    computeGuardLimits({ memoryMb, maxDescriptors: maxFds, copyCount: BODY_COPY_COUNT }),
    {
      onClose: (reason) => {
        metrics.count("caller-closes")
        log.info({ reason }, "caller connection closed")
      },
      onRefusedBody: (reason) => {
        metrics.count("body-refusals")
        log.info({ reason }, "body not read")
      },
      onCutAnswer: () => {
        metrics.count("unread-answers")
        log.info({}, "answer cut that its caller does not read")
      },
      onTick: (connections, heldBytes) => {
        metrics.setGauge("caller-connections", connections)
        metrics.setGauge("held-bytes", heldBytes)
      },
    },
  )
}

/** Registers the recorder and the metrics, also as sources of the operators' interface. */
function registerObservers(container: DependencyContainer, settings: Settings): void {
  const { id: instance, dataCentre } = settings
  const recorder = createRecorder({ instance, dataCentre, clock: systemClock })
  const metrics = createMetrics(systemClock)
  container.registerInstance<Recorder>(TOKENS.recorder, recorder)
  container.registerInstance<Metrics>(TOKENS.metrics, metrics)
  container.registerInstance<TimelineSource>(OPERATOR_TOKENS.timeline, recorder)
  container.registerInstance<MetricsSource>(OPERATOR_TOKENS.metrics, {
    format: () => metrics.formatMetrics(),
  })
}

/**
 * Replaces the default peers and status sources by those of the coordination,
 * which include the owners.
 */
function registerCoordinated(container: DependencyContainer, settings: Settings): void {
  registerCached<ConfigurationPeers>(
    container,
    CONFIGURATION_PEERS,
    (c) => c.resolve(Coordination).configurationPeers,
  )
  registerCached(
    container,
    CoordinatedStatusSource,
    (c) =>
      new CoordinatedStatusSource(
        settings,
        c.resolve(Coordination),
        c.resolve(StoredActiveConfiguration),
        c.resolve(ConfigurationWatcher),
      ),
  )
  container.register(OPERATOR_TOKENS.status, { useToken: CoordinatedStatusSource })
  container.register(OPERATOR_TOKENS.explainer, { useToken: CoordinatedStatusSource })
}

function createCoordination(settings: Settings, container: DependencyContainer): Coordination {
  return new Coordination({
    settings,
    incarnation: container.resolve(TOKENS.incarnation),
    platform: container.resolve(TOKENS.platform),
    engines: container.resolve(TOKENS.engines),
    clock: systemClock,
    recorder: container.resolve(TOKENS.recorder),
    metrics: container.resolve(TOKENS.metrics),
    log: container.resolve(TOKENS.log),
    activeConfiguration: container.resolve(StoredActiveConfiguration),
  })
}

function createRouter(settings: Settings, container: DependencyContainer): Router {
  switch (settings.router) {
    case "coordinated":
      return container.resolve(Coordination).router
    case "naive":
      return new NaiveRouter(
        container.resolve(TOKENS.rows),
        container.resolve(TOKENS.engines),
        systemClock,
        container.resolve(TOKENS.incarnation),
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

function createEngines(endpoints: readonly EndpointInfo[], agent: Agent): EngineMap {
  const engines = endpoints.filter((endpoint) => endpoint.kind === "engine")
  return new Map(engines.map((info) => [info.id, new HttpEngine(info, agent)]))
}

function createRows(endpoints: readonly EndpointInfo[]): RowMap {
  const engines = endpoints.filter((endpoint) => endpoint.kind === "engine")
  return new Map(
    engines.map((info) => [
      info.id,
      { info, isReachable: true, report: undefined, lastUsed: new Map() },
    ]),
  )
}
