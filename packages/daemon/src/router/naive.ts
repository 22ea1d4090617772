import {
  type AdapterKey,
  type EndpointId,
  type EnginePort,
  type Grant,
  type GrantResult,
  type Clock,
  RefusedError,
  type Router,
  type RouteRequest,
} from "@galenaway/core"
import { chooseNaiveEndpoint, type NaiveDecision, type NaiveEngineState } from "@galenaway/policy"

/**
 * The baseline router: uses only load reports, loads adapters on a miss, and
 * doesn't coordinate with other instances.
 */
export class NaiveRouter implements Router {
  private readonly inFlightLoads = new Map<string, Promise<void>>()
  private grantCounter = 0

  constructor(
    private readonly rows: ReadonlyMap<EndpointId, NaiveEngineState>,
    private readonly engines: ReadonlyMap<EndpointId, EnginePort>,
    private readonly clock: Clock,
    private readonly incarnation: string,
  ) {}

  async acquire(request: RouteRequest): Promise<Grant> {
    const decision = chooseNaiveEndpoint(this.rows.values(), request.adapter, this.clock.now())
    if (decision.kind === "refuse")
      throw new RefusedError("no-endpoint", "route", "none", "no engine is reachable")
    if (decision.kind === "load") await this.loadOnce(decision, request.adapter)
    return {
      id: `${this.incarnation}-${++this.grantCounter}`,
      request: request.id,
      endpoint: decision.endpoint,
      adapter: request.adapter,
      owner: this.incarnation,
      epoch: 0,
    }
  }

  release(grant: Grant, result: GrantResult): void {
    if (result === "adapter-missing") this.rows.get(grant.endpoint)?.lastUsed.delete(grant.adapter)
  }

  private async loadOnce(
    decision: Extract<NaiveDecision, { kind: "load" }>,
    adapter: AdapterKey,
  ): Promise<void> {
    const key = `${decision.endpoint} ${adapter}`
    const load = this.inFlightLoads.get(key) ?? this.load(decision, adapter)
    this.inFlightLoads.set(key, load)
    try {
      await load
    } finally {
      this.inFlightLoads.delete(key)
    }
  }

  private async load(
    decision: Extract<NaiveDecision, { kind: "load" }>,
    adapter: AdapterKey,
  ): Promise<void> {
    const engine = this.engines.get(decision.endpoint)
    const row = this.rows.get(decision.endpoint)
    if (!engine || !row)
      throw new RefusedError("no-endpoint", "load", decision.endpoint, "unknown endpoint")
    if (decision.evict !== undefined) {
      row.lastUsed.delete(decision.evict)
      await engine.unload({ adapter: decision.evict, fencingNumber: 0 })
    }
    const result = await engine.load({ adapter, fencingNumber: 0 })
    if (result !== "done")
      throw new RefusedError("load-failed", "load", decision.endpoint, `load ${result}`)
    row.lastUsed.set(adapter, this.clock.now())
  }
}
