import type { AdapterKey, Fencing } from "@galenaway/core"
import { X } from "./steps.js"

/** An endpoint that executes one order at a time, and forgets all when it restarts. */
export class Endpoint {
  process = 0
  private seenNumber = 0
  private readonly resident = new Set<AdapterKey>([X])

  constructor(private readonly fencing: Fencing) {}

  /** Checks an order's number, where the endpoint does. */
  isTaken(number: number): boolean {
    if (this.fencing === "ignored") return true
    if (number < this.seenNumber) return false
    this.seenNumber = number
    return true
  }

  load(number: number): void {
    if (this.isTaken(number)) this.resident.add(X)
  }

  /** Evicts the adapter. Returns false when it wasn't resident. */
  unload(): boolean {
    return this.resident.delete(X)
  }

  restart(): void {
    this.process++
    this.resident.clear()
    this.seenNumber = 0
  }
}
