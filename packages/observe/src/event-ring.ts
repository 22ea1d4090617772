import type { TimelineEvent } from "./event.js"

/** A ring buffer that keeps the latest events, up to a fixed number. */
export class EventRing {
  private readonly events: TimelineEvent[] = []
  private oldest = 0

  constructor(private readonly limit: number) {
    if (!Number.isInteger(limit) || limit < 1)
      throw new RangeError(`the event limit must be a whole number above 0, not ${limit}`)
  }

  /** Adds an event. If the buffer is full, the event replaces the oldest one. */
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
