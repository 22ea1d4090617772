import type { AccountName, Millis } from "@galenaway/core"
import { FairShares, FairTurns, type GetWeight, type TurnRequest } from "./fair-turns.js"

/** A request that waits until its engine may read its prompt. */
export interface AdmissionRequest {
  readonly id: number
  readonly promptTokens: number
  /** Maximum number of tokens of the answer; 0 if it isn't known. */
  readonly outputTokens?: number
  /** The client account of the caller; undefined if its route needs none. */
  readonly account?: AccountName
  /** 0 is the most urgent. */
  readonly priority: number
  /** Time by which the first token is due. */
  readonly objectiveAt: Millis
  /** Time after which the request is refused. */
  readonly expiresAt: Millis
  /** Whether the request has missed its objective or will miss it. */
  readonly isLate: boolean
}

/** What becomes of a request. */
export type AdmissionDecision =
  /**
   * The engine may read the prompt now. `unreadTokens` are the prompt tokens that
   * it reads until the first token of this request, including those of others.
   * Defined only for the last of the prompts that begin a batch: it may read
   * others at the same time, or may still have to read earlier ones.
   */
  | { readonly kind: "granted"; readonly id: number; readonly unreadTokens?: number }
  /** The request can't start in time. `waitMs` is the time after which it could start. */
  | { readonly kind: "refused"; readonly id: number; readonly waitMs: Millis }

/** The speed of an engine and how long it may read without a break. */
export interface EnginePace {
  /** Prompt tokens that the engine reads in a millisecond while it reads nothing else. */
  readonly tokensPerMs: number
  /** Time from the end of the reading to the first token at the instance. */
  readonly firstTokenMs: Millis
  /** Time between two events of a stream while the engine reads no prompt. */
  readonly eventMs: Millis
  /** Longest time that the engine may read without a break, so that the pauses of its streams stay within their objective. */
  readonly batchMs: Millis
}

/** The places of an engine's batch. */
export interface EngineSlots {
  /** Places that no request uses; negative when more requests were sent than it has places. */
  readonly free: number
  /** Mean time after which the next place becomes free while all are used. */
  readonly turnoverMs: Millis
}

const UNLIMITED_SLOTS: EngineSlots = { free: Infinity, turnoverMs: 0 }

/** Requests of the next lower priority are ordered as if they were due later, by this share of the time until they are due. */
const PRIORITY_DELAY_SHARE = 0.25
/**
 * An account's requests go last when it is ahead of its share by more than this number
 * of mean requests. Requests arrive irregularly, so accounts that send what they usually
 * send are often ahead by a few.
 */
const MAX_LEAD_IN_TIME_COUNT = 8
/** The same limit while not all waiting requests can start in time. */
const MAX_LEAD_OVERLOADED_COUNT = 1

/** `cost` is the sum of the prompt and output tokens. */
interface Entry extends TurnRequest {
  readonly request: AdmissionRequest
  /** Entries of accounts that aren't beyond their shares are granted in ascending order of this time. */
  readonly orderedAt: Millis
}

/** A request that can't start in time, with the time after which it could start. */
interface TooLateRequest {
  readonly id: number
  readonly waitMs: Millis
}

/** The prompts that an engine was given to read without a break. */
interface Batch {
  readonly startsAt: Millis
  /** Expected end of the reading. */
  readonly endsAt: Millis
  readonly ms: Millis
}

/**
 * The order in which one engine reads prompts. An engine that reads prompts
 * produces no tokens for its running streams, so many prompts in a row delay the
 * next event of every stream. Prompts are granted in batches that fit into the
 * allowed pause; between two batches, each running stream gets one event. No more
 * requests are granted than the engine has places.
 *
 * Requests are ordered by the time at which they are due, the less urgent ones
 * later, so that urgent requests go first and none waits behind all others for good.
 * The requests of client accounts that are beyond their shares of the tokens follow,
 * so that no account's backlog delays the others. Decisions to refuse have the same
 * order, with less tolerance, so that the account with the backlog is refused first.
 *
 * A request that can't start in time is refused as soon as this is known. Late
 * requests are granted only while the engine reads nothing and no other request
 * waits. The caller passes the time and calls {@link takeDecisions} again at the
 * time that {@link getNextTime} returns.
 */
