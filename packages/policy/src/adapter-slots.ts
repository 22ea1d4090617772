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
  /** Ordered and not yet there. `replaces` while an older version holds a slot of its own. */
  | {
      readonly kind: "arriving"
      readonly version: AdapterVersion | undefined
      readonly orderedAt: Millis
      readonly replaces: AdapterVersion | undefined
    }
  /** Told to go; it stays until its requests have ended. */
  | { readonly kind: "leaving" }

/** An order without an answer: it may still be carried out while the engine's count of orders is the expected one. */
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

/** What an owner should do so that an engine holds an adapter. */
export type LoadPlan =
  | { readonly kind: "held"; readonly version: AdapterVersion }
  | {
      readonly kind: "arriving"
      readonly orderedAt: Millis
      readonly version: AdapterVersion | undefined
    }
  | { readonly kind: "load" }
  | { readonly kind: "evict"; readonly victim: AdapterName }
  /** Too many adapters are on their way. */
  | { readonly kind: "wait" }
  /** Every slot is taken by an adapter that is in use, or on its way. */
  | { readonly kind: "full" }
  /** Requests use an older version. Replacing it would wait for them and hold up every other order. */
  | { readonly kind: "in-use" }

/** Longest time after which an engine may still carry out an order that it left unanswered. */
const UNRESOLVED_MS = 13_000
/** An adapter used within this time may have requests on their way. */
const RECENT_USE_MS = 120
const UNKNOWN_VERSION = 0

