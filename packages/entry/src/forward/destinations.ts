import type { EndpointId, Millis, Registration } from "@galenaway/core"
import {
  canStillServe,
  choosePlacement,
  chooseReplica,
  DEFAULT_PLACEMENT_COSTS,
  type Placement,
} from "@galenaway/routing"
import { BACKGROUND_PRIORITY, type LoadOptions } from "../owner/index.js"
import type { Destination } from "./answer.js"
import { type Call, isLateAt } from "./call.js"
import { CallAdmission, type Candidate } from "./call-admission.js"
import type { ForwardContext } from "./context.js"
import { choosePlainDestination } from "./plain-call.js"

/** The next destination of a call, or the reason why none is available at present. */
export type DestinationResult =
  | { readonly kind: "found"; readonly destination: Destination }
  | { readonly kind: "none"; readonly reason: string }
  /** All endpoints of the service have asked for a pause. `waitMs` is the time until the first one ends. */
  | { readonly kind: "paused"; readonly waitMs: Millis }
  /** No engine can start the call in time, nor later with what is left over. `waitMs` is the shortest expected wait. */
  | { readonly kind: "overloaded"; readonly waitMs: Millis }

/** Timeout of a load, after which another engine can be tried. */
const LOAD_TIMEOUT_MS = 3000
const MIN_LOAD_TIMEOUT_MS = 30
/** Longest wait for loads, as a multiple of the latency objective. */
const MAX_LOAD_WAIT_OBJECTIVES = 2
/** After this number of refusals, the owner queues the load instead of refusing it. */
const MAX_REDIRECT_COUNT = 3
const BACKGROUND_LOAD: LoadOptions = {
  waitMs: LOAD_TIMEOUT_MS,
  wasMissing: false,
  canRedirect: true,
  priority: BACKGROUND_PRIORITY,
  objectiveInMs: LOAD_TIMEOUT_MS,
}

/** Finds the endpoints to which one call is sent, one after the other. */
export class DestinationSearch {
  private readonly excluded = new Set<EndpointId>()
  private readonly refusingEngines = new Set<EndpointId>()
  private readonly enginesWithoutAdapter = new Set<EndpointId>()
  private readonly admission: CallAdmission

  constructor(
    private readonly context: ForwardContext,
    private readonly call: Call,
  ) {
    this.admission = new CallAdmission(context, call)
  }

  /** Excludes an endpoint from all later results. */
  exclude(endpoint: EndpointId): void {
    this.excluded.add(endpoint)
    this.admission.remove(endpoint)
  }

  /** Allows an endpoint again that was excluded only because it was silent. */
  readmit(endpoint: EndpointId): void {
    this.excluded.delete(endpoint)
  }

  /** Records that an engine refused the call because it doesn't hold the model, the adapter or the version. */
  onAdapterMissing(endpoint: EndpointId): void {
    const { adapter } = this.call.facts
    if (adapter !== undefined) this.context.residency.remove(endpoint, adapter)
    this.enginesWithoutAdapter.add(endpoint)
  }

  /**
   * Finds the next endpoint. May wait for an adapter to load: until the deadline
   * of the call if the answer has started, otherwise for a multiple of the
   * latency objective.
   */
  async find(hasStarted: boolean): Promise<DestinationResult> {
    const now = this.context.clock.now()
    if (this.call.facts.model === undefined) return this.findServiceEndpoint(now)
    const view = this.context.buildPlacementView(this.call.service)
    const pauseMs = view.health.findShortestPause(view.engines, now)
    if (pauseMs !== undefined) return { kind: "paused", waitMs: pauseMs }
    const refused = this.refusingEngines
    // An answer that has started isn't held back by what its owners decided before.
    const busy = hasStarted ? [] : this.admission.busyEngines
    const placement = choosePlacement(
      { ...view, canLoad: (id) => !refused.has(id) && view.canLoad(id) },
      this.call.facts,
      new Set([...this.excluded, ...busy]),
      now,
      refused.size === 0,
    )
    if (placement.kind === "send" || busy.length > 0) this.loadReplica(now)
    if (busy.length > 0 && !this.isInTime(placement)) return this.admitLate(hasStarted)
    return this.resolvePlacement(placement, hasStarted)
  }

  private getLoadCost(): Millis {
    const { costs = DEFAULT_PLACEMENT_COSTS } = this.context.buildPlacementView(this.call.service)
    return costs.loadMs
  }

  /** Returns whether a call that busy engines have refused can meet its objective elsewhere. */
  private isInTime(placement: Placement): boolean {
    switch (placement.kind) {
      case "send":
        return this.admission.isInTime(0)
      case "load":
        return this.admission.isInTime(this.getLoadCost())
      case "none":
        return false
    }
  }

  /** Waits until the engine may read the call's prompt. A call that the engine can't start in time goes to another one. */
  private async admit(candidate: Candidate, hasStarted: boolean): Promise<DestinationResult> {
    if (hasStarted) return this.useAdmitted(this.buildDestination(candidate, true), true)
    const result = await this.admission.admit(candidate)
    switch (result.kind) {
      case "admitted":
        return this.useAdmitted(result.destination, hasStarted)
      case "busy":
        return this.find(hasStarted)
      case "unavailable":
        return this.useAdmitted(this.buildDestination(candidate, false), hasStarted)
    }
  }

