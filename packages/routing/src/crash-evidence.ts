import type { EndpointId, Millis } from "@galenaway/core"

/** The id of what requests may share and what may end engines: a part of their prompts, or a version of an adapter. */
export type PartId = string

/** A prompt part that ends the engines which answer it, as far as the evidence shows. */
export interface Culprit {
  readonly part: PartId
  /** Engines that ended while they began to answer a prompt with the part. */
  readonly endpoints: readonly EndpointId[]
}

interface EngineEnd {
  readonly endpoint: EndpointId
  readonly at: Millis
  /** The prompt parts that the engine began to answer, with their highest position in a prompt. */
  readonly positions: Map<PartId, number>
  /** The quarantined part that has ended the engine; undefined if the cause isn't known. */
  cause: PartId | undefined
}

interface Candidate {
  readonly part: PartId
  readonly endpoints: EndpointId[]
  /** Ends that are far enough apart to have different causes. */
  endCount: number
  /** Time of the last end that was counted. */
  countedAt: Millis
  readonly wasSound: boolean
  position: number
}

/** An end is evidence for this time. */
const RETENTION_MS = 600_000
const MAX_END_COUNT = 64
const MAX_PARTS_PER_END = 256
const MAX_SOUND_COUNT = 8192
/** Reports about one engine within this time are of the same end. */
const SAME_END_MS = 1000
/** Engines that end within this time may have a common cause, such as a rack. They count as one end. */
const COMMON_CAUSE_MS = 50
const SUSPECT_END_COUNT = 2
const CULPRIT_END_COUNT = 3
/** More ends are needed for a part that engines have answered before. */
const EXTRA_END_COUNT = 2

/**
 * Distinguishes the part that ends engines from the parts that were merely present.
 * Each end of an engine is evidence against all parts that the engine began to
 * answer, and each sound answer clears the parts of its prompt of all earlier
 * ends. An end is explained by one part at most, so that parts which always come
 * with a quarantined one aren't suspected for it.
 */
export class CrashEvidence {
  private ends: EngineEnd[] = []
  /** Time of the last sound answer by part, least recent first. */
  private readonly soundAt = new Map<PartId, Millis>()

  /** Records a request whose answer had begun at most when its engine ended. `cause` is the quarantined part of its prompt. */
  recordEnd(endpoint: EndpointId, parts: readonly PartId[], now: Millis, cause?: PartId): void {
    const end = this.findEnd(endpoint, now) ?? this.addEnd(endpoint, now)
    for (const [position, part] of parts.entries()) {
      if (end.positions.size >= MAX_PARTS_PER_END) break
      end.positions.set(part, Math.max(position, end.positions.get(part) ?? 0))
    }
    end.cause ??= cause
  }

  /** Records that an engine has answered a prompt with a part. A time before that of an earlier call is ignored. */
  recordSound(part: PartId, at: Millis): void {
    const known = this.soundAt.get(part)
    if (known !== undefined && known >= at) return
    this.soundAt.delete(part)
    this.soundAt.set(part, at)
    const [leastRecent] = this.soundAt.keys()
    if (this.soundAt.size > MAX_SOUND_COUNT && leastRecent !== undefined)
      this.soundAt.delete(leastRecent)
  }

  /** Returns the time of the last known sound answer to a prompt with a part. */
  getSoundTime(part: PartId): Millis | undefined {
    return this.soundAt.get(part)
  }

  /** Lists the parts that may end engines, before the evidence is sufficient. */
  listSuspects(now: Millis): readonly PartId[] {
    return this.listCandidates(now)
      .filter((candidate) => hasEnds(candidate, SUSPECT_END_COUNT))
      .map(({ part }) => part)
  }

  /**
   * Finds the part that explains most ends. Of several, one that was never sound
   * comes first, then the one that stands later in prompts, since fewer requests share it.
   */
  findCulprit(now: Millis): Culprit | undefined {
    const [first] = this.listCandidates(now)
      .filter((candidate) => hasEnds(candidate, CULPRIT_END_COUNT))
      .sort(compareCandidates)
    return first && { part: first.part, endpoints: first.endpoints }
  }

  /** Records that a part has caused all unexplained ends at which it was present. */
  setCause(part: PartId): void {
    for (const end of this.ends) if (end.positions.has(part)) end.cause ??= part
  }

  /** Removes the evidence against a part. */
  clear(part: PartId): void {
    for (const { positions } of this.ends) positions.delete(part)
  }

  private findEnd(endpoint: EndpointId, now: Millis): EngineEnd | undefined {
    return this.ends.find((end) => end.endpoint === endpoint && now - end.at < SAME_END_MS)
  }

  private addEnd(endpoint: EndpointId, now: Millis): EngineEnd {
    const end = { endpoint, at: now, positions: new Map<PartId, number>(), cause: undefined }
    const kept = this.ends.filter(({ at }) => now - at < RETENTION_MS)
    this.ends = [...kept.slice(-(MAX_END_COUNT - 1)), end]
    return end
  }

  /** Lists the parts of unexplained ends. The ends are in the order of their times. */
  private listCandidates(now: Millis): readonly Candidate[] {
    const candidates = new Map<PartId, Candidate>()
    for (const end of this.ends) {
      if (end.cause !== undefined || now - end.at >= RETENTION_MS) continue
      for (const [part, position] of end.positions)
        this.addToCandidate(candidates, part, end, position)
    }
    return [...candidates.values()]
  }

  private addToCandidate(
    candidates: Map<PartId, Candidate>,
    part: PartId,
    { endpoint, at }: EngineEnd,
    position: number,
  ): void {
    const soundAt = this.soundAt.get(part)
    if (soundAt !== undefined && soundAt >= at) return
    let candidate = candidates.get(part)
    if (!candidate) {
      const wasSound = soundAt !== undefined
      candidate = { part, endpoints: [], endCount: 0, countedAt: -Infinity, wasSound, position }
      candidates.set(part, candidate)
    }
    candidate.endpoints.push(endpoint)
    candidate.position = Math.max(candidate.position, position)
    if (at - candidate.countedAt < COMMON_CAUSE_MS) return
    candidate.endCount++
    candidate.countedAt = at
  }
}

function hasEnds({ endCount, wasSound }: Candidate, limit: number): boolean {
  return endCount >= limit + (wasSound ? EXTRA_END_COUNT : 0)
}

function compareCandidates(a: Candidate, b: Candidate): number {
  return (
    b.endCount - a.endCount ||
    Number(a.wasSound) - Number(b.wasSound) ||
    b.position - a.position ||
    (a.part < b.part ? -1 : 1)
  )
}
