import type { PartId } from "@galenaway/routing"

/** A request at an engine whose answer has not proved sound. */
export interface GuardedRun {
  readonly parts: readonly PartId[]
  readonly abort: () => void
}

/** The requests of this instance whose answers have not proved sound, by the parts of their prompts. */
export class RunningParts {
  private readonly runs = new Map<PartId, Set<GuardedRun>>()

  /** Adds a request that is sent. */
  add(parts: readonly PartId[], abort: () => void): GuardedRun {
    const run = { parts, abort }
    for (const part of parts) {
      const runs = this.runs.get(part) ?? new Set()
      this.runs.set(part, runs.add(run))
    }
    return run
  }

  /** Removes a request that has ended or proved sound. Does nothing if it was removed before. */
  remove(run: GuardedRun): void {
    for (const part of run.parts) {
      const runs = this.runs.get(part)
      runs?.delete(run)
      if (runs?.size === 0) this.runs.delete(part)
    }
  }

  /** Returns whether a request with a part runs. */
  has(part: PartId): boolean {
    return this.runs.has(part)
  }

  /** Aborts the requests with a part. */
  abort(part: PartId): void {
    for (const run of [...(this.runs.get(part) ?? [])]) run.abort()
  }
}
