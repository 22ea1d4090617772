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
/** The longest pause under contention, in rounds of a read and a write. */
const MAX_PAUSE_ROUND_COUNT = 16
/** The average number of conflicts per successful write from which a shard counts as contended. */
const MIN_AVERAGE_CONFLICT_COUNT = 0.1
/** The weight of a new sample in the moving averages. */
const SMOOTHING_SHARE = 0.2
/** The reciprocal of the golden ratio. Its multiples, modulo 1, are evenly spread from 0 to 1. */
const GOLDEN_RATIO_RECIPROCAL = 0.618_033_988_75

/** The operations of the platform's service that claims use. */
export type ClaimStore = Pick<PlatformPort, "read" | "compareAndSwap">

/** The dependencies and settings of a {@link ShardWriter}. */
export interface ShardWriterOptions {
  readonly platform: ClaimStore
  readonly clock: Clock
  readonly wait: WaitFunction
  readonly limits: ClaimLimits
  /**
   * The start of the jitter sequence, from 0 to 1. It should differ between
   * instances so that their retries don't coincide.
   */
  readonly phase: number
}

/** An operation that is not yet known to be in the shard's document. */
export interface PendingOperation {
  operation: ClaimOperation
  /** Whether a write that contains it may have reached the platform. */
  isAttempted: boolean
  readonly resolve: (result: OperationResult) => void
}

type BatchOutcome = "written" | "conflict" | "failed"

/**
 * Writes one shard's operations in batches, one write at a time. Each write is
 * based on a new read, so the next round resolves a lost reply: if the operation
 * took effect, the document contains it under its claim's id.
 */
export class ShardWriter {
  /** The document as it was last read or written. It may be outdated. */
  lastRead: ShardDocument = EMPTY_DOCUMENT
  private pending: PendingOperation[] = []
  private isRunning = false
  private failureCount = 0
  private conflictCount = 0
  /** Moving average of the conflicts before each successful write. */
  private averageConflictCount = 0
  /** Moving average of the duration of a read and a write. */
  private averageRoundMs = 0
  private jitter: number

  constructor(
    private readonly key: string,
    private readonly options: ShardWriterOptions,
  ) {
    this.jitter = options.phase
  }

  /** Queues an operation. `result` resolves when its result is final, and never rejects. */
  submit(operation: ClaimOperation): {
    pending: PendingOperation
    result: Promise<OperationResult>
  } {
    let resolve: (result: OperationResult) => void = () => undefined
    const result = new Promise<OperationResult>((resolveResult) => (resolve = resolveResult))
    const pending = { operation, isAttempted: false, resolve }
    this.pending.push(pending)
    if (!this.isRunning) void this.run()
    return { pending, result }
  }

  /**
   * Replaces a pending claim by its release. The claim's result resolves when the
   * claim can no longer take effect. Returns false if it is already resolved.
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

  /** Reads the document, applies pending operations to it, and writes it back. */
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
        const isWritten = await platform.compareAndSwap(this.key, current?.revision ?? 0, value)
        this.averageRoundMs = updateAverage(this.averageRoundMs, clock.now() - start)
        if (!isWritten) return "conflict"
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
   * Returns the pause before the next round, in milliseconds. After a failure it
   * is an exponential backoff. While instances contend for the shard, it grows
   * with their average conflicts and halves with each conflict of this instance,
   * so that no instance starves. Operations submitted meanwhile join the batch.
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

  /** Returns the next value of an evenly spread sequence from 0 to 1. Its start differs between instances. */
  private updateJitter(): number {
    this.jitter = (this.jitter + GOLDEN_RATIO_RECIPROCAL) % 1
    return this.jitter
  }

  /** Resolves the written operations, except those canceled during the write. */
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
