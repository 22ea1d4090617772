import "reflect-metadata"
import { randomUUID } from "node:crypto"
import { container, type DependencyContainer, instanceCachingFactory } from "tsyringe"
import { Agent } from "undici"
import type { EndpointId, EndpointInfo, EnginePort, PlatformPort, Router } from "@galenaway/core"
import {
  createLog,
  type Log,
  type Metrics,
  type Recorder,
  silentMetrics,
  silentRecorder,
} from "@galenaway/observe"
import type { NaiveRow } from "@galenaway/policy"
import { CompletionHandler } from "./caller/completions.js"
import { ServiceHandler } from "./caller/services.js"
import { systemClock } from "./clock.js"
import type { ConfigurationKeeper } from "./configuration/keeper.js"
import { registerConfiguration } from "./configuration/parts.js"
import { StoredConfigurationKeeper } from "./configuration/stored.js"
import { HttpEngine } from "./endpoint/engine.js"
import { registerOperator } from "./operator/parts.js"
import { ConsulPlatform } from "./platform/consul.js"
import { NaiveRouter } from "./router/naive.js"
import type { Settings } from "./settings.js"

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
  parts.registerInstance<Recorder>(TOKENS.recorder, silentRecorder)
  parts.registerInstance<Metrics>(TOKENS.metrics, silentMetrics)
  registerConfiguration(parts, settings)
  registerOperator(parts, settings)
  parts.register<ConfigurationKeeper>(TOKENS.keeper, { useToken: StoredConfigurationKeeper })
  registerCached<PlatformPort>(
    parts,
    TOKENS.platform,
    (c) => new ConsulPlatform(settings.platformUrl, c.resolve(TOKENS.agent)),
  )
  registerCached<EngineMap>(parts, TOKENS.engines, (c) =>
    mapEngines(settings.endpoints, c.resolve(TOKENS.agent)),
  )
  registerCached<RowMap>(parts, TOKENS.rows, () => mapRows(settings.endpoints))
  registerCached<Router>(
    parts,
    TOKENS.router,
    (c) =>
      new NaiveRouter(
        c.resolve(TOKENS.rows),
        c.resolve(TOKENS.engines),
        systemClock,
        c.resolve(TOKENS.incarnation),
      ),
  )
  registerCached(
    parts,
    CompletionHandler,
    (c) => new CompletionHandler(c.resolve(TOKENS.router), c.resolve(TOKENS.engines), systemClock),
  )
  registerCached(
    parts,
    ServiceHandler,
    (c) =>
      new ServiceHandler(
        settings.endpoints.filter((endpoint) => endpoint.kind === "service"),
        c.resolve(TOKENS.platform),
        c.resolve(TOKENS.incarnation),
        c.resolve(TOKENS.agent),
      ),
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
