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

const FIRST_POLL_MS = 25
const MAX_POLL_MS = 400
const DRAIN_POLL_MS = 20
const BYTE_VALUES = 256

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

interface OpenCall {
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
  private readonly open = new Map<string, OpenCall>()
  private unwritten = 0
  private claims = 0

  constructor(private readonly parts: IdempotentRunnerOptions) {
    this.limits = { ...DEFAULT_CLAIM_LIMITS, ...parts.limits }
    const phase = (createHash("sha256").update(parts.author).digest()[0] ?? 0) / BYTE_VALUES
    const context = { ...parts, limits: this.limits, phase }
    this.shards = Array.from(
      { length: this.limits.shards },
      (_, index) => new ShardWriter(`galenaway/claims/${index}`, context),
    )
  }

  /** Calls that run, and writes that the platform doesn't have yet. */
  get pendingCount(): number {
    return this.open.size + this.unwritten
  }

  /**
   * Claims the call's key, then sends it. `send` must fail with the outcome
   * `not-run` only when no byte can have left: then a retry may run. A call
   * that ran gives its recorded answer. Throws a RefusedError when the call
   * wasn't sent and won't be, and an UnknownOutcomeError when it may have run.
   */
  async runOnce(call: KeyedCall, send: () => Promise<RecordedAnswer>): Promise<ClaimedAnswer> {
    const key = createClaimKey(call, this.parts.clock.wallNow())
    const earlier = this.open.get(key.digest)
    if (earlier) return this.joinCall(earlier, key)
    if (this.pendingCount >= this.limits.maxOpen)
      throw new RefusedError("overloaded", "claim", "self", "too many claims are open")
    const answer = this.claimAndSend(key, send)
    this.open.set(key.digest, { fingerprint: key.fingerprint, answer })
    return answer
  }

  /** Waits until the platform has every settlement, at most the given time. Returns how many it lacks. */
  async drain(limitMs: number): Promise<number> {
    const { clock, wait } = this.parts
    const end = clock.now() + limitMs
    while (this.pendingCount > 0 && clock.now() < end) await wait(DRAIN_POLL_MS)
    return this.pendingCount
  }

  private async joinCall(earlier: OpenCall, key: ClaimKey): Promise<ClaimedAnswer> {
    checkFingerprint(earlier.fingerprint, key)
    const timer = new AbortController()
    const late = this.parts.wait(this.limits.replayWaitMs, timer.signal)
    const answer = await Promise.race([earlier.answer, late]).finally(() => {
      timer.abort()
    })
    if (!answer) throw describeClaimed()
    return { ...answer, isReplayed: true }
  }

  private async claimAndSend(
    key: ClaimKey,
    send: () => Promise<RecordedAnswer>,
  ): Promise<ClaimedAnswer> {
    let claim: number | ClaimedAnswer
    try {
      claim = await this.claim(key)
    } catch (error) {
      this.open.delete(key.digest)
      throw error
    }
    if (typeof claim !== "number") {
      this.open.delete(key.digest)
      return claim
    }
    return this.sendClaimed(key, claim, send)
  }

  /** Returns the id of the written claim, or the recorded answer of an earlier call. */
  private async claim(key: ClaimKey): Promise<number | ClaimedAnswer> {
    const { clock, wait } = this.parts
    const end = clock.now() + this.limits.replayWaitMs
    let isHeld = false
    for (let pollMs = FIRST_POLL_MS; ; pollMs = Math.min(MAX_POLL_MS, 2 * pollMs)) {
      const id = ++this.claims
      const result = await this.writeClaim(key, id)
      if (!result) return this.answerWithoutPlatform(key, isHeld)
      if (result.kind === "applied") return id
      const answer = this.judgeResult(key, result)
      if (answer) return answer
      isHeld = true
      if (clock.now() >= end) throw describeClaimed()
      await wait(pollMs)
    }
  }

