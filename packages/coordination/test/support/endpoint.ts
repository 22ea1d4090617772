import type { AdapterKey, Fencing } from "@galenaway/core"
import type { OwnerEvent } from "@galenaway/coordination"
import type { Order } from "./messages.js"
import { X } from "./steps.js"

/** An endpoint that executes one order at a time, and forgets all when it restarts. */
export class Endpoint {
  process = 0
  private seenNumber = 0
  private readonly resident = new Set<AdapterKey>([X])

  constructor(private readonly fencing: Fencing) {}

  /** Checks an order's number, where the endpoint does. */
  private isTaken(number: number): boolean {
    if (this.fencing === "ignored") return true
    if (number < this.seenNumber) return false
    this.seenNumber = number
    return true
  }

  load(number: number): void {
    if (this.isTaken(number)) this.resident.add(X)
  }

  /** Executes an order, and tells its answer and whether it evicted a resident adapter. */
  execute(order: Order): { readonly event: OwnerEvent; readonly isEvicted: boolean } {
    const { fencingNumber } = order
    const isTaken = this.isTaken(fencingNumber)
    const result = isTaken ? "done" : "fenced"
    if (order.kind === "fence")
      return { event: { kind: "fence-answered", fencingNumber, result }, isEvicted: false }
    const { adapter, announcement } = order
    const event: OwnerEvent = { kind: "unload-answered", adapter, announcement, result }
    return { event, isEvicted: isTaken && this.resident.delete(X) }
  }

  restart(): void {
    this.process++
    this.resident.clear()
    this.seenNumber = 0
  }
}
