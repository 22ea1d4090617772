import type { Millis } from "@galenaway/core"
import type { PartId } from "./crash-evidence.js"

/**
 * Whether a request part is in quarantine. The generation is odd while it is, and
 * grows with each change, so that of two states the one with the higher
 * generation is the newer one on every instance.
 */
export interface PartState {
  readonly part: PartId
  readonly generation: number
  /** Number of engines that the part had ended when it was quarantined. */
  readonly endCount: number
}

/** A quarantined part, for operators. */
export interface QuarantinedPart extends PartState {
  /** Time since this instance has known of it. */
  readonly heldMs: Millis
  /** Time until a request with the part may be tried, if the part isn't cleared before. */
  readonly trialInMs: Millis
}

interface Row {
  readonly state: PartState
  readonly since: Millis
  trialAt: Millis
  isTried: boolean
}

const FIRST_TRIAL_MS = 600_000
const MAX_TRIAL_MS = 86_400_000
/** A trial that has shown nothing after this time may be repeated. */
const TRIAL_TIMEOUT_MS = 30_000
const MAX_ROW_COUNT = 128

/**
 * The request parts that no engine may get. After a while one request with a part
 * may be tried; the time is doubled with each quarantine of the same part.
 */
export class PartQuarantine {
  private readonly rows = new Map<PartId, Row>()

  /** Returns whether a part is in quarantine. */
  has(part: PartId): boolean {
    return isHeld(this.rows.get(part)?.state)
  }

  /** Puts a part in quarantine, again if it is there. Returns its new state. */
  add(part: PartId, endCount: number, now: Millis): PartState {
    const generation = this.rows.get(part)?.state.generation ?? 0
    const state = { part, generation: generation + (generation % 2 === 0 ? 1 : 2), endCount }
    this.set(state, now)
    return state
  }

  /** Takes a part out of quarantine. Returns its new state, or undefined if it isn't there. */
  clear(part: PartId, now: Millis): PartState | undefined {
    const known = this.rows.get(part)?.state
    if (!known || !isHeld(known)) return undefined
    const state = { ...known, generation: known.generation + 1 }
    this.set(state, now)
    return state
  }

  /** Applies the state that another instance has sent. Returns whether it is newer than the known one. */
  merge(state: PartState, now: Millis): boolean {
    const known = this.rows.get(state.part)?.state.generation ?? 0
    if (state.generation <= known) return false
    this.set(state, now)
    return true
  }

  /** Takes the trial that is due for a part. Returns false if none is due. */
  acquireTrial(part: PartId, now: Millis): boolean {
    const row = this.rows.get(part)
    if (!row || now < row.trialAt) return false
    row.trialAt = now + TRIAL_TIMEOUT_MS
    row.isTried = true
    return true
  }

  /** Returns whether a trial of a part was taken since it was quarantined. */
  isTried(part: PartId): boolean {
    return this.rows.get(part)?.isTried ?? false
  }

  /** Returns the time until a trial of a part is due, 0 if one is. */
  getTrialWait(part: PartId, now: Millis): Millis {
    return Math.max(0, (this.rows.get(part)?.trialAt ?? now) - now)
  }

  /** Lists the states of all known parts, those in quarantine and those that were cleared. */
  listStates(): readonly PartState[] {
    return [...this.rows.values()].map(({ state }) => state)
  }

  /** Lists the parts in quarantine. */
  listHeld(now: Millis): readonly QuarantinedPart[] {
    return [...this.rows.values()].flatMap(({ state, since }) =>
      isHeld(state)
        ? [{ ...state, heldMs: now - since, trialInMs: this.getTrialWait(state.part, now) }]
        : [],
    )
  }

  private set(state: PartState, now: Millis): void {
    const { part, generation } = state
    this.rows.delete(part)
    const trialMs = Math.min(MAX_TRIAL_MS, FIRST_TRIAL_MS * 2 ** Math.floor(generation / 2))
    this.rows.set(part, { state, since: now, trialAt: now + trialMs, isTried: false })
    if (this.rows.size > MAX_ROW_COUNT) this.removeOldest()
  }

  /** Removes the oldest cleared part, or the oldest one if none was cleared. */
  private removeOldest(): void {
    const [oldest] = this.rows.keys()
    const cleared = [...this.rows.values()].find(({ state }) => !isHeld(state))
    const removed = cleared?.state.part ?? oldest
    if (removed !== undefined) this.rows.delete(removed)
  }
}

/** Returns whether a state means that its part is in quarantine. */
export function isHeld(state: PartState | undefined): boolean {
  return state !== undefined && state.generation % 2 === 1
}
