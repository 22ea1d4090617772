import type { SettingsQuery } from "@galenaway/config"
import { DEFAULT_POLICY, type PolicySettings } from "@galenaway/policy"

/** The configuration that is in force on this instance. Its revision never decreases. */
export interface ActiveConfiguration {
  /** The revision in force, 0 before the first one. */
  readonly revision: number
  /** The document in force, as stored in the platform's service. Empty before the first one. */
  readonly document: string
  /**
   * Puts a document in force if its revision is higher and it is valid. Returns
   * whether it did so.
   */
  offer(revision: number, document: string): boolean
  /**
   * Returns the scheduling policy for a request or an endpoint, or the fleet's
   * defaults if there is no subject.
   */
  getPolicy(subject?: SettingsQuery): PolicySettings
}

/** An active configuration that always uses the built-in defaults and accepts no document. */
export const defaultActiveConfiguration: ActiveConfiguration = {
  revision: 0,
  document: "",
  offer: () => false,
  getPolicy: () => DEFAULT_POLICY,
}
