import { systemClock } from "@galenaway/core"
import "reflect-metadata"
import { type DependencyContainer, instanceCachingFactory } from "tsyringe"
import { systemTiming } from "../configuration/backoff.js"
import { CONFIGURATION_PEERS } from "../configuration/parts.js"
import { StoredConfigurationKeeper } from "../configuration/stored.js"
import { ConfigurationWatch } from "../configuration/watch.js"
import { ConfigurationWriter } from "../configuration/writer.js"
import { TOKENS } from "../container.js"
import type { Settings } from "../settings.js"
import { OperatorHandlers } from "./handlers.js"
import type { MetricsSource, TimelineSource } from "./ports.js"
import { PeerRevisionSource } from "./revisions.js"
import { type OperatorServer, startOperatorServer } from "./server.js"
import { NaiveStatusSource } from "./naive-status.js"

/** Names of the operators' sources in the daemon's container. */
export const OPERATOR_TOKENS = {
  status: Symbol("operator-status"),
  explainer: Symbol("operator-explainer"),
  revisions: Symbol("operator-revisions"),
  timeline: Symbol("operator-timeline"),
  metrics: Symbol("operator-metrics"),
} as const

/** Registers the operators' interface over the engines' reports. Other sources may be registered after it in place of these. */
export function registerOperatorInterface(parts: DependencyContainer, settings: Settings): void {
  parts.register(NaiveStatusSource, {
    useFactory: instanceCachingFactory(
      (c) =>
        new NaiveStatusSource(
          settings,
          c.resolve(TOKENS.rows),
          c.resolve(StoredConfigurationKeeper),
          c.resolve(ConfigurationWatch),
          c.resolve(CONFIGURATION_PEERS),
        ),
    ),
  })
  parts.register(OPERATOR_TOKENS.status, { useToken: NaiveStatusSource })
  parts.register(OPERATOR_TOKENS.explainer, { useToken: NaiveStatusSource })
  parts.register(OPERATOR_TOKENS.revisions, {
    useFactory: (c) =>
      new PeerRevisionSource(
        settings.id,
        c.resolve(StoredConfigurationKeeper),
        c.resolve(CONFIGURATION_PEERS),
        systemTiming,
      ),
  })
  parts.registerInstance<TimelineSource>(OPERATOR_TOKENS.timeline, { listEvents: () => [] })
  parts.registerInstance<MetricsSource>(OPERATOR_TOKENS.metrics, { format: () => "" })
}

/** Starts the operators' interface of a daemon. */
export function startOperatorInterface(
  parts: DependencyContainer,
  settings: Settings,
): Promise<OperatorServer> {
  const handlers = new OperatorHandlers({
    instance: settings.id,
    dataCentre: settings.dataCentre,
    inventory: settings,
    platform: parts.resolve(TOKENS.platform),
    timing: systemTiming,
    keeper: parts.resolve(StoredConfigurationKeeper),
    writer: parts.resolve(ConfigurationWriter),
    clock: systemClock,
    status: parts.resolve(OPERATOR_TOKENS.status),
    explainer: parts.resolve(OPERATOR_TOKENS.explainer),
    revisions: parts.resolve(OPERATOR_TOKENS.revisions),
    timeline: parts.resolve(OPERATOR_TOKENS.timeline),
    metrics: parts.resolve(OPERATOR_TOKENS.metrics),
  })
  return startOperatorServer(settings.operatorListen, settings.operatorKey, handlers)
}
