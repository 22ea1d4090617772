import type { EndpointId, Millis } from "@galenaway/core"

/** The id of a part of prompts that requests may share. */
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

interface Candidate extends Culprit {
  readonly endCount: number
  readonly wasSound: boolean
  readonly position: number
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
 * Tells a prompt part that ends engines from the parts that were merely there.
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
  clear(part: PartId, now: Millis): void {
    this.recordSound(part, now)
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

  private listCandidates(now: Millis): readonly Candidate[] {
    const unexplained = this.ends.filter(({ at, cause }) => !cause && now - at < RETENTION_MS)
    const parts = new Set(unexplained.flatMap(({ positions }) => [...positions.keys()]))
    return [...parts].map((part) => this.buildCandidate(part, unexplained))
  }

  private buildCandidate(part: PartId, unexplained: readonly EngineEnd[]): Candidate {
    const soundAt = this.soundAt.get(part)
    const ends = unexplained.filter(
      ({ at, positions }) => positions.has(part) && at > (soundAt ?? -Infinity),
    )
    return {
      part,
      endpoints: ends.map(({ endpoint }) => endpoint),
      endCount: countCauses(ends.map(({ at }) => at)),
      wasSound: soundAt !== undefined,
      position: Math.max(0, ...ends.map(({ positions }) => positions.get(part) ?? 0)),
    }
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

/** Counts ends that are far enough apart to have different causes. The times are in order. */
function countCauses(times: readonly Millis[]): number {
  let count = 0
  let last = -Infinity
  for (const at of times) {
    if (at - last < COMMON_CAUSE_MS) continue
    count++
    last = at
  }
  return count
}
