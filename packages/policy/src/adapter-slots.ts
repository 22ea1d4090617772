import type {
  AdapterName,
  AdapterVersion,
  EngineState,
  HeldAdapter,
  InstanceId,
  Millis,
} from "@galenaway/core"

/** The state of one adapter slot of an engine. */
type SlotState =
  | { readonly kind: "held"; readonly version: AdapterVersion }
  /** Ordered and not yet loaded. `replaces` is the older version that still uses a slot of its own, if any. */
  | {
      readonly kind: "arriving"
      readonly version: AdapterVersion | undefined
      readonly orderedAt: Millis
      readonly replaces: AdapterVersion | undefined
    }
  /** An unload was accepted. The adapter keeps its slot until its requests have ended. */
  | { readonly kind: "leaving" }

/** An order without an answer. The engine may still execute it while its order count equals `expectedSequence`. */
interface UnresolvedOrder {
  readonly expectedSequence: number
  readonly takesSlot: boolean
  readonly until: Millis
}

interface AdapterUsage {
  lastUsed: Millis
  /** Instances with requests that use the adapter. */
  readonly holders: Set<InstanceId>
}

/** The next action that an owner takes so that an engine holds an adapter. */
export type LoadPlan =
  | { readonly kind: "held"; readonly version: AdapterVersion }
  | {
      readonly kind: "arriving"
      readonly orderedAt: Millis
      readonly version: AdapterVersion | undefined
    }
  | { readonly kind: "load" }
  | { readonly kind: "evict"; readonly victim: AdapterName }
  /** The adapter is being unloaded, or the limit of concurrent loads is reached. */
  | { readonly kind: "wait" }
  /** Every slot is used by an adapter that is in use, loading or unloading. */
  | { readonly kind: "full" }
  /** Requests use an older version. Replacing it would wait for them and delay every other order. */
  | { readonly kind: "in-use" }

/** Maximum time after which an engine may still execute an unanswered order. */
const UNRESOLVED_MS = 13_000
/** An adapter used within this time may have requests in flight to the engine. */
const RECENT_USE_MS = 120
const UNKNOWN_VERSION = 0

/**
 * An owner's record of one engine's adapter slots. It never plans an order that
 * could use more slots than the engine has, whichever of the unanswered orders
 * are executed.
 */
export class AdapterSlots {
  private readonly states = new Map<AdapterName, SlotState>()
  private readonly uses = new Map<AdapterName, AdapterUsage>()
  private unresolvedOrders: UnresolvedOrder[] = []
  private models = new Set<string>()
  private orderCount = 0
  private processStartedAt: number | undefined

  constructor(
    private readonly slotCount: number,
    /** Maximum number of concurrent loads. */
    public maxArriving: number,
  ) {}

  /** Number of orders that the engine has accepted, by its last report and the answers since. */
  get sequence(): number {
    return this.orderCount
  }

  /** Start time of the engine's process as last reported. Undefined when it wasn't reported. */
  get startedAt(): number | undefined {
    return this.processStartedAt
  }

  /** Applies the state that the engine reported. The state must have been read after all earlier orders were answered or timed out. */
  applyState(state: EngineState, now: Millis): void {
    this.models = new Set(state.models)
    this.orderCount = state.sequence
    this.processStartedAt = state.startedAt
    const before = new Map(this.states)
    this.states.clear()
    for (const { adapter, version } of state.adapters)
      this.states.set(adapter, { kind: "held", version })
    for (const { adapter, version } of state.arriving) {
      const held = this.states.get(adapter)
      const previous = before.get(adapter)
      const orderedAt = previous?.kind === "arriving" ? previous.orderedAt : now
      const replaces = held?.kind === "held" ? held.version : undefined
      this.states.set(adapter, { kind: "arriving", version, orderedAt, replaces })
    }
  }

  /** Returns whether the engine holds a base model. */
  hasModel(model: string): boolean {
    return this.models.has(model)
  }

  /** Records that the engine holds a base model. */
  addModel(model: string): void {
    this.models.add(model)
  }

  /** Plans the next action so that the engine holds an adapter in at least the version `minimum`, or in any version when it is undefined. */
  planLoad(adapter: AdapterName, minimum: AdapterVersion | undefined, now: Millis): LoadPlan {
    const state = this.states.get(adapter)
    if (state?.kind === "held" && (minimum === undefined || state.version >= minimum))
      return { kind: "held", version: state.version }
    if (state?.kind === "arriving")
      return { kind: "arriving", orderedAt: state.orderedAt, version: state.version }
    if (state?.kind === "held")
      return this.isInUse(adapter, now) ? { kind: "in-use" } : { kind: "evict", victim: adapter }
    if (state?.kind === "leaving" || this.countArriving() >= this.maxArriving)
      return { kind: "wait" }
    if (this.countTakenSlots(now) < this.slotCount) return { kind: "load" }
    const victim = this.chooseVictim(adapter, now)
    return victim === undefined ? { kind: "full" } : { kind: "evict", victim }
  }

