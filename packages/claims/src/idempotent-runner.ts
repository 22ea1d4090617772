import { createHash } from "node:crypto"
import {
  type Clock,
  GalenawayError,
  type Incarnation,
  RefusedError,
  UnknownOutcomeError,
} from "@galenaway/core"
import { type ClaimOperation, findRecord, type OperationResult } from "./document.js"
import { type ClaimKey, createClaimKey, getShardIndex, type KeyedCall } from "./key.js"
import { type ClaimLimits, DEFAULT_CLAIM_LIMITS } from "./limits.js"
import type { ClaimRecord, RecordedAnswer, Settlement } from "./record.js"
import { type ClaimStore, ShardWriter } from "./shard.js"
import type { WaitFunction } from "./wait.js"

const MIN_POLL_MS = 25
const MAX_POLL_MS = 400
const DRAIN_POLL_MS = 20
const BYTE_VALUE_COUNT = 256

/** The dependencies and settings of an {@link IdempotentRunner}. */
export interface IdempotentRunnerOptions {
  readonly platform: ClaimStore
  /** Identifies the incarnation of the process that claims. It must be unique to this runner. */
  readonly author: Incarnation
  readonly clock: Clock
  readonly wait: WaitFunction
  /**
   * Returns whether another author may still settle its claims. If left out, every
   * author counts as alive.
   */
  readonly isAlive?: (author: Incarnation) => boolean
  readonly limits?: Partial<ClaimLimits>
  /** Called after the platform has stored a claim or a settlement; `key` is the key's digest. */
  readonly onEvent?: (kind: "claim-written" | "claim-settled", key: string) => void
}

/** The answer of a call that ran exactly once. */
export interface ClaimedAnswer {
  readonly status: number
  /** Undefined if the call ran earlier and its body was too large to record or is no longer stored. */
  readonly body: string | undefined
  /** Whether the answer comes from an earlier call under the same key. */
  readonly isReplayed: boolean
}

interface PendingCall {
  readonly fingerprint: string
  readonly answer: Promise<ClaimedAnswer>
}

/**
 * Runs each call at most once under its idempotency key. The platform's service
 * only has to support compare-and-swap on single values.
 */
export class IdempotentRunner {
  private readonly limits: ClaimLimits
  private readonly shards: readonly ShardWriter[]
  private readonly pendingCalls = new Map<string, PendingCall>()
  private unwrittenCount = 0
  private lastClaimId = 0

  constructor(private readonly options: IdempotentRunnerOptions) {
    this.limits = { ...DEFAULT_CLAIM_LIMITS, ...options.limits }
    const phase = (createHash("sha256").update(options.author).digest()[0] ?? 0) / BYTE_VALUE_COUNT
    const shardOptions = { ...options, limits: this.limits, phase }
    this.shards = Array.from(
      { length: this.limits.shards },
      (_, index) => new ShardWriter(`galenaway/claims/${index}`, shardOptions),
    )
  }

  /**
   * The number of calls without a stored settlement, plus the number of operations
   * that aren't stored yet.
   */
  get pendingCount(): number {
    return this.pendingCalls.size + this.unwrittenCount
  }

  /**
   * Claims the call's key, then calls `send`. If a call under the same key ran
   * before, returns its recorded answer instead. `send` may fail with the outcome
   * `not-run` only if no byte was sent, since the claim is then released and a
   * retry can run. Throws a RefusedError if the call hasn't run and won't run,
   * an UnknownOutcomeError if it may have run, and any error of `send` unchanged.
   */
  async runOnce(call: KeyedCall, send: () => Promise<RecordedAnswer>): Promise<ClaimedAnswer> {
    const key = createClaimKey(call, this.options.clock.wallNow())
    const earlier = this.pendingCalls.get(key.digest)
    if (earlier) return this.waitForPending(earlier, key)
    if (this.pendingCount >= this.limits.maxOpen)
      throw new RefusedError("overloaded", "claim", "self", "too many claims are open")
    const answer = this.claimAndSend(key, send)
    this.pendingCalls.set(key.digest, { fingerprint: key.fingerprint, answer })
    return answer
  }

  /**
   * Waits until every call is settled and every operation is stored, for at most
   * `limitMs` milliseconds. Returns the remaining {@link pendingCount}.
   */
  async drain(limitMs: number): Promise<number> {
    const { clock, wait } = this.options
    const endMs = clock.now() + limitMs
    while (this.pendingCount > 0 && clock.now() < endMs) await wait(DRAIN_POLL_MS)
    return this.pendingCount
  }

  private async waitForPending(earlier: PendingCall, key: ClaimKey): Promise<ClaimedAnswer> {
    checkFingerprint(earlier.fingerprint, key)
    const timer = new AbortController()
    const timeout = this.options.wait(this.limits.replayWaitMs, timer.signal)
    const answer = await Promise.race([earlier.answer, timeout]).finally(() => {
      timer.abort()
    })
    if (!answer) throw createInProgressError()
    return { ...answer, isReplayed: true }
  }

  private async claimAndSend(
    key: ClaimKey,
    send: () => Promise<RecordedAnswer>,
  ): Promise<ClaimedAnswer> {
    let claim: number | ClaimedAnswer
    try {
      claim = await this.acquireClaim(key)
    } catch (error) {
      this.pendingCalls.delete(key.digest)
      throw error
    }
    if (typeof claim !== "number") {
      this.pendingCalls.delete(key.digest)
      return claim
    }
    return this.sendAndSettle(key, claim, send)
  }

