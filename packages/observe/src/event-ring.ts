import type { TimelineEvent } from "./event.js"

/** Keeps the latest events up to a fixed number. */
export class EventRing {
  private readonly events: TimelineEvent[] = []
  private oldest = 0

  constructor(private readonly limit: number) {
    if (!Number.isInteger(limit) || limit < 1)
      throw new RangeError(`the event limit is ${limit}, but must be a whole number above 0`)
  }

  /** Adds an event in place of the oldest one once the ring is full. */
  add(event: TimelineEvent): void {
    if (this.events.length < this.limit) {
      this.events.push(event)
      return
    }
    this.events[this.oldest] = event
    this.oldest = (this.oldest + 1) % this.limit
  }

  /** Lists the kept events, oldest first. */
  list(): readonly TimelineEvent[] {
    return [...this.events.slice(this.oldest), ...this.events.slice(0, this.oldest)]
  }
}
