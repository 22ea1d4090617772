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

/** What a keeper works with. */
export interface IdempotentRunnerOptions {
  readonly platform: ClaimStore
  /** The run of the process that claims. No two may use the same. */
  readonly author: Incarnation
  readonly clock: Clock
  readonly wait: WaitFunction
  /** Tells whether another author may still settle its claims. Without it, each is taken to be alive. */
  readonly isAlive?: (author: Incarnation) => boolean
  readonly limits?: Partial<ClaimLimits>
  readonly onEvent?: (kind: "claim-written" | "claim-settled", key: string) => void
}

/** The answer of a call that ran once. */
export interface ClaimedAnswer {
  readonly status: number
  /** Undefined when the call ran earlier and its body is no longer kept. */
  readonly body: string | undefined
  /** Whether the answer was recorded by an earlier call under the same key. */
  readonly isReplayed: boolean
}

interface PendingCall {
  readonly fingerprint: string
  readonly answer: Promise<ClaimedAnswer>
}

/**
 * Runs calls at most once under their idempotency keys, over a service that
 * offers only compare-and-swap on single values.
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
    const context = { ...options, limits: this.limits, phase }
    this.shards = Array.from(
      { length: this.limits.shards },
      (_, index) => new ShardWriter(`galenaway/claims/${index}`, context),
    )
  }

  /** Calls that run, and writes that the platform doesn't have yet. */
  get pendingCount(): number {
    return this.pendingCalls.size + this.unwrittenCount
  }

  /**
   * Claims the call's key, then sends it. `send` must fail with the outcome
   * `not-run` only when no byte can have left: then a retry may run. A call
   * that ran gives its recorded answer. Throws a RefusedError when the call
   * wasn't sent and won't be, and an UnknownOutcomeError when it may have run.
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

  /** Waits until the platform has every settlement, at most the given time. Returns how many it lacks. */
  async drain(limitMs: number): Promise<number> {
    const { clock, wait } = this.options
    const end = clock.now() + limitMs
    while (this.pendingCount > 0 && clock.now() < end) await wait(DRAIN_POLL_MS)
    return this.pendingCount
  }

  private async waitForPending(earlier: PendingCall, key: ClaimKey): Promise<ClaimedAnswer> {
    checkFingerprint(earlier.fingerprint, key)
    const timer = new AbortController()
    const late = this.options.wait(this.limits.replayWaitMs, timer.signal)
    const answer = await Promise.race([earlier.answer, late]).finally(() => {
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

  /** Returns the id of the written claim, or the recorded answer of an earlier call. */
  private async acquireClaim(key: ClaimKey): Promise<number | ClaimedAnswer> {
    const { clock, wait } = this.options
    const end = clock.now() + this.limits.replayWaitMs
    let isHeld = false
    for (let pollMs = MIN_POLL_MS; ; pollMs = Math.min(MAX_POLL_MS, 2 * pollMs)) {
      const id = ++this.lastClaimId
      const result = await this.writeClaim(key, id)
      if (!result) return this.resolveWithoutPlatform(key, isHeld)
      if (result.kind === "applied") return id
      const answer = this.resolveResult(key, result)
      if (answer) return answer
      isHeld = true
      if (clock.now() >= end) throw createInProgressError()
      await wait(pollMs)
    }
  }

  /** Writes a claim. Returns undefined when the platform didn't confirm it in time; it is then taken back. */
  private async writeClaim(key: ClaimKey, id: number): Promise<OperationResult | undefined> {
    const { author, wait } = this.options
    const { pending, result } = this.submit({ kind: "claim", key, id, author })
    const timer = new AbortController()
    const late = wait(this.limits.claimTimeoutMs, timer.signal)
    const first = await Promise.race([result, late])
    timer.abort()
    if (!first && this.getWriter(key).cancel(pending)) return undefined
    const known = await result
    if (known.kind === "applied") this.options.onEvent?.("claim-written", key.digest)
    return known
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

  /** Writes a settlement in the background. Until the platform has it, retries here find the open call. */
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
    if (!writer) throw new RangeError("no such shard")
    return writer
  }

  private createSettlement({ status, body }: RecordedAnswer): Settlement {
    const isSmall = Buffer.byteLength(body) <= this.limits.bodyBytes
    return { state: "done", status, ...(isSmall ? { body } : {}) }
  }

  /** Without the platform a call runs only if it was claimed before; what was read earlier may tell of it. */
  private resolveWithoutPlatform(key: ClaimKey, isHeld: boolean): ClaimedAnswer {
    const known = findRecord(this.getWriter(key).lastRead, key)
    const answer = known && this.resolveResult(key, known)
    if (answer) return answer
    if (known || isHeld) throw createInProgressError()
    const message = "the platform did not confirm the claim, so the call is not sent"
    throw new RefusedError("platform-down", "claim", "platform", message)
  }

  /** Returns the recorded answer; undefined while its author may still settle it. Throws otherwise. */
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
