import {
  type Drain,
  INITIAL_STORED_CONFIGURATION,
  parseStoredConfiguration,
  resolveSettings,
  type StoredConfiguration,
  type SettingsQuery,
} from "@galenaway/config"
import {
  type AdapterKey,
  type DataCentre,
  describeError,
  parseAdapter,
  type Rank,
} from "@galenaway/core"
import type { Log, Recorder } from "@galenaway/observe"
import { DEFAULT_POLICY, type PolicySettings } from "@galenaway/policy"
import type { ActiveConfiguration } from "./active-configuration.js"

/**
 * The stored configuration in force. The watcher, the peers and the
 * operators' interface offer documents to it.
 */
export class StoredActiveConfiguration implements ActiveConfiguration {
  /** The parsed configuration in force, with its revision and history. */
  stored: StoredConfiguration = INITIAL_STORED_CONFIGURATION
  document = ""
  private refusedRevision = 0
  private readonly policies = new Map<string, PolicySettings>()
  private readonly deadlines = new Map<string, number>()

  constructor(
    private readonly log: Pick<Log, "info" | "warn">,
    private readonly recorder: Recorder,
  ) {}

  get revision(): number {
    return this.stored.revision
  }

  offer(revision: number, document: string): boolean {
    if (revision <= this.revision) return false
    const stored = this.parse(revision, document)
    if (!stored) return false
    this.stored = stored
    this.document = document
    this.policies.clear()
    this.deadlines.clear()
    this.log.info({ revision, author: stored.history[0]?.author }, "configuration in force")
    this.recorder.record({ kind: "configuration-applied", note: `revision ${revision}` })
    return true
  }

  getPolicy(subject: SettingsQuery = {}): PolicySettings {
    const key = JSON.stringify(subject)
    const cached = this.policies.get(key)
    if (cached) return cached
    const { settings } = resolveSettings(this.stored.configuration, subject)
    const policy = { ...DEFAULT_POLICY, ...settings }
    if (this.policies.size >= MAX_CACHED_COUNT) this.policies.clear()
    this.policies.set(key, policy)
    return policy
  }

  /**
   * Returns the limit for the time to the first token of a request without a
   * deadline, in milliseconds.
   */
  getDeadlineMs(adapter: AdapterKey, rank: Rank, dataCentre: DataCentre): number {
    const ref = parseAdapter(adapter)
    const subject = { base: ref?.base, adapter: ref?.adapter, rank, dataCentre }
    const key = `deadline ${adapter} ${rank} ${dataCentre}`
    const cached = this.deadlines.get(key)
    if (cached !== undefined) return cached
    const { settings } = resolveSettings(this.stored.configuration, subject)
    if (this.deadlines.size >= MAX_CACHED_COUNT) this.deadlines.clear()
    this.deadlines.set(key, settings.deadlineMs[rank])
    return settings.deadlineMs[rank]
  }

  /**
   * Returns whether operators drain an endpoint or instance, so that it must not
   * receive new work.
   */
  isDrained(kind: Drain["kind"], id: string): boolean {
    const { drains } = this.stored.configuration
    return drains.some((drain) => drain.kind === kind && drain.id === id)
  }

  private parse(revision: number, document: string): StoredConfiguration | undefined {
    try {
      const stored = parseStoredConfiguration(document)
      if (stored.revision === revision) return stored
      this.logRefusal(revision, `the document contains revision ${stored.revision}`)
    } catch (error) {
      this.logRefusal(revision, describeError(error))
    }
    return undefined
  }

  /** Logs a refused revision once, since every peer may offer it repeatedly. */
  private logRefusal(revision: number, reason: string): void {
    if (revision === this.refusedRevision) return
    this.refusedRevision = revision
    const fields = { step: "config", revision, inForce: this.revision, reason }
    this.log.warn(fields, "configuration refused, the last valid one stays in force")
  }
}

/** Number of entries at which a cache of resolved settings is cleared. */
const MAX_CACHED_COUNT = 1024
