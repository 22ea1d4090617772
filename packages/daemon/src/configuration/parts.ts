import "reflect-metadata"
import { type DependencyContainer, instanceCachingFactory } from "tsyringe"
import { TOKENS } from "../container.js"
import { systemTiming } from "./backoff.js"
import { type ConfigurationPeers, noPeers } from "./peers.js"
import { StoredConfigurationKeeper } from "./stored.js"
import { ConfigurationWatch } from "./watch.js"
import { ConfigurationWriter } from "./writer.js"

/** Name of the {@link ConfigurationPeers} in the daemon's container. */
export const CONFIGURATION_PEERS = Symbol("configuration-peers")

/** Registers the keeper, the watch and the writer of the configuration. The peers are none until others are registered. */
export function registerConfiguration(parts: DependencyContainer): void {
  parts.registerInstance<ConfigurationPeers>(CONFIGURATION_PEERS, noPeers)
  parts.register(StoredConfigurationKeeper, {
    useFactory: instanceCachingFactory(
      (c) => new StoredConfigurationKeeper(c.resolve(TOKENS.log), c.resolve(TOKENS.recorder)),
    ),
  })
  parts.register(ConfigurationWatch, {
    useFactory: instanceCachingFactory(
      (c) =>
        new ConfigurationWatch({
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