export class AdmissionQueue {
  private readonly onTime: Entry[] = []
  private readonly late: Entry[] = []
  private batch: Batch = { startsAt: -Infinity, endsAt: -Infinity, ms: 0 }
  private readonly shares: FairShares
  private allowedLeadCount = MAX_LEAD_IN_TIME_COUNT

  /** `getPace` returns the current estimates of the engine's speed, `getSlots` its free places. */
  constructor(
    private readonly getPace: () => EnginePace,
    private readonly getSlots: () => EngineSlots = () => UNLIMITED_SLOTS,
    getWeight?: GetWeight,
  ) {
    this.shares = new FairShares(getWeight)
  }

  /** Adds a request. */
  add(request: AdmissionRequest, now: Millis): void {
    const { priority, objectiveAt, isLate, promptTokens, outputTokens = 0, account } = request
    const delayMs = PRIORITY_DELAY_SHARE * priority * Math.max(0, objectiveAt - now)
    const cost = promptTokens + outputTokens
    const entry = {
      request,
      orderedAt: objectiveAt + delayMs,
      cost,
      ...(account !== undefined && { account }),
    }
    insertEntry(isLate ? this.late : this.onTime, entry)
    this.shares.recordRequest(account, now)
  }

  /** Removes a request whose caller has left. Has no effect when it was decided before. */
  remove(id: number): void {
    for (const entries of [this.onTime, this.late]) {
      const index = entries.findIndex(({ request }) => request.id === id)
      if (index >= 0) entries.splice(index, 1)
    }
  }

  /** Takes the decisions that are due. */
  takeDecisions(now: Millis): readonly AdmissionDecision[] {
    return [...this.takeExpired(now), ...this.takeTooLate(now), ...this.takeGrants(now)]
  }

  /** Returns the time at which the next decision is due, or undefined when no request waits. */
  getNextTime(): Millis | undefined {
    const [first = this.late[0]] = this.onTime
    if (!first) return undefined
    const expiresAt = Math.min(
      ...[...this.onTime, ...this.late].map(({ request }) => request.expiresAt),
    )
    // A report of a request that has ended brings the next decision.
    if (this.getSlots().free <= 0) return expiresAt
    return Math.min(this.computeBreakEnd(this.batch), expiresAt)
  }

  private takeGrants(now: Millis): readonly AdmissionDecision[] {
    const ids: number[] = []
    const { free } = this.getSlots()
    while (ids.length < free) {
      const id = this.takeGrant(now)
      if (id === undefined) break
      ids.push(id)
    }
    const { startsAt, ms } = this.batch
    const unreadTokens = Math.round(ms * this.getPace().tokensPerMs)
    return ids.map((id, index) => {
      const isLast = startsAt === now && index === ids.length - 1
      return { kind: "granted", id, ...(isLast && { unreadTokens }) }
    })
  }

  /** Takes the next request that the engine may read now. */
  private takeGrant(now: Millis): number | undefined {
    const entries = this.onTime.length > 0 ? this.onTime : this.late
    const turns = new FairTurns(entries, this.shares, this.allowedLeadCount)
    const entry = turns.peek()
    if (!entry) return undefined
    const { id, isLate } = entry.request
    if (isLate && now < this.computeBreakEnd(this.batch)) return undefined
    const { startsAt, batch } = this.extendBatch(this.batch, entry.request, now)
    if (startsAt > now) return undefined
    this.batch = batch
    turns.serve(entry, now)
    this.remove(id)
    return id
  }

