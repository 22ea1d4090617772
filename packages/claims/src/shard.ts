import type { Clock, PlatformPort } from "@galenaway/core"
import {
  applyOperations,
  type ClaimOperation,
  EMPTY_DOCUMENT,
  formatDocument,
  type OperationResult,
  parseDocument,
} from "./document.js"
import type { ClaimLimits } from "./limits.js"
import type { ShardDocument } from "./record.js"
import type { WaitFunction } from "./wait.js"

const MAX_BATCH_COUNT = 256
const MIN_BACKOFF_MS = 25
const MAX_BACKOFF_MS = 500
const MAX_PAUSE_ROUND_COUNT = 16
const MIN_AVERAGE_CONFLICT_COUNT = 0.1
const SMOOTHING_SHARE = 0.2
const GOLDEN_RATIO = 0.618_033_988_75

/** What the claims need of the platform's service. */
export type ClaimStore = Pick<PlatformPort, "read" | "compareAndSwap">

/** What a shard's writer works with. */
export interface ShardWriterOptions {
  readonly platform: ClaimStore
  readonly clock: Clock
  readonly wait: WaitFunction
  readonly limits: ClaimLimits
  /** A share from 0 to 1 by which this instance's retries are spread from those of others. */
  readonly phase: number
}

/** An operation on its way into a shard's document. */
export interface PendingOperation {
  operation: ClaimOperation
  /** Whether a write that contains it may have reached the platform. */
  isAttempted: boolean
  readonly resolve: (result: OperationResult) => void
}

type BatchOutcome = "written" | "conflict" | "failed"

/**
 * Writes one shard's operations in groups, one write at a time. Each write is
 * based on a fresh read, so a lost reply is settled by the next round: an
 * operation that took effect is found there under its claim's id.
 */
export class ShardWriter {
  /** The document as it was last read. It may be old. */
  lastRead: ShardDocument = EMPTY_DOCUMENT
  private pending: PendingOperation[] = []
  private isRunning = false
  private failureCount = 0
  private conflictCount = 0
  /** Conflicts for each write that went through, and the time of a round, both smoothed. */
  private averageConflictCount = 0
  private averageRoundMs = 0
  private jitter: number

  constructor(
    private readonly key: string,
    private readonly options: ShardWriterOptions,
  ) {
    this.jitter = options.phase
  }

  /** Queues an operation. `result` resolves when it is settled for good; it never rejects. */
  submit(operation: ClaimOperation): {
    pending: PendingOperation
    result: Promise<OperationResult>
  } {
    let resolve: (result: OperationResult) => void = () => undefined
    const result = new Promise<OperationResult>((settle) => (resolve = settle))
    const pending = { operation, isAttempted: false, resolve }
    this.pending.push(pending)
    if (!this.isRunning) void this.run()
    return { pending, result }
  }

  /**
   * Gives a claim up whose result hasn't come. Its result resolves when the
   * claim can take effect no more. Returns false when it has its result.
   */
  cancel(pending: PendingOperation): boolean {
    if (!this.pending.includes(pending)) return false
    const { key, author, id } = pending.operation
    pending.operation = { kind: "release", key, author, id }
    if (!pending.isAttempted) {
      this.pending = this.pending.filter((each) => each !== pending)
      pending.resolve({ kind: "applied" })
    }
    return true
  }

  private async run(): Promise<void> {
    this.isRunning = true
    while (this.pending.length > 0) {
      const pauseMs = this.computePauseMs()
      if (pauseMs > 0) await this.options.wait(pauseMs)
      if (this.pending.length > 0) this.recordOutcome(await this.writeBatch())
    }
    this.isRunning = false
  }

  /** Reads the document, applies what is pending, and writes it. */
  private async writeBatch(): Promise<BatchOutcome> {
    const { platform, clock, limits } = this.options
    const start = clock.now()
    try {
      const current = await platform.read(this.key)
      this.lastRead = parseDocument(current?.value)
      const batch = this.pending.slice(0, MAX_BATCH_COUNT)
      const operations = batch.map((each) => each.operation)
      const next = applyOperations(this.lastRead, operations, clock.wallNow(), limits)
      if (next.isChanged) {
        for (const each of batch) each.isAttempted = true
        const value = formatDocument(next.document)
        const isOurs = await platform.compareAndSwap(this.key, current?.revision ?? 0, value)
        this.averageRoundMs = updateAverage(this.averageRoundMs, clock.now() - start)
        if (!isOurs) return "conflict"
        this.lastRead = next.document
      }
      this.resolveBatch(batch, operations, next.results)
      return "written"
    } catch {
      return "failed"
    }
  }

  private recordOutcome(outcome: BatchOutcome): void {
    this.failureCount = outcome === "failed" ? this.failureCount + 1 : 0
    if (outcome === "conflict") this.conflictCount++
    if (outcome !== "written") return
    this.averageConflictCount = updateAverage(this.averageConflictCount, this.conflictCount)
    this.conflictCount = 0
  }

  /**
   * Returns the pause before the next round. While instances contend for the
   * shard each lets others go first, the less the more often it has lost, so
   * that none starves; what comes meanwhile joins the group.
   */
  private computePauseMs(): number {
    if (this.failureCount > 0) {
      const backoff = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** this.failureCount)
      return backoff * (0.5 + this.updateJitter() / 2)
    }
    if (this.averageConflictCount < MIN_AVERAGE_CONFLICT_COUNT) return 0
    const rounds = Math.min(MAX_PAUSE_ROUND_COUNT, 2 * this.averageConflictCount)
    return (this.averageRoundMs * rounds * this.updateJitter()) / 2 ** this.conflictCount
  }

  /** Returns shares from 0 to 1, evenly spread, that differ from instance to instance. */
  private updateJitter(): number {
    this.jitter = (this.jitter + GOLDEN_RATIO) % 1
    return this.jitter
  }

  /** Resolves what was written, except operations that were withdrawn meanwhile. */
  private resolveBatch(
    batch: readonly PendingOperation[],
    operations: readonly ClaimOperation[],
    results: readonly OperationResult[],
  ): void {
    const finished = new Set<PendingOperation>()
    for (const [index, each] of batch.entries()) {
      const result = results[index]
      if (!result || each.operation !== operations[index]) continue
      finished.add(each)
      each.resolve(result)
    }
    this.pending = this.pending.filter((each) => !finished.has(each))
  }
}

function updateAverage(value: number, sample: number): number {
  return value + SMOOTHING_SHARE * (sample - value)
}
