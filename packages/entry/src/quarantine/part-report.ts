import type { EndpointId, Millis } from "@galenaway/core"
import type { PartId, PartState } from "@galenaway/routing"

/** What an instance has seen of request parts since its last report. */
export interface PartReport {
  readonly ends: readonly { readonly endpoint: EndpointId; readonly parts: readonly PartId[] }[]
  readonly soundParts: readonly { readonly part: PartId; readonly ageMs: Millis }[]
  readonly states: readonly PartState[]
}

/** Collects the next report. */
export class ReportBuffer {
  private ends: PartReport["ends"][number][] = []
  private soundParts: PartReport["soundParts"][number][] = []
  private states: PartState[] = []

  /** Adds one request that an engine had begun to answer at most when it ended. */
  addEnd(endpoint: EndpointId, parts: readonly PartId[]): void {
    this.ends.push({ endpoint, parts })
  }

  /** Adds a sound answer to a request with a part. */
  addSound(part: PartId, ageMs: Millis): void {
    this.soundParts.push({ part, ageMs })
  }

  /** Adds a changed state. */
  addState(state: PartState): void {
    this.states.push(state)
  }

  /** Takes the report, or undefined if it is empty. */
  take(): PartReport | undefined {
    const { ends, soundParts, states } = this
    this.ends = []
    this.soundParts = []
    this.states = []
    const count = ends.length + soundParts.length + states.length
    return count > 0 ? { ends, soundParts, states } : undefined
  }
}
