import type { Clock, EndpointId, InstanceId, Millis, Registration } from "@galenaway/core"
import type { Log, Metrics } from "@galenaway/observe"
import {
  CrashEvidence,
  isHeld,
  type PartId,
  PartQuarantine,
  type PartState,
  type QuarantinedPart,
} from "@galenaway/routing"
import { EndChecks } from "./end-check.js"
import { type PartReport, ReportBuffer } from "./part-report.js"
import { PeerSuspects } from "./peer-suspects.js"
import { type GuardedRun, RunningParts } from "./running-parts.js"

/** Whether a request may be sent, as far as its parts decide it. */
export type PartVerdict =
  | { readonly kind: "allowed" }
  /** The request may be sent to test a quarantined part. */
  | { readonly kind: "trial" }
  /** A part may end engines, and another request with it runs. */
  | { readonly kind: "suspected" }
  /** `retryAfterMs` is the time until the part may be tried again. */
  | { readonly kind: "quarantined"; readonly part: PartId; readonly retryAfterMs: Millis }

/** The dependencies of {@link PartGuard}. */
export interface PartGuardDependencies {
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Metrics
  /** Returns whether nothing listens at an endpoint's address any more. Never rejects. */
  readonly hasEnded: (endpoint: Registration) => Promise<boolean>
  /** Sends a report to the instances that collect the evidence. */
  sendReport(report: PartReport): void
  /** Sends changed states and the suspects to the instances that follow this one. */
  publish(states: readonly PartState[]): void
  /** Writes a changed state to the store. Never rejects. */
  store(state: PartState): void
  /** Returns whether trials are up to this instance. At most one instance of a fleet should try a part. */
  isTester(): boolean
}

/** Parts in whose answers this many times bytes followed the head have not ended their engine. */
const SOUND_PROGRESS_COUNT = 3
/** Evidence is evaluated and sent together over this time. */
const BATCH_MS = 20
/** A sound answer in this time clears a peer's suspect. */
const RECENT_SOUND_MS = 1000
/** At the start, prompts wait this long for the states that other instances have stored. */
const STARTUP_WAIT_MS = 2000
const ALLOWED: PartVerdict = { kind: "allowed" }

/**
 * Keeps requests away from engines that end on a part of them. It collects which
 * parts were being answered when an engine ended and which were answered soundly,
 * shares both with the other instances, and holds a part back once it is found.
 */
export class PartGuard {
  private readonly evidence = new CrashEvidence()
  private readonly quarantine = new PartQuarantine()
  private readonly running = new RunningParts()
  private suspects: ReadonlySet<PartId> = new Set()
  private readonly peerSuspects = new PeerSuspects()
  private readonly report = new ReportBuffer()
  private readonly endChecks: EndChecks
  private timer: NodeJS.Timeout | undefined
  private isLoaded = false
  private readonly startedAt: Millis

  constructor(private readonly deps: PartGuardDependencies) {
    this.startedAt = deps.clock.now()
    this.endChecks = new EndChecks(deps.hasEnded, (endpoint) => {
      deps.metrics.count("engine-ends")
      deps.log.warn({ endpoint }, "an engine ended while it answered requests")
    })
  }

  /** Decides whether a request with these parts may be sent now. */
  check(ids: readonly PartId[]): PartVerdict {
    if (ids.length === 0) return ALLOWED
    const now = this.deps.clock.now()
    const held = ids.filter((part) => this.quarantine.has(part))
    const [part] = held
    if (part !== undefined) return this.checkHeld(part, held, now)
    if (!this.isLoaded && now - this.startedAt < STARTUP_WAIT_MS) return { kind: "suspected" }
    const isBusy = ids.some((id) => this.isSuspect(id, now) && this.running.has(id))
    return isBusy ? { kind: "suspected" } : ALLOWED
  }

  /** Records that a request is sent. `abort` is called when one of its parts is quarantined before the answer has proved sound. */
  start(endpoint: Registration, ids: readonly PartId[], abort: () => void): AttemptGuard {
    const run = this.running.add(ids, abort)
    let progressCount = 0
    let isSound = false
    const onSound = () => {
      if (!isSound) this.onSound(run)
      isSound = true
    }
    return {
      onProgress: () => {
        progressCount++
        if (progressCount >= SOUND_PROGRESS_COUNT) onSound()
      },
      onComplete: () => {
        onSound()
        for (const id of ids) this.release(id, this.deps.clock.now())
      },
      onBroken: () => {
        if (!isSound && ids.length > 0) void this.onBroken(endpoint, ids)
      },
      onEnd: () => {
        this.running.remove(run)
      },
    }
  }

  /** Handles the evidence and the states that another instance has sent. */
  onReport({ ends, soundParts, states }: PartReport): void {
    const now = this.deps.clock.now()
    for (const { endpoint, parts } of ends) this.recordEnd(endpoint, parts, now)
    for (const { part, ageMs } of soundParts) this.evidence.recordSound(part, now - ageMs)
    this.mergeStates(states)
    if (ends.length > 0 || soundParts.length > 0) this.schedule()
  }

  /** Handles all suspects of a peer and the changed states that it publishes. */
  onPublished(peer: InstanceId, suspects: readonly PartId[], states: readonly PartState[]): void {
    const now = this.deps.clock.now()
    this.mergeStates(states)
    const getSoundAge = (part: PartId) => now - (this.evidence.getSoundTime(part) ?? -Infinity)
    const isSound = (part: PartId) => getSoundAge(part) < RECENT_SOUND_MS
    for (const part of suspects.filter(isSound)) this.reportSound(part, getSoundAge(part))
    const others = suspects.filter((part) => !isSound(part))
    this.peerSuspects.set(peer, others, now)
  }

