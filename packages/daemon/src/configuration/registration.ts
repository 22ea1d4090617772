import "reflect-metadata"
import { type DependencyContainer, instanceCachingFactory } from "tsyringe"
import { TOKENS } from "../container.js"
import { systemTiming } from "./backoff.js"
import { type ConfigurationPeers, createUnreachablePeers } from "./peers.js"
import type { Settings } from "../settings.js"
import { StoredConfigurationKeeper } from "./stored.js"
import { ConfigurationWatcher } from "./watch.js"
import { ConfigurationWriter } from "./writer.js"

/** Name of the {@link ConfigurationPeers} in the daemon's container. */
export const CONFIGURATION_PEERS = Symbol("configuration-peers")

/** Registers the keeper, the watch and the writer of the configuration. The peers can't be asked until others are registered in place of these. */
export function registerConfiguration(parts: DependencyContainer, settings: Settings): void {
  const addresses = settings.peers.map(({ host, port }) => `${host}:${port}`)
  const peers = createUnreachablePeers(addresses)
  parts.registerInstance<ConfigurationPeers>(CONFIGURATION_PEERS, peers)
  parts.register(StoredConfigurationKeeper, {
    useFactory: instanceCachingFactory(
      (c) => new StoredConfigurationKeeper(c.resolve(TOKENS.log), c.resolve(TOKENS.recorder)),
    ),
  })
  parts.register(ConfigurationWatcher, {
    useFactory: instanceCachingFactory(
      (c) =>
        new ConfigurationWatcher({
          platform: c.resolve(TOKENS.platform),
          peers: c.resolve(CONFIGURATION_PEERS),
          keeper: c.resolve(StoredConfigurationKeeper),
          timing: systemTiming,
          log: c.resolve(TOKENS.log),
          recorder: c.resolve(TOKENS.recorder),
        }),
    ),
  })
  parts.register(ConfigurationWriter, {
    useFactory: instanceCachingFactory(
      (c) =>
        new ConfigurationWriter({
          platform: c.resolve(TOKENS.platform),
          keeper: c.resolve(StoredConfigurationKeeper),
          timing: systemTiming,
          log: c.resolve(TOKENS.log),
        }),
    ),
  })
}
