import type { Millis } from "@galenaway/core"
import type {
  AdmissionDecision,
  AdmissionRequest,
  EnginePace,
  EngineSlots,
} from "@galenaway/policy"

const UNLIMITED_SLOTS: EngineSlots = { free: Infinity, turnoverMs: 0 }

const PRIORITY_DELAY_SHARE = 0.25

interface Entry {
  readonly request: AdmissionRequest
  readonly orderedAt: Millis
}

interface Batch {
  readonly startsAt: Millis
  readonly endsAt: Millis
  readonly ms: Millis
}

/** The admission queue as it was before there were client accounts: in the order in which requests are due. */
export class DueOrderQueue {
  private readonly onTime: Entry[] = []
  private readonly late: Entry[] = []
  private batch: Batch = { startsAt: -Infinity, endsAt: -Infinity, ms: 0 }

  constructor(
    private readonly getPace: () => EnginePace,
    private readonly getSlots: () => EngineSlots = () => UNLIMITED_SLOTS,
  ) {}

  add(request: AdmissionRequest, now: Millis): void {
    const { priority, objectiveAt, isLate } = request
    const delayMs = PRIORITY_DELAY_SHARE * priority * Math.max(0, objectiveAt - now)
    const entry = { request, orderedAt: objectiveAt + delayMs }
    insertEntry(isLate ? this.late : this.onTime, entry)
  }

  remove(id: number): void {
    for (const entries of [this.onTime, this.late]) {
      const index = entries.findIndex(({ request }) => request.id === id)
      if (index >= 0) entries.splice(index, 1)
    }
  }

  takeDecisions(now: Millis): readonly AdmissionDecision[] {
    return [...this.takeExpired(now), ...this.takeTooLate(now), ...this.takeGrants(now)]
  }

  getNextTime(): Millis | undefined {
    const [first = this.late[0]] = this.onTime
    if (!first) return undefined
    const expiresAt = Math.min(
      ...[...this.onTime, ...this.late].map(({ request }) => request.expiresAt),
    )
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

  private takeGrant(now: Millis): number | undefined {
    const entries = this.onTime.length > 0 ? this.onTime : this.late
    const [entry] = entries
    if (!entry) return undefined
    const { id, isLate } = entry.request
    if (isLate && now < this.computeBreakEnd(this.batch)) return undefined
    const { startsAt, batch } = this.extendBatch(this.batch, entry.request, now)
    if (startsAt > now) return undefined
    this.batch = batch
    entries.shift()
    return id
  }

  private takeExpired(now: Millis): readonly AdmissionDecision[] {
    return [...this.onTime, ...this.late]
      .filter(({ request }) => now >= request.expiresAt)
      .map(({ request }) => this.refuse(request, this.computeBreakEnd(this.batch) - now))
  }

  private takeTooLate(now: Millis): readonly AdmissionDecision[] {
    const refused: AdmissionDecision[] = []
    const { firstTokenMs, eventMs } = this.getPace()
    const { free, turnoverMs } = this.getSlots()
    let batch = this.batch
    let slotAt = now
    let ahead = 0
    for (const { request } of [...this.onTime, ...this.late]) {
      if (ahead >= free) slotAt += turnoverMs
      const { startsAt, batch: next } = this.extendBatch(batch, request, slotAt)
      const firstTokenAt = next.endsAt + firstTokenMs + eventMs
      const isInTime = request.isLate || firstTokenAt <= request.objectiveAt
      if (isInTime && startsAt <= request.expiresAt) {
        batch = next
        ahead++
      } else refused.push(this.refuse(request, startsAt - now))
    }
    return refused
  }

  private refuse({ id }: AdmissionRequest, waitMs: Millis): AdmissionDecision {
    this.remove(id)
    return { kind: "refused", id, waitMs: Math.max(0, waitMs) }
  }

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
