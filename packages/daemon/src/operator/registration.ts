import { systemClock } from "@galenaway/core"
import "reflect-metadata"
import { type DependencyContainer, instanceCachingFactory } from "tsyringe"
import { systemTiming } from "../configuration/backoff.js"
import { CONFIGURATION_PEERS } from "../configuration/registration.js"
import { StoredActiveConfiguration } from "../configuration/stored-active-configuration.js"
import { ConfigurationWatcher } from "../configuration/watch.js"
import { ConfigurationWriter } from "../configuration/writer.js"
import { TOKENS } from "../container.js"
import type { Settings } from "../settings.js"
import { OperatorHandlers } from "./handlers.js"
import { NaiveStatusSource } from "./naive-status.js"
import type { MetricsSource, TimelineSource } from "./ports.js"
import { PeerRevisionSource } from "./revisions.js"
import { type OperatorServer, startOperatorServer } from "./server.js"

/** Container tokens for the sources of the operators' interface. */
export const OPERATOR_TOKENS = {
  status: Symbol("operator-status"),
  explainer: Symbol("operator-explainer"),
  revisions: Symbol("operator-revisions"),
  timeline: Symbol("operator-timeline"),
  metrics: Symbol("operator-metrics"),
} as const

/** Registers the sources of the operators' interface, based on the engines' reports. Later registrations of a token replace them. */
export function registerOperatorInterface(
  container: DependencyContainer,
  settings: Settings,
): void {
  container.register(NaiveStatusSource, {
    useFactory: instanceCachingFactory(
      (c) =>
        new NaiveStatusSource(
          settings,
          c.resolve(TOKENS.rows),
          c.resolve(StoredActiveConfiguration),
          c.resolve(ConfigurationWatcher),
          c.resolve(CONFIGURATION_PEERS),
        ),
    ),
  })
  container.register(OPERATOR_TOKENS.status, { useToken: NaiveStatusSource })
  container.register(OPERATOR_TOKENS.explainer, { useToken: NaiveStatusSource })
  container.register(OPERATOR_TOKENS.revisions, {
    useFactory: (c) =>
      new PeerRevisionSource(
        settings.id,
        c.resolve(StoredActiveConfiguration),
        c.resolve(CONFIGURATION_PEERS),
        systemTiming,
      ),
  })
  container.registerInstance<TimelineSource>(OPERATOR_TOKENS.timeline, { listEvents: () => [] })
  container.registerInstance<MetricsSource>(OPERATOR_TOKENS.metrics, { format: () => "" })
}

/** Starts the operators' interface of a daemon. Resolves when it accepts connections. */
export function startOperatorInterface(
  container: DependencyContainer,
  settings: Settings,
): Promise<OperatorServer> {
  const handlers = new OperatorHandlers({
    instance: settings.id,
    dataCentre: settings.dataCentre,
    inventory: settings,
    platform: container.resolve(TOKENS.platform),
    timing: systemTiming,
    activeConfiguration: container.resolve(StoredActiveConfiguration),
    writer: container.resolve(ConfigurationWriter),
    clock: systemClock,
    status: container.resolve(OPERATOR_TOKENS.status),
    explainer: container.resolve(OPERATOR_TOKENS.explainer),
    revisions: container.resolve(OPERATOR_TOKENS.revisions),
    timeline: container.resolve(OPERATOR_TOKENS.timeline),
    metrics: container.resolve(OPERATOR_TOKENS.metrics),
  })
  return startOperatorServer(settings.operatorListen, settings.operatorKey, handlers)
}
