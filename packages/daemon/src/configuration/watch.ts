import { CONFIGURATION_KEY } from "@galenaway/config"
import {
  describeError,
  type InstanceId,
  type PlatformPort,
  type VersionedValue,
} from "@galenaway/core"
import type { Log, Recorder } from "@galenaway/observe"
import { computeBackoffMs, type RetryTiming } from "./backoff.js"
import type { ConfigurationKeeper } from "./keeper.js"
import type { ConfigurationPeers } from "./peers.js"

/** Between reads while there is no configuration yet; twice this is within the time for a change to be in force. */
const MISSING_POLL_INTERVAL_MS = 1500
/** Between watches that return without a change. */
const UNCHANGED_PAUSE_MS = 250
/** Peers that a starting instance asks at once. */
const MAX_CONCURRENT_PEER_COUNT = 8

/** What the watch needs. */
export interface ConfigurationWatcherDependencies {
  readonly platform: Pick<PlatformPort, "read" | "watch">
  readonly peers: ConfigurationPeers
  readonly keeper: Pick<ConfigurationKeeper, "revision" | "offer">
  readonly timing: RetryTiming
  readonly log: Pick<Log, "warn" | "info" | "debug">
  readonly recorder: Recorder
}

/**
 * Keeps the configuration current: it watches the platform's service through
 * outages, asks the peers at the start, and fetches from a peer whose
 * heartbeat shows a higher revision.
 */
export class ConfigurationWatcher {
  private readonly abort = new AbortController()
  private readonly fetching = new Set<InstanceId>()
  private seenRevision = 0
  private failures = 0
  private running: Promise<void> | undefined
  private resolveFirst: () => void = () => undefined
  private readonly firstResult = new Promise<void>((resolve) => (this.resolveFirst = resolve))

  constructor(private readonly deps: ConfigurationWatcherDependencies) {}

  /** Whether the platform's service answered the last call. */
  get isPlatformReachable(): boolean {
    return this.failures === 0
  }

  /** Starts watching; called once. */
  start(): void {
    this.running = this.run()
    void this.fetchFromPeers().then(() => {
      if (this.deps.keeper.revision > 0) this.resolveFirst()
    })
  }

  /** Stops watching; resolves when no call is running. */
  async stop(): Promise<void> {
    this.abort.abort()
    await this.running
  }

  /** Waits until the platform's service has answered or a peer has given a configuration, at most the given time. */
  async waitForFirst(limitMs: number): Promise<void> {
    await Promise.race([this.firstResult, this.deps.timing.pause(limitMs, this.abort.signal)])
  }

  /** Takes a peer's revision from its heartbeat and fetches the document when it is higher. It never fails. */
  async handleRevision(peer: InstanceId, revision: number): Promise<void> {
    if (revision <= this.deps.keeper.revision || this.fetching.has(peer)) return
    this.fetching.add(peer)
    try {
      const found = await this.deps.peers.fetch(peer, this.deps.keeper.revision)
      if (found) this.deps.keeper.offer(found.revision, found.document)
    } catch (error) {
      this.deps.log.debug({ step: "config", peer, reason: describeError(error) }, "no answer")
    } finally {
      this.fetching.delete(peer)
    }
  }

  /** Asks every peer for a higher revision, a few at once. It never fails. */
  async fetchFromPeers(): Promise<void> {
    const peers = [...this.deps.peers.listPeers()]
    while (peers.length > 0 && !this.abort.signal.aborted) {
      const some = peers.splice(0, MAX_CONCURRENT_PEER_COUNT)
      await Promise.all(some.map((peer) => this.handleRevision(peer, Infinity)))
    }
  }

  private async run(): Promise<void> {
    const { signal } = this.abort
    while (!signal.aborted) await this.deps.timing.pause(await this.readNext(), signal)
  }

  /** Reads or watches once. Returns how long to pause before the next call, in milliseconds. */
  private async readNext(): Promise<number> {
    try {
      const found = await this.callPlatform()
      this.recordSuccess()
      if (!found) {
        this.resolveFirst()
        return MISSING_POLL_INTERVAL_MS
      }
      const isNew = found.revision !== this.seenRevision
      this.seenRevision = found.revision
      if (isNew) this.offer(found)
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
    this.deps.keeper.offer(parseRevision(value), value)
  }

  private recordSuccess(): void {
    if (this.failures > 0) {
      this.deps.log.info({ step: "config", peer: "platform" }, "platform answers again")
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

/** Reads the revision that a document claims. A malformed one gets the highest number, so that the keeper judges and logs it. */
function parseRevision(value: string): number {
  try {
    const { revision } = JSON.parse(value) as { revision?: unknown }
    return typeof revision === "number" ? revision : Infinity
  } catch {
    return Infinity
  }
}
