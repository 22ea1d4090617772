import type { AdapterVersion, EndpointId, Millis, Registration } from "@galenaway/core"
import {
  chooseEndpoint,
  choosePlacement,
  chooseReplica,
  estimatePromptMs,
  type Placement,
} from "@galenaway/routing"
import { BACKGROUND_PRIORITY, type LoadOptions } from "../owner/index.js"
import type { Destination } from "./attempt.js"
import { type Call, isLateAt } from "./call.js"
import type { ForwardContext } from "./context.js"

/** The next destination of a call, or the reason why none is available at present. */
export type DestinationResult =
  | { readonly kind: "found"; readonly destination: Destination }
  | { readonly kind: "none"; readonly reason: string }

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

  constructor(
    private readonly context: ForwardContext,
    private readonly call: Call,
  ) {}

  /** Excludes an endpoint from all later results. */
  exclude(endpoint: EndpointId): void {
    this.excluded.add(endpoint)
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
    const refused = this.refusingEngines
    const placement = choosePlacement(
      { ...view, canLoad: (id) => !refused.has(id) && view.canLoad(id) },
      this.call.facts,
      this.excluded,
      now,
      refused.size === 0,
    )
    if (placement.kind === "send") this.loadReplica(now)
    return this.resolvePlacement(placement, hasStarted)
  }

  private buildDestination(
    endpoint: Registration,
    version: AdapterVersion | undefined,
    waitMs: Millis,
    hasStarted: boolean,
  ): DestinationResult {
    const startsAt = this.context.clock.now() + waitMs + estimatePromptMs(this.call.facts)
    const isLate = isLateAt(this.call, startsAt, hasStarted)
    const destination = { endpoint, isLate, waitMs, ...(version !== undefined && { version }) }
    return { kind: "found", destination }
  }

  private findServiceEndpoint(now: Millis): DestinationResult {
    const { directory, health, localDataCentre } = this.context
    const endpoints = directory.listLive(this.call.service)
    const endpoint = chooseEndpoint(endpoints, health, localDataCentre, this.excluded, now)
    return endpoint
      ? { kind: "found", destination: { endpoint, isLate: false, waitMs: 0 } }
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
        return this.buildDestination(endpoint, version, waitMs, hasStarted)
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
    const { objectiveMs, priority } = call.route
    const objectiveInMs = Math.max(0, call.arrivedAt + objectiveMs - startedAt)
    const options = { waitMs, wasMissing, canRedirect, priority, objectiveInMs }
    const outcome = await context.links.load(endpoint.id, adapter, version, options)
    const stalledMs = context.clock.now() - startedAt
    context.metrics.recordDuration("stall", stalledMs)
    if (outcome.kind === "held") {
      context.residency.add(endpoint.id, adapter, outcome.version)
      const isNewest = version !== undefined && outcome.version >= version
      return this.buildDestination(endpoint, isNewest ? version : undefined, 0, hasStarted)
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
