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
import type { ForwardParts } from "./parts.js"

/** A place to send a call to, or why there is none now. */
export type Search =
  | { readonly kind: "found"; readonly destination: Destination }
  | { readonly kind: "none"; readonly reason: string }

/** A load is given up after this time, so that another engine can be asked. */
const LOAD_WAIT_MS = 3000
const MIN_LOAD_WAIT_MS = 30
/** Longest wait for loads, in latency objectives. */
const LOAD_PATIENCE = 2
/** After so many refusals a load waits for a slot. */
const MAX_REDIRECTS = 3
const BACKGROUND_ASK: LoadOptions = {
  waitMs: LOAD_WAIT_MS,
  wasMissing: false,
  canRedirect: true,
  priority: BACKGROUND_PRIORITY,
  objectiveInMs: LOAD_WAIT_MS,
}

/** Finds the endpoints of one call, in the order in which they are tried. */
export class DestinationSearch {
  private readonly excluded = new Set<EndpointId>()
  private readonly loadRefused = new Set<EndpointId>()
  private readonly missing = new Set<EndpointId>()

  constructor(
    private readonly parts: ForwardParts,
    private readonly call: Call,
  ) {}

  /** Leaves an endpoint out from now on. */
  exclude(endpoint: EndpointId): void {
    this.excluded.add(endpoint)
  }

  /** Notes that an engine turned the call away because it doesn't hold the adapter. */
  onMissing(endpoint: EndpointId): void {
    const { adapter } = this.call.facts
    if (adapter !== undefined) this.parts.residency.remove(endpoint, adapter)
    this.missing.add(endpoint)
  }

  /** Finds the next endpoint; may wait for an adapter to load, longer where the answer has begun. */
  async find(hasBegun: boolean): Promise<Search> {
    const now = this.parts.clock.now()
    if (this.call.facts.model === undefined) return this.findPlain(now)
    const view = this.parts.buildView(this.call.service)
    const refused = this.loadRefused
    const placement = choosePlacement(
      { ...view, canLoad: (id) => !refused.has(id) && view.canLoad(id) },
      this.call.facts,
      this.excluded,
      now,
      refused.size === 0,
    )
    if (placement.kind === "send") this.replicate(now)
    return this.resolve(placement, hasBegun)
  }

  private buildFound(
    endpoint: Registration,
    version: AdapterVersion | undefined,
    waitMs: Millis,
    hasBegun: boolean,
  ): Search {
    const beginsAt = this.parts.clock.now() + waitMs + estimatePromptMs(this.call.facts)
    const isLate = isLateAt(this.call, beginsAt, hasBegun)
    const destination = { endpoint, isLate, waitMs, ...(version !== undefined && { version }) }
    return { kind: "found", destination }
  }

  private findPlain(now: Millis): Search {
    const { directory, health, home } = this.parts
    const endpoints = directory.listLive(this.call.service)
    const endpoint = chooseEndpoint(endpoints, health, home, this.excluded, now)
    return endpoint
      ? { kind: "found", destination: { endpoint, isLate: false, waitMs: 0 } }
      : { kind: "none", reason: `no usable endpoint of ${endpoints.length}` }
  }

  private async resolve(placement: Placement, hasBegun: boolean): Promise<Search> {
    switch (placement.kind) {
      case "none":
        return { kind: "none", reason: "no engine can be used" }
      case "send": {
        const { endpoint, version, waitMs } = placement
        return this.buildFound(endpoint, version, waitMs, hasBegun)
      }
      case "load":
        return this.load(placement.endpoint, hasBegun)
    }
  }

  private async load(endpoint: Registration, hasBegun: boolean): Promise<Search> {
    const { parts, call } = this
    const { adapter } = call.facts
    if (adapter === undefined) return { kind: "none", reason: "no engine holds the model" }
    const startedAt = parts.clock.now()
    const version = parts.versions.getNewest(adapter)
    const until = hasBegun ? call.deadline : this.getLoadLimit()
    const waitMs = Math.min(LOAD_WAIT_MS, until - startedAt)
    if (waitMs < MIN_LOAD_WAIT_MS) return { kind: "none", reason: "no time to load" }
    const wasMissing = this.missing.delete(endpoint.id)
    const canRedirect = this.loadRefused.size < MAX_REDIRECTS
    const { objectiveMs, priority } = call.route
    const objectiveInMs = Math.max(0, call.arrivedAt + objectiveMs - startedAt)
    const ask = { waitMs, wasMissing, canRedirect, priority, objectiveInMs }
    const outcome = await parts.links.load(endpoint.id, adapter, version, ask)
    const stalledMs = parts.clock.now() - startedAt
    parts.metrics.time("stall", stalledMs)
    if (outcome.kind === "held") {
      parts.residency.add(endpoint.id, adapter, outcome.version)
      const isNewest = version !== undefined && outcome.version >= version
      return this.buildFound(endpoint, isNewest ? version : undefined, 0, hasBegun)
    }
    this.loadRefused.add(endpoint.id)
    const request = call.facts.attempt
    parts.log.write(
      { request, adapter, endpoint: endpoint.id, reason: outcome.reason, stalledMs },
      "load refused",
    )
    return this.find(hasBegun)
  }

  /** A request that has missed its objective by as much again is told to come back. */
  private getLoadLimit(): Millis {
    const { arrivedAt, route, deadline } = this.call
    return Math.min(deadline, arrivedAt + LOAD_PATIENCE * route.objectiveMs)
  }

  /** Has the adapter loaded on another engine too when those that hold it are busy. */
  private replicate(now: Millis): void {
    const { parts, call } = this
    const { adapter } = call.facts
    const target = chooseReplica(parts.buildView(call.service), call.facts, now)
    if (!target || adapter === undefined) return
    const version = parts.versions.getNewest(adapter)
    void parts.links.load(target.id, adapter, version, BACKGROUND_ASK).then((outcome) => {
      if (outcome.kind === "held") parts.residency.add(target.id, adapter, outcome.version)
    })
  }
}
