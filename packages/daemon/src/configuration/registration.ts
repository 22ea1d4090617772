import "reflect-metadata"
import { type DependencyContainer, instanceCachingFactory } from "tsyringe"
import { TOKENS } from "../container.js"
import { systemTiming } from "./backoff.js"
import { type ConfigurationPeers, createUnreachablePeers } from "./peers.js"
import type { Settings } from "../settings.js"
import { StoredActiveConfiguration } from "./stored-active-configuration.js"
import { ConfigurationWatcher } from "./watch.js"
import { ConfigurationWriter } from "./writer.js"

/** Token of the {@link ConfigurationPeers} in the daemon's container. */
export const CONFIGURATION_PEERS = Symbol("configuration-peers")

/**
 * Registers the active configuration, its watcher and its writer. The
 * registered peers reject every call until {@link CONFIGURATION_PEERS} is
 * replaced by reachable ones.
 */
export function registerConfiguration(container: DependencyContainer, settings: Settings): void {
  const addresses = settings.peers.map(({ host, port }) => `${host}:${port}`)
  const peers = createUnreachablePeers(addresses)
  container.registerInstance<ConfigurationPeers>(CONFIGURATION_PEERS, peers)
  container.register(StoredActiveConfiguration, {
    useFactory: instanceCachingFactory(
      (c) => new StoredActiveConfiguration(c.resolve(TOKENS.log), c.resolve(TOKENS.recorder)),
    ),
  })
  container.register(ConfigurationWatcher, {
    useFactory: instanceCachingFactory(
      (c) =>
        new ConfigurationWatcher({
          platform: c.resolve(TOKENS.platform),
          peers: c.resolve(CONFIGURATION_PEERS),
          activeConfiguration: c.resolve(StoredActiveConfiguration),
          timing: systemTiming,
          log: c.resolve(TOKENS.log),
          recorder: c.resolve(TOKENS.recorder),
        }),
    ),
  })
  container.register(ConfigurationWriter, {
    useFactory: instanceCachingFactory(
      (c) =>
        new ConfigurationWriter({
          platform: c.resolve(TOKENS.platform),
          activeConfiguration: c.resolve(StoredActiveConfiguration),
          timing: systemTiming,
          log: c.resolve(TOKENS.log),
        }),
    ),
  })
}