  private async admitLate(hasStarted: boolean): Promise<DestinationResult> {
    const result = await this.admission.admitLate()
    return result.kind === "admitted" ? this.useAdmitted(result.destination, hasStarted) : result
  }

  /** Uses an engine after the wait for admission or a load, in which it may have left or asked for a pause, or its adapter may have become too old. */
  private async useAdmitted(
    destination: Destination,
    hasStarted: boolean,
  ): Promise<DestinationResult> {
    const { call, context } = this
    const { id } = destination.endpoint
    const view = context.buildPlacementView(call.service)
    if (canStillServe(view, id, call.facts, context.clock.now()))
      return { kind: "found", destination }
    this.exclude(id)
    return this.find(hasStarted)
  }

  private buildDestination(candidate: Candidate, hasStarted: boolean): Destination {
    const { call, context } = this
    const promptMs = context.paces.get(call.service).estimatePromptMs(call.facts.promptTokens)
    const startsAt = context.clock.now() + candidate.waitMs + promptMs
    const isLate = isLateAt(call, startsAt, hasStarted)
    return { ...candidate, isLate }
  }

  private findServiceEndpoint(now: Millis): DestinationResult {
    const { directory, health } = this.context
    const endpoints = directory.listLive(this.call.service)
    const pauseMs = health.findShortestPause(endpoints, now)
    if (pauseMs !== undefined) return { kind: "paused", waitMs: pauseMs }
    const destination = choosePlainDestination(this.context, this.call, endpoints, this.excluded)
    return destination
      ? { kind: "found", destination }
      : { kind: "none", reason: `no usable endpoint of ${endpoints.length}` }
  }

  private async resolvePlacement(
    placement: Placement,
    hasStarted: boolean,
  ): Promise<DestinationResult> {
    switch (placement.kind) {
      case "none":
        return { kind: "none", reason: "no engine can be used" }
      case "send": {
        const { endpoint, version, waitMs } = placement
        return this.admit(
          { endpoint, waitMs, ...(version !== undefined && { version }) },
          hasStarted,
        )
      }
      case "load":
        return this.load(placement.endpoint, hasStarted)
    }
  }

  private async load(endpoint: Registration, hasStarted: boolean): Promise<DestinationResult> {
    const { context, call } = this
    const { adapter } = call.facts
    if (adapter === undefined) return { kind: "none", reason: "no engine holds the model" }
    const startedAt = context.clock.now()
    const version = context.versions.getNewest(adapter)
    const loadDeadline = hasStarted ? call.deadline : this.getLoadDeadline()
    const waitMs = Math.min(LOAD_TIMEOUT_MS, loadDeadline - startedAt)
    if (waitMs < MIN_LOAD_TIMEOUT_MS) return { kind: "none", reason: "no time to load" }
    const wasMissing = this.enginesWithoutAdapter.delete(endpoint.id)
    const canRedirect = this.refusingEngines.size < MAX_REDIRECT_COUNT
    const { objectiveMs } = call.route
    const { priority, account } = call
    const objectiveInMs = Math.max(0, call.arrivedAt + objectiveMs - startedAt)
    const options = {
      waitMs,
      wasMissing,
      canRedirect,
      priority,
      objectiveInMs,
      ...(account && { account: account.name }),
    }
    const outcome = await context.links.load(endpoint.id, adapter, version, options)
    const stalledMs = context.clock.now() - startedAt
    context.metrics.recordDuration("stall", stalledMs)
    if (outcome.kind === "held") {
      context.placementCosts.recordLoad(stalledMs)
      context.residency.add(endpoint.id, adapter, outcome.version)
      const isNewest = version !== undefined && outcome.version >= version
      return this.admit({ endpoint, waitMs: 0, ...(isNewest && { version }) }, hasStarted)
    }
    this.refusingEngines.add(endpoint.id)
    const request = call.facts.attempt
    context.log.write(
      { request, adapter, endpoint: endpoint.id, reason: outcome.reason, stalledMs },
      "load refused",
    )
    return this.find(hasStarted)
  }

  /** Returns the time at which a call stops waiting for loads and is refused with a retry time. */
  private getLoadDeadline(): Millis {
    const { arrivedAt, route, deadline } = this.call
    return Math.min(deadline, arrivedAt + MAX_LOAD_WAIT_OBJECTIVES * route.objectiveMs)
  }

  /** Loads the adapter on another engine when the engines that hold it are busy. Doesn't wait for the load. */
  private loadReplica(now: Millis): void {
    const { context, call } = this
    const { adapter } = call.facts
    const target = chooseReplica(context.buildPlacementView(call.service), call.facts, now)
    if (!target || adapter === undefined) return
    const version = context.versions.getNewest(adapter)
    void context.links.load(target.id, adapter, version, BACKGROUND_LOAD).then((outcome) => {
      if (outcome.kind === "held") context.residency.add(target.id, adapter, outcome.version)
    })
  }
}
