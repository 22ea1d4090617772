import type { Clock, InstanceId, Millis } from "@galenaway/core"
import type { Log, Metrics } from "@galenaway/observe"
import { UnreadySchedule, canMoveCallers, InstanceLoad, type PeerLoads } from "@galenaway/policy"
import type { SlowInstances } from "./slow-instances.js"

/** The dependencies of an {@link InstanceMonitor}. */
export interface InstanceMonitorDependencies {
  readonly self: InstanceId
  readonly slowInstances: SlowInstances
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Metrics
  /** Processor time that this process may use, in cores. */
  readonly cores: number
  /** Returns the processor time that this process has used. */
  readProcessorMs(): Millis
  /** Lists the instances of this data centre that take requests. */
  listMembers(): readonly InstanceId[]
  /** Returns the shortest latency objective of all routes; undefined without a configuration. */
  findShortestObjective(): Millis | undefined
  /** Sends the peers whether this instance is slow. */
  notifyPeers(): void
}

const SAMPLE_INTERVAL_MS = 250

/**
 * Measures how long this instance itself delays its requests, and reports it to the
 * peers. A slow instance moves its callers to others and isn't ready for moments for new
 * connections, unless half or more of the instances of its data centre are slow.
 */
export class InstanceMonitor {
  private readonly load = new InstanceLoad()
  private readonly breaks: UnreadySchedule
  private timer: NodeJS.Timeout | undefined
  private sampledAt: Millis
  private processorMs: Millis
  private isBreak = false
  private isMoving = false

  constructor(private readonly deps: InstanceMonitorDependencies) {
    this.breaks = new UnreadySchedule(deps.self)
    this.sampledAt = deps.clock.now()
    this.processorMs = deps.readProcessorMs()
  }

  /** Starts measuring. It continues until `stop` is called. */
  start(): void {
    this.sampledAt = this.deps.clock.now()
    this.timer = setInterval(() => {
      this.sample()
    }, SAMPLE_INTERVAL_MS)
  }

  /** Stops measuring. */
  stop(): void {
    clearInterval(this.timer)
  }

  /** Whether this instance's own delay makes answers late. */
  get isSlow(): boolean {
    return this.load.isSlow
  }

  /** Whether this instance isn't ready for new connections for a moment. */
  get isUnready(): boolean {
    return this.isBreak
  }

  /** Whether callers should open their next connection to another instance. */
  get isMovingCallers(): boolean {
    return this.isMoving
  }

  /** Returns whether an answer that is due in `objectiveMs` would be late because of this instance alone. */
  isTooSlowFor(objectiveMs: Millis): boolean {
    return this.load.isTooSlowFor(objectiveMs)
  }

  /** Takes a sample, and decides from it. The timer calls it every 250 ms. */
  sample(): void {
    const { clock, cores, metrics } = this.deps
    const now = clock.now()
    const elapsedMs = Math.max(1, now - this.sampledAt)
    const processorMs = this.deps.readProcessorMs()
    const latenessMs = Math.max(0, elapsedMs - SAMPLE_INTERVAL_MS)
    const utilization = (processorMs - this.processorMs) / (elapsedMs * cores)
    this.sampledAt = now
    this.processorMs = processorMs
    const objectiveMs = this.deps.findShortestObjective()
    if (objectiveMs === undefined) return
    const wasSlow = this.isSlow
    this.load.record({ latenessMs, utilization }, objectiveMs)
    metrics.setGauge("own-delay", this.load.addedMs)
    metrics.setGauge("processor-use", this.load.usedShare)
    if (wasSlow !== this.isSlow) this.onSlowChanged()
    this.decide(now)
  }

  private onSlowChanged(): void {
    const { addedMs, usedShare } = this.load
    const fields = { addedMs: Math.round(addedMs), processorUse: usedShare.toFixed(2) }
    if (this.isSlow) this.deps.log.warn(fields, "this instance delays its answers")
    else this.deps.log.info(fields, "this instance doesn't delay its answers any more")
    this.deps.notifyPeers()
  }

  private decide(now: Millis): void {
    const { self, clock, log, metrics } = this.deps
    const wasBreak = this.isBreak
    const peers = this.findPeerLoads(now)
    this.isMoving = peers !== undefined && canMoveCallers(self, peers)
    this.isBreak = peers !== undefined && this.breaks.update(peers, now, clock.wallNow())
    if (this.isBreak === wasBreak) return
    if (this.isBreak) metrics.count("unready-periods")
    log.info(
      { slow: peers?.slow.size },
      this.isBreak ? "not ready for new connections" : "ready for new connections",
    )
  }

  /** Returns what is known of the data centre; undefined if nothing recent is, since most instances may be slow. */
  private findPeerLoads(now: Millis): PeerLoads | undefined {
    const { self, slowInstances } = this.deps
    const known = slowInstances.listAll(now)
    if (!known) return undefined
    const others = [...known].filter((id) => id !== self)
    const slow = new Set(this.isSlow ? [...others, self] : others)
    return { members: this.deps.listMembers(), slow }
  }
}