  private takeExpired(now: Millis): readonly AdmissionDecision[] {
    return [...this.onTime, ...this.late]
      .filter(({ request }) => now >= request.expiresAt)
      .map(({ request: { id } }) =>
        this.refuse({ id, waitMs: this.computeBreakEnd(this.batch) - now }),
      )
  }

  /** Takes the requests that would start too late behind the ones before them. */
  private takeTooLate(now: Millis): readonly AdmissionDecision[] {
    this.allowedLeadCount = MAX_LEAD_IN_TIME_COUNT
    const tooLate = this.listTooLate(now)
    if (tooLate.length === 0 || !this.shares.isDivided)
      return tooLate.map((request) => this.refuse(request))
    // Not all can start in time, so requests of accounts with a backlog are ordered last, and refused first.
    this.allowedLeadCount = MAX_LEAD_OVERLOADED_COUNT
    const refused = this.listTooLate(now).map((request) => this.refuse(request))
    // Those that are left may start in time only in the order by which the others were refused.
    this.allowedLeadCount = MAX_LEAD_IN_TIME_COUNT
    if (this.listTooLate(now).length > 0) this.allowedLeadCount = MAX_LEAD_OVERLOADED_COUNT
    return refused
  }

  private listTooLate(now: Millis): readonly TooLateRequest[] {
    const tooLate: TooLateRequest[] = []
    const { firstTokenMs, eventMs } = this.getPace()
    const { free, turnoverMs } = this.getSlots()
    const shares = this.shares.copy()
    let batch = this.batch
    let slotAt = now
    let ahead = 0
    for (const entries of [this.onTime, this.late]) {
      const turns = new FairTurns(entries, shares, this.allowedLeadCount)
      for (let entry = turns.peek(); entry; entry = turns.peek()) {
        const { request } = entry
        if (ahead >= free) slotAt += turnoverMs
        const { startsAt, batch: next } = this.extendBatch(batch, request, slotAt)
        // An event more than expected, since the engine may just have begun a step.
        const firstTokenAt = next.endsAt + firstTokenMs + eventMs
        const isInTime = request.isLate || firstTokenAt <= request.objectiveAt
        if (isInTime && startsAt <= request.expiresAt) {
          turns.serve(entry, now)
          batch = next
          ahead++
        } else {
          turns.remove(entry)
          tooLate.push({ id: request.id, waitMs: startsAt - now })
        }
      }
    }
    return tooLate
  }

  private refuse({ id, waitMs }: TooLateRequest): AdmissionDecision {
    this.remove(id)
    return { kind: "refused", id, waitMs: Math.max(0, waitMs) }
  }

  /** Returns when a request can start after a batch, and the batch that it is then part of. A request that doesn't fit into the batch begins the next one. */
  private extendBatch(
    batch: Batch,
    request: AdmissionRequest,
    now: Millis,
  ): { startsAt: Millis; batch: Batch } {
    const { tokensPerMs, batchMs } = this.getPace()
    const ms = request.promptTokens / tokensPerMs
    const breakEnd = this.computeBreakEnd(batch)
    if (now < breakEnd && batch.ms + ms <= batchMs) {
      const endsAt = Math.max(now, batch.endsAt) + ms
      return {
        startsAt: Math.max(now, batch.startsAt),
        batch: { ...batch, endsAt, ms: batch.ms + ms },
      }
    }
    const startsAt = Math.max(now, breakEnd)
    return { startsAt, batch: { startsAt, endsAt: startsAt + ms, ms } }
  }

  private computeBreakEnd({ endsAt }: Batch): Millis {
    return endsAt + this.getPace().eventMs
  }
}

function insertEntry(entries: Entry[], entry: Entry): void {
  const index = entries.findIndex(({ orderedAt }) => orderedAt > entry.orderedAt)
  entries.splice(index < 0 ? entries.length : index, 0, entry)
}