/**
 * An owner's table of one engine's adapter slots. It never plans an order that
 * could take more slots than there are, whichever of the orders before are
 * carried out.
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
    /** Adapters that may be on their way at once. */
    public maxArriving: number,
  ) {}

  /** Orders that the engine has accepted, as far as is known. */
  get sequence(): number {
    return this.orderCount
  }

  /** Start of the engine's process, as it told. */
  get startedAt(): number | undefined {
    return this.processStartedAt
  }

  /** Takes what the engine reports, read after all orders before were answered or given up. */
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
      const known = before.get(adapter)
      const orderedAt = known?.kind === "arriving" ? known.orderedAt : now
      const replaces = held?.kind === "held" ? held.version : undefined
      this.states.set(adapter, { kind: "arriving", version, orderedAt, replaces })
    }
  }

  /** Tells whether the engine holds a base model. */
  hasModel(model: string): boolean {
    return this.models.has(model)
  }

  /** Notes that a base model is there. */
  addModel(model: string): void {
    this.models.add(model)
  }

  /** Plans the next step so that the engine holds an adapter, in at least the wanted version. */
  planLoad(adapter: AdapterName, wanted: AdapterVersion | undefined, now: Millis): LoadPlan {
    const place = this.states.get(adapter)
    if (place?.kind === "held" && (wanted === undefined || place.version >= wanted))
      return { kind: "held", version: place.version }
    if (place?.kind === "arriving")
      return { kind: "arriving", orderedAt: place.orderedAt, version: place.version }
    if (place?.kind === "held")
      return this.isInUse(adapter, now) ? { kind: "in-use" } : { kind: "evict", victim: adapter }
    if (place?.kind === "leaving" || this.countArriving() >= this.maxArriving)
      return { kind: "wait" }
    if (this.countTakenSlots(now) < this.slotCount) return { kind: "load" }
    const victim = this.chooseVictim(adapter, now)
    return victim === undefined ? { kind: "full" } : { kind: "evict", victim }
  }

  /** Notes that the engine accepted a load. */
  onLoadAccepted(adapter: AdapterName, version: AdapterVersion | undefined, now: Millis): void {
    const place = this.states.get(adapter)
    const replaces = place?.kind === "held" ? place.version : undefined
    this.states.set(adapter, { kind: "arriving", version, orderedAt: now, replaces })
    this.onOrderAccepted()
  }

  /** Notes that an adapter has arrived. */
  onArrived(adapter: AdapterName): void {
    const place = this.states.get(adapter)
    if (place?.kind !== "arriving") return
    this.states.set(adapter, { kind: "held", version: place.version ?? UNKNOWN_VERSION })
  }

  /** Notes that the engine holds an adapter already. */
  onHeld(adapter: AdapterName, version: AdapterVersion | undefined): void {
    this.states.set(adapter, { kind: "held", version: version ?? UNKNOWN_VERSION })
  }

  /** Notes that an adapter is gone. An unload that was accepted before counts as an order only once. */
  onUnloaded(adapter: AdapterName): void {
    const isCounted = this.states.get(adapter)?.kind === "leaving"
    this.states.delete(adapter)
    this.uses.delete(adapter)
    if (!isCounted) this.onOrderAccepted()
  }

  /** Notes that an unload waits for requests that use the adapter. */
  onUnloadAccepted(adapter: AdapterName): void {
    if (this.states.get(adapter)?.kind === "leaving") return
    this.states.set(adapter, { kind: "leaving" })
    this.onOrderAccepted()
  }

  /** Notes an order that got no answer. */
  onUnresolved(takesSlot: boolean, now: Millis): void {
    const until = now + UNRESOLVED_MS
    this.unresolvedOrders.push({ expectedSequence: this.orderCount, takesSlot, until })
  }

  /** Notes that the engine accepted an order that concerns no adapter. */
  onOrderAccepted(): void {
    this.orderCount++
    this.unresolvedOrders = this.unresolvedOrders.filter(
      ({ expectedSequence }) => expectedSequence >= this.orderCount,
    )
  }

  /** Notes whether an instance has requests that use an adapter. */
  onUse(adapter: AdapterName, holder: InstanceId, inFlight: number, now: Millis): void {
    const use = this.uses.get(adapter) ?? { lastUsed: now, holders: new Set() }
    use.lastUsed = now
    if (inFlight > 0) use.holders.add(holder)
    else use.holders.delete(holder)
    this.uses.set(adapter, use)
  }

  /** Forgets the requests of an instance that is gone. */
  removeHolder(holder: InstanceId): void {
    for (const { holders } of this.uses.values()) holders.delete(holder)
  }

  /** Lists what the engine holds and may be sent requests for. */
  listHeld(): readonly HeldAdapter[] {
    return [...this.states].flatMap(([adapter, place]) =>
      place.kind === "held" ? [{ adapter, version: place.version }] : [],
    )
  }

  /** Lists adapters that are on their way. */
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

  /** Tells whether an order without an answer may still be carried out. */
  hasUnresolved(now: Millis): boolean {
    return this.unresolvedOrders.some(({ until }) => until > now)
  }

  /** Counts the slots that are taken, whichever unresolved orders are carried out. */
  countTakenSlots(now: Millis): number {
    this.unresolvedOrders = this.unresolvedOrders.filter(({ until }) => until > now)
    // Of the orders that name one count, the engine carries out one at most.
    const counts = this.unresolvedOrders.filter(({ takesSlot }) => takesSlot)
    let taken = new Set(counts.map(({ expectedSequence }) => expectedSequence)).size
    for (const place of this.states.values())
      taken += place.kind === "arriving" && place.replaces !== undefined ? 2 : 1
    return taken
  }

  private countArriving(): number {
    return this.listArriving().length
  }

  private isInUse(adapter: AdapterName, now: Millis): boolean {
    const use = this.uses.get(adapter)
    return use !== undefined && (use.holders.size > 0 || now - use.lastUsed < RECENT_USE_MS)
  }

  /** Chooses the adapter that was used least recently and isn't in use. */
  private chooseVictim(wanted: AdapterName, now: Millis): AdapterName | undefined {
    let victim: AdapterName | undefined
    let oldest = now
    for (const [adapter, place] of this.states) {
      if (place.kind !== "held" || adapter === wanted) continue
      const lastUsed = this.uses.get(adapter)?.lastUsed ?? -Infinity
      if (this.isInUse(adapter, now) || lastUsed > oldest) continue
      oldest = lastUsed
      victim = adapter
    }
    return victim
  }
}