  /** Records that the engine accepted a load. */
  onLoadAccepted(adapter: AdapterName, version: AdapterVersion | undefined, now: Millis): void {
    const state = this.states.get(adapter)
    const replaces = state?.kind === "held" ? state.version : undefined
    this.states.set(adapter, { kind: "arriving", version, orderedAt: now, replaces })
    this.onOrderAccepted()
  }

  /** Records that a load has completed. Has no effect when the adapter isn't loading. */
  onArrived(adapter: AdapterName): void {
    const state = this.states.get(adapter)
    if (state?.kind !== "arriving") return
    this.states.set(adapter, { kind: "held", version: state.version ?? UNKNOWN_VERSION })
  }

  /** Records that the engine already holds an adapter. */
  onHeld(adapter: AdapterName, version: AdapterVersion | undefined): void {
    this.states.set(adapter, { kind: "held", version: version ?? UNKNOWN_VERSION })
  }

  /** Records that an adapter was unloaded. An unload that was accepted before counts as an order only once. */
  onUnloaded(adapter: AdapterName): void {
    const isCounted = this.states.get(adapter)?.kind === "leaving"
    this.states.delete(adapter)
    this.uses.delete(adapter)
    if (!isCounted) this.onOrderAccepted()
  }

  /** Records that an unload was accepted and waits for requests that use the adapter. */
  onUnloadAccepted(adapter: AdapterName): void {
    if (this.states.get(adapter)?.kind === "leaving") return
    this.states.set(adapter, { kind: "leaving" })
    this.onOrderAccepted()
  }

  /** Records an order that wasn't answered. */
  onUnresolved(takesSlot: boolean, now: Millis): void {
    const until = now + UNRESOLVED_MS
    this.unresolvedOrders.push({ expectedSequence: this.orderCount, takesSlot, until })
  }

  /** Records that the engine accepted an order. The methods for adapters call it; call it directly for an order on a base model. */
  onOrderAccepted(): void {
    this.orderCount++
    this.unresolvedOrders = this.unresolvedOrders.filter(
      ({ expectedSequence }) => expectedSequence >= this.orderCount,
    )
  }

  /** Records whether an instance has requests that use an adapter. */
  onUse(adapter: AdapterName, holder: InstanceId, inFlight: number, now: Millis): void {
    const use = this.uses.get(adapter) ?? { lastUsed: now, holders: new Set() }
    use.lastUsed = now
    if (inFlight > 0) use.holders.add(holder)
    else use.holders.delete(holder)
    this.uses.set(adapter, use)
  }

  /** Removes the uses by an instance that has left the fleet. */
  removeHolder(holder: InstanceId): void {
    for (const { holders } of this.uses.values()) holders.delete(holder)
  }

  /** Lists the adapters that the engine holds and for which it accepts requests. */
  listHeld(): readonly HeldAdapter[] {
    return [...this.states].flatMap(([adapter, state]) =>
      state.kind === "held" ? [{ adapter, version: state.version }] : [],
    )
  }

  /** Lists adapters that are loading. */
  listArriving(): readonly AdapterName[] {
    return [...this.states].flatMap(([adapter, { kind }]) => (kind === "arriving" ? [adapter] : []))
  }

  /** Lists adapters whose unload waits for requests. */
  listLeaving(): readonly AdapterName[] {
    return [...this.states].flatMap(([adapter, { kind }]) => (kind === "leaving" ? [adapter] : []))
  }

  /** Lists the base models that the engine holds. */
  listModels(): readonly string[] {
    return [...this.models]
  }

  /** Returns whether the engine may still execute an unanswered order. */
  hasUnresolved(now: Millis): boolean {
    return this.unresolvedOrders.some(({ until }) => until > now)
  }

  /** Counts the slots that may be in use, whichever unresolved orders the engine executes. */
  countTakenSlots(now: Millis): number {
    this.unresolvedOrders = this.unresolvedOrders.filter(({ until }) => until > now)
    // Of the orders with the same expected sequence, the engine executes at most one.
    const slotOrders = this.unresolvedOrders.filter(({ takesSlot }) => takesSlot)
    let taken = new Set(slotOrders.map(({ expectedSequence }) => expectedSequence)).size
    for (const state of this.states.values())
      taken += state.kind === "arriving" && state.replaces !== undefined ? 2 : 1
    return taken
  }

  private countArriving(): number {
    return this.listArriving().length
  }

  private isInUse(adapter: AdapterName, now: Millis): boolean {
    const use = this.uses.get(adapter)
    return use !== undefined && (use.holders.size > 0 || now - use.lastUsed < RECENT_USE_MS)
  }

  /** Chooses the least recently used adapter that isn't in use. */
  private chooseVictim(adapterToLoad: AdapterName, now: Millis): AdapterName | undefined {
    let victim: AdapterName | undefined
    let oldest = now
    for (const [adapter, state] of this.states) {
      if (state.kind !== "held" || adapter === adapterToLoad) continue
      const lastUsed = this.uses.get(adapter)?.lastUsed ?? -Infinity
      if (this.isInUse(adapter, now) || lastUsed > oldest) continue
      oldest = lastUsed
      victim = adapter
    }
    return victim
  }
}
