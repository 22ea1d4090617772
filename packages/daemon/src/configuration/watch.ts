import { CONFIGURATION_KEY } from "@galenaway/config"
import {
  describeError,
  type InstanceId,
  type PlatformPort,
  type VersionedValue,
} from "@galenaway/core"
import type { Log, Recorder } from "@galenaway/observe"
import { computeBackoffMs, type RetryTiming } from "./backoff.js"
import type { ActiveConfiguration } from "./active-configuration.js"
import type { ConfigurationPeers } from "./peers.js"

/**
 * Interval of reads while there is no configuration. Two intervals fit into the
 * time limit for a change to be in force.
 */
const MISSING_POLL_INTERVAL_MS = 1500
/** Pause after a watch that returned without a change. */
const UNCHANGED_PAUSE_MS = 250
/** Number of peers that are queried concurrently at the start. */
const MAX_CONCURRENT_PEER_COUNT = 8

/** The dependencies of a {@link ConfigurationWatcher}. */
export interface ConfigurationWatcherDependencies {
  readonly platform: Pick<PlatformPort, "read" | "watch">
  readonly peers: ConfigurationPeers
  readonly activeConfiguration: Pick<ActiveConfiguration, "revision" | "offer">
  readonly timing: RetryTiming
  readonly log: Pick<Log, "warn" | "info" | "debug">
  readonly recorder: Recorder
}

/**
 * Keeps the configuration up to date: watches the platform's service, with
 * retries during outages, queries the peers at the start, and fetches the
 * document of a peer whose heartbeat has a higher revision.
 */
export class ConfigurationWatcher {
  private readonly abort = new AbortController()
  private readonly fetching = new Set<InstanceId>()
  /** The platform's revision of the last stored value, which differs from the revision of the configuration in it. */
  private seenRevision = 0
  private failures = 0
  private running: Promise<void> | undefined
  private resolveFirst: () => void = () => undefined
  private readonly firstResult = new Promise<void>((resolve) => (this.resolveFirst = resolve))

  constructor(private readonly deps: ConfigurationWatcherDependencies) {}

  /** Whether the last call to the platform's service succeeded. */
  get isPlatformReachable(): boolean {
    return this.failures === 0
  }

  /** Starts to watch. Must be called only once. */
  start(): void {
    this.running = this.run()
    void this.fetchFromPeers().then(() => {
      if (this.deps.activeConfiguration.revision > 0) this.resolveFirst()
    })
  }

  /** Stops the watch. Resolves when no call to the platform's service is running. */
  async stop(): Promise<void> {
    this.abort.abort()
    await this.running
  }

  /**
   * Waits until the platform's service has answered or a peer has supplied a
   * configuration, for at most `limitMs`.
   */
  async waitForFirst(limitMs: number): Promise<void> {
    await Promise.race([this.firstResult, this.deps.timing.pause(limitMs, this.abort.signal)])
  }

  /** Fetches the document of a peer if the revision in its heartbeat is higher. Never rejects. */
  async handleRevision(peer: InstanceId, revision: number): Promise<void> {
    if (revision <= this.deps.activeConfiguration.revision || this.fetching.has(peer)) return
    this.fetching.add(peer)
    try {
      const stored = await this.deps.peers.fetch(peer, this.deps.activeConfiguration.revision)
      if (stored) this.deps.activeConfiguration.offer(stored.revision, stored.document)
    } catch (error) {
      this.deps.log.debug({ step: "config", peer, reason: describeError(error) }, "no answer")
    } finally {
      this.fetching.delete(peer)
    }
  }

  /** Queries every peer for a higher revision, a limited number concurrently. Never rejects. */
  async fetchFromPeers(): Promise<void> {
    const peers = [...this.deps.peers.listPeers()]
    while (peers.length > 0 && !this.abort.signal.aborted) {
      const batch = peers.splice(0, MAX_CONCURRENT_PEER_COUNT)
      await Promise.all(batch.map((peer) => this.handleRevision(peer, Infinity)))
    }
  }

  private async run(): Promise<void> {
    const { signal } = this.abort
    while (!signal.aborted) await this.deps.timing.pause(await this.readNext(), signal)
  }

  /** Reads or watches once. Returns the pause before the next call, in milliseconds. */
  private async readNext(): Promise<number> {
    try {
      const stored = await this.callPlatform()
      this.recordSuccess()
      if (!stored) {
        this.resolveFirst()
        return MISSING_POLL_INTERVAL_MS
      }
      const isNew = stored.revision !== this.seenRevision
      this.seenRevision = stored.revision
      if (isNew) this.offer(stored)
      this.resolveFirst()
      return isNew ? 0 : UNCHANGED_PAUSE_MS
    } catch (error) {
      if (this.abort.signal.aborted) return 0
      this.recordFailure(error)
      return computeBackoffMs(this.failures, this.deps.timing.random())
    }
  }

  private callPlatform(): Promise<VersionedValue | undefined> {
    const { platform } = this.deps
    if (this.seenRevision === 0) return platform.read(CONFIGURATION_KEY)
    return platform.watch(CONFIGURATION_KEY, this.seenRevision, this.abort.signal)
  }

  private offer({ value }: VersionedValue): void {
    this.deps.activeConfiguration.offer(parseRevision(value), value)
  }

  private recordSuccess(): void {
    if (this.failures > 0) {
      this.deps.log.info({ step: "config", peer: "platform" }, "platform is reachable again")
      this.deps.recorder.record({ kind: "platform-back", step: "config" })
    }
    this.failures = 0
  }

  private recordFailure(error: unknown): void {
    this.failures++
    if (this.failures > 1) return
    const reason = describeError(error)
    this.deps.log.warn({ step: "config", peer: "platform", reason }, "platform doesn't answer")
    this.deps.recorder.record({ kind: "platform-lost", step: "config", note: reason })
  }
}

/**
 * Parses the revision of a document. Returns Infinity for a malformed one, so
 * that the active configuration validates, refuses and logs it.
 */
function parseRevision(value: string): number {
  try {
    const { revision } = JSON.parse(value) as { revision?: unknown }
    return typeof revision === "number" ? revision : Infinity
  } catch {
    return Infinity
  }
}