  /** Handles the states in the store. */
  onStored(states: readonly PartState[]): void {
    this.isLoaded = true
    this.mergeStates(states)
  }

  /** Takes a part out of quarantine, as an operator asks. Returns false if it isn't there. */
  clear(part: PartId): boolean {
    return this.clearHeld(part, "operator")
  }

  /** Lists the parts in quarantine. */
  listHeld(): readonly QuarantinedPart[] {
    return this.quarantine.listHeld(this.deps.clock.now())
  }

  /** Lists the states of all known parts, for an instance that connects. */
  listStates(): readonly PartState[] {
    return this.quarantine.listStates()
  }

  /** Lists the parts that this instance suspects. */
  listSuspects(): readonly PartId[] {
    return [...this.suspects]
  }

  private checkHeld(part: PartId, held: readonly PartId[], now: Millis): PartVerdict {
    const isTrial =
      held.length === 1 && this.deps.isTester() && this.quarantine.acquireTrial(part, now)
    if (!isTrial)
      return { kind: "quarantined", part, retryAfterMs: this.quarantine.getTrialWait(part, now) }
    this.deps.log.info({ part }, "quarantined request part tried")
    return { kind: "trial" }
  }

  private isSuspect(part: PartId, now: Millis): boolean {
    return this.suspects.has(part) || this.peerSuspects.has(part, now)
  }

  private onSound(run: GuardedRun): void {
    const now = this.deps.clock.now()
    this.running.remove(run)
    for (const part of run.parts) {
      this.evidence.recordSound(part, now)
      if (this.isSuspect(part, now)) this.reportSound(part, 0)
      this.peerSuspects.remove(part)
    }
  }

  /** A complete answer shows that a part was quarantined wrongly or doesn't end engines any more. */
  private release(part: PartId, now: Millis): void {
    this.evidence.recordSound(part, now)
    this.clearHeld(part, "complete answer")
  }

  private clearHeld(part: PartId, reason: string): boolean {
    const now = this.deps.clock.now()
    const state = this.quarantine.clear(part, now)
    if (!state) return false
    this.evidence.clear(part)
    this.deps.log.warn({ part, generation: state.generation, reason }, "request part released")
    this.onChanged(state)
    this.deps.store(state)
    return true
  }

  private async onBroken(endpoint: Registration, parts: readonly PartId[]): Promise<void> {
    if (!(await this.endChecks.run(endpoint))) return
    const now = this.deps.clock.now()
    this.recordEnd(endpoint.id, parts, now)
    for (const part of parts) if (this.quarantine.isTried(part)) this.hold(part, [endpoint.id], now)
    this.report.addEnd(endpoint.id, parts)
    this.schedule()
  }

  private recordEnd(endpoint: EndpointId, parts: readonly PartId[], now: Millis): void {
    const cause = parts.find((part) => this.quarantine.has(part))
    this.evidence.recordEnd(endpoint, parts, now, cause)
  }

  private reportSound(part: PartId, ageMs: Millis): void {
    this.report.addSound(part, ageMs)
    this.schedule()
  }

  private schedule(): void {
    this.timer ??= setTimeout(() => {
      this.timer = undefined
      this.evaluate()
      const report = this.report.take()
      if (report) this.deps.sendReport(report)
    }, BATCH_MS)
  }

  private evaluate(): void {
    const now = this.deps.clock.now()
    for (;;) {
      const culprit = this.evidence.findCulprit(now)
      if (!culprit) break
      this.hold(culprit.part, culprit.endpoints, now)
    }
    const suspects = this.evidence.listSuspects(now)
    const isChanged =
      suspects.length !== this.suspects.size || suspects.some((part) => !this.suspects.has(part))
    if (!isChanged) return
    this.suspects = new Set(suspects)
    this.deps.metrics.setGauge("suspected-parts", suspects.length)
    this.deps.log.info({ parts: suspects.join() }, "suspected request parts")
    this.deps.publish([])
  }

  private hold(part: PartId, endpoints: readonly EndpointId[], now: Millis): void {
    const state = this.quarantine.add(part, endpoints.length, now)
    this.evidence.setCause(part)
    const { generation } = state
    const fields = { part, generation, ends: endpoints.length, endpoints: endpoints.join() }
    this.deps.log.warn(fields, "request part quarantined")
    this.onChanged(state)
    this.deps.store(state)
  }

  private mergeStates(states: readonly PartState[]): void {
    for (const state of states) {
      if (!this.quarantine.merge(state, this.deps.clock.now())) continue
      const { part, generation } = state
      if (isHeld(state)) this.evidence.setCause(part)
      else this.evidence.clear(part)
      const isHeldNow = isHeld(state)
      this.deps.log.info(
        { part, generation, isHeld: isHeldNow },
        "state of a request part received",
      )
      this.onChanged(state)
    }
  }

  /** Passes a changed state on, and ends the requests whose answers have not proved sound. */
  private onChanged(state: PartState): void {
    this.report.addState(state)
    this.deps.metrics.setGauge("quarantined-parts", this.listHeld().length)
    if (isHeld(state)) this.running.abort(state.part)
    this.deps.publish([state])
    this.schedule()
  }
}

/** Records how the answer to one sent request goes on. */
export interface AttemptGuard {
  /** Bytes of the answer's body have arrived. */
  onProgress(): void
  /** The answer is complete. */
  onComplete(): void
  /** The connection to the engine broke. */
  onBroken(): void
  /** The attempt has ended, in whatever way. */
  onEnd(): void
}