  /** Writes a claim. Returns undefined when the platform didn't confirm it in time; it is then taken back. */
  private async writeClaim(key: ClaimKey, id: number): Promise<OperationResult | undefined> {
    const { author, wait } = this.parts
    const { pending, result } = this.submit({ kind: "claim", key, id, author })
    const timer = new AbortController()
    const late = wait(this.limits.claimTimeoutMs, timer.signal)
    const first = await Promise.race([result, late])
    timer.abort()
    if (!first && this.getWriter(key).cancel(pending)) return undefined
    const known = await result
    if (known.kind === "applied") this.parts.onEvent?.("claim-written", key.digest)
    return known
  }

  private async sendClaimed(
    key: ClaimKey,
    id: number,
    send: () => Promise<RecordedAnswer>,
  ): Promise<ClaimedAnswer> {
    try {
      const answer = await send()
      this.settle(key, id, this.describeAnswer(answer))
      return { ...answer, isReplayed: false }
    } catch (error) {
      if (error instanceof GalenawayError && error.outcome === "not-run") {
        this.submit({ kind: "release", key, author: this.parts.author, id })
        this.open.delete(key.digest)
      } else this.settle(key, id, { state: "unknown" })
      throw error
    }
  }

  /** Writes a settlement in the background. Until the platform has it, retries here find the open call. */
  private settle(key: ClaimKey, id: number, settlement: Settlement): void {
    const { result } = this.submit({
      kind: "settle",
      key,
      author: this.parts.author,
      id,
      settlement,
    })
    void result.then(() => {
      this.open.delete(key.digest)
      this.parts.onEvent?.("claim-settled", key.digest)
    })
  }

  private submit(operation: ClaimOperation) {
    const submitted = this.getWriter(operation.key).submit(operation)
    this.unwritten++
    void submitted.result.then(() => this.unwritten--)
    return submitted
  }

  private getWriter({ digest }: ClaimKey): ShardWriter {
    const writer = this.shards[getShardIndex(digest, this.shards.length)]
    if (!writer) throw new RangeError("no such shard")
    return writer
  }

  private describeAnswer({ status, body }: RecordedAnswer): Settlement {
    const isSmall = Buffer.byteLength(body) <= this.limits.bodyBytes
    return { state: "done", status, ...(isSmall ? { body } : {}) }
  }

  /** Without the platform a call runs only if it was claimed before; what was read earlier may tell of it. */
  private answerWithoutPlatform(key: ClaimKey, isHeld: boolean): ClaimedAnswer {
    const known = findRecord(this.getWriter(key).lastRead, key)
    const answer = known && this.judgeResult(key, known)
    if (answer) return answer
    if (known || isHeld) throw describeClaimed()
    const message = "the platform did not confirm the claim, so the call is not sent"
    throw new RefusedError("platform-down", "claim", "platform", message)
  }

  /** Returns the recorded answer; undefined while its author may still settle it. Throws otherwise. */
  private judgeResult(key: ClaimKey, result: OperationResult): ClaimedAnswer | undefined {
    switch (result.kind) {
      case "applied":
        return undefined
      case "held":
        checkFingerprint(result.record.fingerprint, key)
        return this.judgeRecord(result.record)
      case "expired":
        throw new UnknownOutcomeError("conflict", "claim", "platform", "the key is too old")
      case "full":
        throw new RefusedError("overloaded", "claim", "platform", "too many keys are remembered")
    }
  }

  private judgeRecord(record: ClaimRecord): ClaimedAnswer | undefined {
    switch (record.state) {
      case "done":
        return { status: record.status, body: record.body, isReplayed: true }
      case "unknown":
        throw describeClaimed()
      case "claimed":
        if (record.author !== this.parts.author && this.parts.isAlive?.(record.author) === false)
          throw describeClaimed()
        return undefined
    }
  }
}

function describeClaimed(): UnknownOutcomeError {
  const message = "claimed by an earlier call, whose outcome is not known"
  return new UnknownOutcomeError("in-progress", "claim", "platform", message)
}

function checkFingerprint(recorded: string, { fingerprint }: ClaimKey): void {
  if (recorded === fingerprint) return
  const message = "the key was used with another body"
  throw new RefusedError("conflict", "claim", "platform", message)
}
