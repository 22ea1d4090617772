/**
 * A discrete-event simulation with its own clock. Actions run in order of their
 * time; actions of the same time run in the order in which they were scheduled.
 */
export class Simulation {
  private readonly heap: ScheduledAction[] = []
  private scheduledCount = 0
  /** Simulated time in milliseconds since the start. */
  now = 0

  /** Schedules an action after a delay in milliseconds. */
  schedule(delayMs: number, run: () => void): void {
    const action = { at: this.now + delayMs, order: this.scheduledCount++, run }
    this.heap.push(action)
    this.siftUp(this.heap.length - 1)
  }

  /** Runs an action after each period, in milliseconds, until it returns false. */
  scheduleEvery(periodMs: number, run: () => boolean): void {
    this.schedule(periodMs, () => {
      if (run()) this.scheduleEvery(periodMs, run)
    })
  }

  /** Runs all actions that are due up to an end in milliseconds, and sets the clock to this end. */
  runUntil(end: number): void {
    for (;;) {
      const next = this.heap[0]
      if (!next || next.at > end) break
      this.removeFirst()
      this.now = next.at
      next.run()
    }
    this.now = end
  }

  private removeFirst(): void {
    const last = this.heap.pop()
    if (!last || this.heap.length === 0) return
    this.heap[0] = last
    this.siftDown(0)
  }

  private siftUp(start: number): void {
    let index = start
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!this.swapIfBefore(index, parent)) return
      index = parent
    }
  }

  private siftDown(start: number): void {
    let index = start
    for (;;) {
      let child = 2 * index + 1
      if (child >= this.heap.length) return
      if (child + 1 < this.heap.length && this.isBefore(child + 1, child)) child++
      if (!this.swapIfBefore(child, index)) return
      index = child
    }
  }

  private swapIfBefore(a: number, b: number): boolean {
    const [first, second] = [this.heap[a], this.heap[b]]
    if (!first || !second || !this.isBefore(a, b)) return false
    this.heap[a] = second
    this.heap[b] = first
    return true
  }

  private isBefore(a: number, b: number): boolean {
    const [first, second] = [this.heap[a], this.heap[b]]
    if (!first || !second) return false
    return first.at < second.at || (first.at === second.at && first.order < second.order)
  }
}

interface ScheduledAction {
  readonly at: number
  readonly order: number
  readonly run: () => void
}
