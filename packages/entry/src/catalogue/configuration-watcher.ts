import {
  type Clock,
  type InstanceId,
  type Millis,
  type StoreItem,
  type StorePort,
  waitFor,
  type WatchResult,
} from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import { DependencyState } from "./dependency.js"
import type { CatalogueFormat } from "./format.js"
import type { OperatorCatalogue } from "./operator-catalogue.js"
import type { ReadFreshness } from "./read-freshness.js"
import { WatchProgress, type WatchState } from "./watch-progress.js"

/** The dependencies of a {@link ConfigurationWatcher}. */
export interface ConfigurationWatcherDependencies {
  readonly store: StorePort
  readonly format: CatalogueFormat
  readonly catalogue: OperatorCatalogue
  readonly freshness: ReadFreshness
  readonly clock: Clock
  readonly log: Log
  /** Time in which a configuration must be in force after its acknowledgement. */
  readonly limitMs: Millis
  /** Fetches the store items that a peer has read. Throws a GalenawayError on failure. */
  fetchFromPeer(peer: InstanceId): Promise<readonly StoreItem[]>
  /** Returns whether this instance confirms often that nothing has changed, for all its peers. */
  isConfirming(): boolean
}

const READ_TIMEOUT_MS = 1200
/** Longest wait of a watch. */
const WATCH_MS = 10_000
/** Wait of a watch that must show whether its connection works, as a share of the time in which a configuration must be in force. */
const CONFIRMING_SHARE = 0.4
/** Interval at which is checked whether the watch is overdue. */
const CHECK_INTERVAL_MS = 100
const RETRY_DELAY_MS = 400
/** Delay after fetching a configuration that a peer reported, during which further reports are ignored. */
const FETCH_DELAY_MS = 400

type WatchEnd = WatchResult | { readonly kind: "renewed" }

/**
 * Keeps the operators' items up to date. Reads them, then watches for changes
 * after the revision of the read. A watch that failed is continued from the same
 * revision; the items are read again only when the store no longer has the changes
 * since then, or was restored from an older copy.
 *
 * A watch whose connection has gone silent is renewed. To find that out, one
 * instance uses short watches and sends its peers what the store confirmed; the
 * others renew theirs when they miss a change, or when no instance has confirmed
 * anything for some time.
 *
 * When a peer reports a newer configuration, reads the store at once, or fetches
 * the items from that peer while the store can't be reached.
 */
export class ConfigurationWatcher {
  private readonly abortController = new AbortController()
  private readonly dependency: DependencyState
  private readonly progress: WatchProgress
  private isFetching = false
  /** Aborted to end the current watch early. */
  private renewal = new AbortController()
  private watchSentAt: Millis = Infinity
  /** Whether the next watch must show that its connection works, since the last one was overdue or failed. */
  private mustConfirm = false
  private timer: NodeJS.Timeout | undefined

  constructor(private readonly deps: ConfigurationWatcherDependencies) {
    const { store, freshness, clock, limitMs, log } = deps
    this.dependency = new DependencyState("store-configuration", log)
    this.progress = new WatchProgress(clock, limitMs)
    store.onRestore(() => {
      freshness.onFault()
      this.progress.onGap()
      this.renewal.abort()
    })
  }

  /** Starts watching. Runs until `stop` is called. */
  start(): void {
    this.timer = setInterval(() => {
      this.renewIfOverdue()
    }, CHECK_INTERVAL_MS)
    void this.run()
  }

  /** Stops watching. */
  stop(): void {
    clearInterval(this.timer)
    this.abortController.abort()
    this.renewal.abort()
  }

  /** Which changes of the operators' items this instance has; undefined before the first read. */
  get state(): WatchState | undefined {
    return this.progress.state
  }

  /** Handles which changes a peer has. */
  onPeerState(state: WatchState): void {
    this.progress.onPeer(state)
  }

