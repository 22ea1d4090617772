import type { SettingsQuery } from "@galenaway/config"
import { DEFAULT_POLICY, type PolicySettings } from "@galenaway/policy"

/** Holds the configuration that is in force on this instance. Its revision never goes back. */
export interface ConfigurationKeeper {
  /** The revision in force, 0 before the first one. */
  readonly revision: number
  /** The document in force, as the platform's service holds it. */
  readonly document: string
  /** Puts a document in force if its revision is higher and it is valid. Returns whether it did. */
  offer(revision: number, document: string): boolean
  /** The part that decides how work is scheduled, for a request or an endpoint; without one, the defaults. */
  getPolicy(subject?: SettingsQuery): PolicySettings
}

/** A keeper that knows only the defaults. */
export const defaultKeeper: ConfigurationKeeper = {
  revision: 0,
  document: "",
  offer: () => false,
  getPolicy: () => DEFAULT_POLICY,
}
