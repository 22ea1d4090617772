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
import type { Wait } from "./timer.js"

const MAX_BATCH = 256
const MIN_BACKOFF_MS = 25
const MAX_BACKOFF_MS = 500
const MAX_CONFLICT_WAITS = 6

/** What the claims need of the platform's service. */
export type ClaimStore = Pick<PlatformPort, "read" | "compareAndSwap">

/** What a shard's writer works with. */
export interface ShardContext {
  readonly platform: ClaimStore
  readonly clock: Clock
  readonly wait: Wait
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
  private failures = 0
  private conflicts = 0

  constructor(
    private readonly key: string,
    private readonly context: ShardContext,
  ) {}

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
  withdraw(pending: PendingOperation): boolean {
    if (!this.pending.includes(pending)) return false
    const { key, id } = pending.operation
    pending.operation = { kind: "release", key, id }
    if (!pending.isAttempted) {
      this.pending = this.pending.filter((each) => each !== pending)
      pending.resolve({ kind: "applied" })
    }
    return true
  }

  private async run(): Promise<void> {
    this.isRunning = true
    while (this.pending.length > 0) {
      const isWritten = await this.commit()
      if (!isWritten) await this.context.wait(this.getBackoffMs())
    }
    this.isRunning = false
  }

  /** Reads the document, applies what is pending, and writes it. Returns false when that has to be tried again. */
  private async commit(): Promise<boolean> {
    const { platform, clock, limits } = this.context
    try {
      const current = await platform.read(this.key)
      this.lastRead = parseDocument(current?.value)
      const batch = this.pending.slice(0, MAX_BATCH)
      const operations = batch.map((each) => each.operation)
      const next = applyOperations(this.lastRead, operations, clock.wallNow(), limits)
      if (next.isChanged) {
        for (const each of batch) each.isAttempted = true
        const value = formatDocument(next.document)
        const isOurs = await platform.compareAndSwap(this.key, current?.revision ?? 0, value)
        if (!isOurs) return this.countConflict()
        this.lastRead = next.document
      }
      this.finish(batch, operations, next.results)
      this.failures = 0
      this.conflicts = 0
      return true
    } catch {
      this.failures++
      return false
    }
  }

  /** Resolves what was written, except operations that were withdrawn meanwhile. */
  private finish(
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

  private countConflict(): boolean {
    this.conflicts++
    this.failures = 0
    return false
  }

  private getBackoffMs(): number {
    const { phase } = this.context
    if (this.failures === 0) return phase * Math.min(this.conflicts, MAX_CONFLICT_WAITS)
    const backoff = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** this.failures)
    return backoff * (0.5 + phase / 2)
  }
}