  /**
   * Returns the id of the written claim, or the recorded answer of an earlier
   * call. While another author has the claim, polls until `replayWaitMs` is over.
   */
  private async acquireClaim(key: ClaimKey): Promise<number | ClaimedAnswer> {
    const { clock, wait } = this.options
    const endMs = clock.now() + this.limits.replayWaitMs
    let isHeld = false
    for (let pollMs = MIN_POLL_MS; ; pollMs = Math.min(MAX_POLL_MS, 2 * pollMs)) {
      const id = ++this.lastClaimId
      const result = await this.writeClaim(key, id)
      if (!result) return this.resolveWithoutPlatform(key, isHeld)
      if (result.kind === "applied") return id
      const answer = this.resolveResult(key, result)
      if (answer) return answer
      isHeld = true
      if (clock.now() >= endMs) throw createInProgressError()
      await wait(pollMs)
    }
  }

  /** Writes a claim. If the platform doesn't confirm it in time, releases it and returns undefined. */
  private async writeClaim(key: ClaimKey, id: number): Promise<OperationResult | undefined> {
    const { author, wait } = this.options
    const { pending, result } = this.submit({ kind: "claim", key, id, author })
    const timer = new AbortController()
    const timeout = wait(this.limits.claimTimeoutMs, timer.signal)
    const timelyResult = await Promise.race([result, timeout])
    timer.abort()
    if (!timelyResult && this.getWriter(key).cancel(pending)) return undefined
    const final = await result
    if (final.kind === "applied") this.options.onEvent?.("claim-written", key.digest)
    return final
  }

  private async sendAndSettle(
    key: ClaimKey,
    id: number,
    send: () => Promise<RecordedAnswer>,
  ): Promise<ClaimedAnswer> {
    try {
      const answer = await send()
      this.submitSettlement(key, id, this.createSettlement(answer))
      return { ...answer, isReplayed: false }
    } catch (error) {
      if (error instanceof GalenawayError && error.outcome === "not-run") {
        this.submit({ kind: "release", key, author: this.options.author, id })
        this.pendingCalls.delete(key.digest)
      } else this.submitSettlement(key, id, { state: "unknown" })
      throw error
    }
  }

  /**
   * Writes a settlement in the background. Until it is stored, retries at this
   * instance get the pending call's answer.
   */
  private submitSettlement(key: ClaimKey, id: number, settlement: Settlement): void {
    const { result } = this.submit({
      kind: "settle",
      key,
      author: this.options.author,
      id,
      settlement,
    })
    void result.then(() => {
      this.pendingCalls.delete(key.digest)
      this.options.onEvent?.("claim-settled", key.digest)
    })
  }

  private submit(operation: ClaimOperation) {
    const submitted = this.getWriter(operation.key).submit(operation)
    this.unwrittenCount++
    void submitted.result.then(() => this.unwrittenCount--)
    return submitted
  }

  private getWriter({ digest }: ClaimKey): ShardWriter {
    const writer = this.shards[getShardIndex(digest, this.shards.length)]
    if (!writer) throw new RangeError(`the key ${digest} has no shard`)
    return writer
  }

  private createSettlement({ status, body }: RecordedAnswer): Settlement {
    const isSmall = Buffer.byteLength(body) <= this.limits.bodyBytes
    return { state: "done", status, ...(isSmall ? { body } : {}) }
  }

  /**
   * Resolves a call whose claim the platform didn't confirm, from the shard as it
   * was last read. Throws a RefusedError if that has no record of the key and
   * `isHeld` is false, that is, no earlier attempt found a claim of the key.
   */
  private resolveWithoutPlatform(key: ClaimKey, isHeld: boolean): ClaimedAnswer {
    const found = findRecord(this.getWriter(key).lastRead, key)
    const answer = found && this.resolveResult(key, found)
    if (answer) return answer
    if (found || isHeld) throw createInProgressError()
    const message = "the platform did not confirm the claim, so the call is not sent"
    throw new RefusedError("platform-down", "claim", "platform", message)
  }

  /**
   * Returns the recorded answer, or undefined while the claim's author may still
   * settle it. Throws in all other cases.
   */
  private resolveResult(key: ClaimKey, result: OperationResult): ClaimedAnswer | undefined {
    switch (result.kind) {
      case "applied":
        return undefined
      case "held":
        checkFingerprint(result.record.fingerprint, key)
        return this.resolveRecord(result.record)
      case "expired":
        throw new UnknownOutcomeError("conflict", "claim", "platform", "the key is too old")
      case "full":
        throw new RefusedError("overloaded", "claim", "platform", "too many keys are remembered")
    }
  }

  private resolveRecord(record: ClaimRecord): ClaimedAnswer | undefined {
    switch (record.state) {
      case "done":
        return { status: record.status, body: record.body, isReplayed: true }
      case "unknown":
        throw createInProgressError()
      case "claimed":
        if (
          record.author !== this.options.author &&
          this.options.isAlive?.(record.author) === false
        )
          throw createInProgressError()
        return undefined
    }
  }
}

function createInProgressError(): UnknownOutcomeError {
  const message = "claimed by an earlier call, whose outcome is not known"
  return new UnknownOutcomeError("in-progress", "claim", "platform", message)
}

function checkFingerprint(recorded: string, { fingerprint }: ClaimKey): void {
  if (recorded === fingerprint) return
  const message = "the key was used with another body"
  throw new RefusedError("conflict", "claim", "platform", message)
}
