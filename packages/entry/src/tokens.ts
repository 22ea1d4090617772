import type { AuthorityTimes } from "@galenaway/coordination"
import type { Clock, EngineClient, HeaderCodec, StorePort } from "@galenaway/core"
import type { Log, MetricsRegistry } from "@galenaway/observe"
import type { InjectionToken } from "tsyringe"
import type { CatalogueFormat } from "./catalogue/index.js"
import type { RegisteredInstance } from "./fleet/index.js"
import type { ForwardContext } from "./forward/index.js"
import type { InstanceMonitor } from "./load/index.js"
import type { EntrySettings } from "./settings.js"

/** Interfaces between an entry instance and its environment. The platform package implements them. */
export interface EntryPorts {
  readonly store: StorePort
  readonly engineClient: EngineClient
  readonly headerCodec: HeaderCodec
  readonly format: CatalogueFormat
}

/** Tokens of the dependencies that aren't resolved by class. */
export const ENTRY_TOKENS = {
  settings: Symbol("settings") as InjectionToken<EntrySettings>,
  ports: Symbol("ports") as InjectionToken<EntryPorts>,
  clock: Symbol("clock") as InjectionToken<Clock>,
  log: Symbol("log") as InjectionToken<Log>,
  metrics: Symbol("metrics") as InjectionToken<MetricsRegistry>,
  self: Symbol("self") as InjectionToken<RegisteredInstance>,
  times: Symbol("times") as InjectionToken<AuthorityTimes>,
  forward: Symbol("forward") as InjectionToken<ForwardContext>,
  /** Undefined if the settings don't state the instance's processor. */
  monitor: Symbol("monitor") as InjectionToken<InstanceMonitor | undefined>,
} as const