  /**
   * Handles the configuration version of a peer. Fetches a newer one unless a
   * fetch is in progress; resolves after the fetch and its delay. Never rejects.
   */
  async onPeerVersion(version: number, peer: InstanceId): Promise<void> {
    const { catalogue, log } = this.deps
    if (version <= catalogue.version || this.isFetching) return
    this.isFetching = true
    log.info({ version, peer }, "peer has a newer configuration")
    try {
      await this.fetchNewer(peer)
    } catch (error) {
      log.info({ peer, err: error }, "fetching the newer configuration failed")
    }
    await waitFor(FETCH_DELAY_MS, this.abortController.signal)
    this.isFetching = false
  }

  private async fetchNewer(peer: InstanceId): Promise<void> {
    const { catalogue, format } = this.deps
    const { version } = catalogue
    if (!this.dependency.isLost) await this.read()
    // A store that was restored may not have the peer's version yet.
    if (catalogue.version > version) return
    for (const item of await this.deps.fetchFromPeer(peer))
      if (item.key.startsWith(format.operatorPrefix)) catalogue.apply(item, `peer ${peer}`)
  }

  private async run(): Promise<void> {
    const { signal } = this.abortController
    while (!signal.aborted) {
      try {
        await this.readNext()
      } catch (error) {
        this.dependency.onFailure(error)
        this.mustConfirm = true
        await waitFor(RETRY_DELAY_MS, signal)
      }
    }
  }

  private async readNext(): Promise<void> {
    const { state } = this.progress
    if (state === undefined) await this.read()
    else await this.watch(state.revision)
  }

  private async watch(revision: number): Promise<void> {
    const { catalogue, freshness, clock, log } = this.deps
    const result = await this.waitForWatch(revision)
    switch (result.kind) {
      case "renewed":
        return
      case "compacted":
        freshness.onFault()
        log.info({ revision }, "watched revisions were compacted, reading again")
        this.progress.onGap()
        break
      case "events":
        for (const { item } of result.events) if (item) catalogue.apply(item, "watch")
        this.progress.onAnswer(result.revision, result.events.map(getRevision), clock.now())
    }
    this.mustConfirm = false
    this.dependency.onSuccess()
  }

  private async waitForWatch(revision: number): Promise<WatchEnd> {
    const { store, format, clock, limitMs } = this.deps
    this.renewal = new AbortController()
    const { signal } = this.renewal
    const isShort = this.mustConfirm || this.deps.isConfirming()
    const waitMs = isShort ? Math.min(WATCH_MS, CONFIRMING_SHARE * limitMs) : WATCH_MS
    this.watchSentAt = clock.now()
    try {
      return await Promise.race([
        store.watchRange(format.operatorPrefix, revision, Math.ceil(waitMs), signal),
        waitForAbort(signal),
      ])
    } finally {
      this.watchSentAt = Infinity
    }
  }

  private renewIfOverdue(): void {
    const { watchSentAt, progress } = this
    if (watchSentAt === Infinity || !progress.isOverdue(watchSentAt)) return
    const { revision, at } = progress.state ?? {}
    const silentMs = at === undefined ? undefined : Math.round(this.deps.clock.now() - at)
    const reason = progress.isBehind ? "a peer has a change that it lacks" : "nothing was confirmed"
    this.deps.log.info({ revision, silentMs, reason }, "watch is overdue, renewed")
    this.mustConfirm = true
    this.renewal.abort()
  }

  private async read(): Promise<void> {
    const { store, format, catalogue, clock, freshness } = this.deps
    const at = clock.now()
    const range = await store.readRange(format.operatorPrefix, "latest", READ_TIMEOUT_MS)
    for (const item of range.items) catalogue.apply(item, "read")
    freshness.onStated({ revision: range.revision, at })
    this.progress.onAnswer(range.revision, range.items.map(getRevision), at)
    this.dependency.onSuccess()
  }
}

function getRevision({ revision }: { readonly revision: number }): number {
  return revision
}

function waitForAbort(signal: AbortSignal): Promise<WatchEnd> {
  return new Promise((resolve) => {
    signal.addEventListener(
      "abort",
      () => {
        resolve({ kind: "renewed" })
      },
      { once: true },
    )
  })
}
