import type { AdapterKey, Fencing } from "@galenaway/core"
import type { OwnerEvent } from "@galenaway/coordination"
import type { EndpointOrder } from "./messages.js"
import { X } from "./protocol.js"

/** Simulates an endpoint that executes one order at a time. A restart clears its state. */
export class SimulatedEndpoint {
  restartCount = 0
  private highestNumber = 0
  private readonly resident = new Set<AdapterKey>([X])

  constructor(private readonly fencing: Fencing) {}

  /**
   * Returns whether the endpoint accepts an order with this fencing number, and
   * records the number.
   */
  private acceptNumber(number: number): boolean {
    if (this.fencing === "ignored") return true
    if (number < this.highestNumber) return false
    this.highestNumber = number
    return true
  }

  load(number: number): void {
    if (this.acceptNumber(number)) this.resident.add(X)
  }

  /** Executes an order. Returns the reply event and whether a resident adapter was evicted. */
  execute(order: EndpointOrder): { readonly event: OwnerEvent; readonly isEvicted: boolean } {
    const { fencingNumber } = order
    const isAccepted = this.acceptNumber(fencingNumber)
    const result = isAccepted ? "done" : "fenced"
    if (order.kind === "fence")
      return { event: { kind: "fence-answered", fencingNumber, result }, isEvicted: false }
    const { adapter, announcement } = order
    const event: OwnerEvent = { kind: "unload-answered", adapter, announcement, result }
    return { event, isEvicted: isAccepted && this.resident.delete(X) }
  }

  restart(): void {
    this.restartCount++
    this.resident.clear()
    this.highestNumber = 0
  }
}
