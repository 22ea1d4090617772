import type { EndpointId, Millis } from "@galenaway/core"
import type { PaceEstimator } from "@galenaway/policy"
import type { AdmissionOptions, AdmissionOutcome } from "../owner/index.js"
import type { Destination } from "./answer.js"
import type { Call } from "./call.js"
import type { ForwardContext } from "./context.js"

/** Where a model request would be sent. */
export type Candidate = Omit<Destination, "isLate" | "unreadTokens">

/** The result of a request for admission. */
export type AdmissionResult =
  | { readonly kind: "admitted"; readonly destination: Destination }
  /** The engine can't start the call in time. */
  | { readonly kind: "busy" }
  /** Nobody can decide at present, so the call may be sent. */
  | { readonly kind: "unavailable" }

/** The result of a request for admission of a call that can't meet its objective. */
export type LateAdmissionResult =
  | { readonly kind: "admitted"; readonly destination: Destination }
  /** `waitMs` is the shortest expected wait. */
  | { readonly kind: "overloaded"; readonly waitMs: Millis }

/** A call is offered to this number of engines before it counts as late. */
const MAX_BUSY_COUNT = 3
/** Longest wait of a call that can't meet its objective, as a multiple of the objective and as a share of the time until its deadline. */
const MAX_LATE_WAIT_OBJECTIVES = 2
const MAX_LATE_WAIT_SHARE = 0.25

/** Asks the owners of engines when these may read the prompt of one call. */
export class CallAdmission {
  /** Engines that can't start the call in time, with their expected waits. */
  private readonly busy = new Map<EndpointId, Candidate>()
  private readonly pace: PaceEstimator

  constructor(
    private readonly context: ForwardContext,
    private readonly call: Call,
  ) {
    this.pace = context.paces.get(call.service)
  }

  /** Forgets an engine that can't be used any more. */
  remove(endpoint: EndpointId): void {
    this.busy.delete(endpoint)
  }

  /** Ids of the engines that can't start the call in time. */
  get busyEngines(): readonly EndpointId[] {
    return [...this.busy.keys()]
  }

  /** Returns whether a call that takes `ms` until its prompt is read can meet its objective at an engine that hasn't refused it. */
  isInTime(ms: Millis): boolean {
    return this.busy.size < MAX_BUSY_COUNT && ms < this.computeMaxWait()
  }

  /** Waits until an engine may read the call's prompt. */
  async admit(candidate: Candidate): Promise<AdmissionResult> {
    const waitMs = this.computeMaxWait()
    if (waitMs <= 0) {
      this.busy.set(candidate.endpoint.id, candidate)
      return { kind: "busy" }
    }
    const outcome = await this.wait(candidate, waitMs, false)
    switch (outcome.kind) {
      case "granted": {
        const { unreadTokens } = outcome
        const destination = { ...candidate, waitMs: 0, isLate: false }
        return {
          kind: "admitted",
          destination: { ...destination, ...(unreadTokens !== undefined && { unreadTokens }) },
        }
      }
      case "refused":
        this.busy.set(candidate.endpoint.id, { ...candidate, waitMs: outcome.waitMs })
        return { kind: "busy" }
      case "unavailable":
        return { kind: "unavailable" }
    }
  }

  /** Waits until the least busy of the engines that refused the call has time for it nevertheless. */
  async admitLate(): Promise<LateAdmissionResult> {
    const [candidate] = [...this.busy.values()].sort((a, b) => a.waitMs - b.waitMs)
    if (!candidate) return { kind: "overloaded", waitMs: 0 }
    const { call, context } = this
    const remainingMs = call.deadline - context.clock.now()
    const waitMs = Math.min(
      MAX_LATE_WAIT_OBJECTIVES * call.route.objectiveMs,
      MAX_LATE_WAIT_SHARE * remainingMs,
    )
    const outcome = await this.wait(candidate, waitMs, true)
    if (outcome.kind === "refused") return { kind: "overloaded", waitMs: outcome.waitMs }
    return { kind: "admitted", destination: { ...candidate, isLate: true } }
  }

  /** Waits for the decision of the engine's owner. The adapter counts as used meanwhile, so that it isn't evicted. */
  private async wait(
    { endpoint }: Candidate,
    waitMs: Millis,
    isLate: boolean,
  ): Promise<AdmissionOutcome> {
    const { links, uses, health, clock } = this.context
    const { adapter } = this.call.facts
    const askedAt = clock.now()
    if (adapter !== undefined) uses.add(endpoint.id, adapter)
    try {
      const options = this.buildOptions(waitMs, isLate)
      const outcome = await links.admit(endpoint.id, options, this.call.disconnectSignal)
      const now = clock.now()
      const knownWaitMs = outcome.kind === "refused" ? outcome.waitMs : now - askedAt
      if (outcome.kind !== "unavailable") health.onQueueWait(endpoint.id, knownWaitMs, now)
      return outcome
    } finally {
      if (adapter !== undefined) uses.remove(endpoint.id, adapter)
    }
  }

  private buildOptions(waitMs: Millis, isLate: boolean): AdmissionOptions {
    const { facts, priority, account } = this.call
    const objectiveInMs = Math.max(0, this.computeObjectiveIn())
    const { promptTokens, outputTokens } = facts
    const tokens = { promptTokens, outputTokens }
    const shared = { ...tokens, priority, objectiveInMs, waitMs, isLate }
    return { ...shared, ...(account && { account: account.name }) }
  }

  /** Computes how long the call can wait until its prompt must be read. */
  private computeMaxWait(): Millis {
    const promptMs = this.pace.estimatePromptMs(this.call.facts.promptTokens)
    return this.computeObjectiveIn() - promptMs
  }

  private computeObjectiveIn(): Millis {
    const { arrivedAt, route } = this.call
    return arrivedAt + route.objectiveMs - this.context.clock.now()
  }
}
