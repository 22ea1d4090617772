/** A hand-moved clock with an agenda: what is due runs in order of time, then of entry. */
export class Simulation {
  private readonly heap: ScheduledAction[] = []
  private entries = 0
  now = 0

  /** Runs an action after a delay in milliseconds. */
  schedule(delayMs: number, run: () => void): void {
    const entry = { at: this.now + delayMs, order: this.entries++, run }
    this.heap.push(entry)
    this.siftUp(this.heap.length - 1)
  }

  /** Runs an action again and again until it returns false. */
  scheduleEvery(periodMs: number, run: () => boolean): void {
    this.schedule(periodMs, () => {
      if (run()) this.scheduleEvery(periodMs, run)
    })
  }

  /** Runs everything that is due until an end, in milliseconds. */
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
      if (!this.updateOrder(index, parent)) return
      index = parent
    }
  }

  private siftDown(start: number): void {
    let index = start
    for (;;) {
      let child = 2 * index + 1
      if (child >= this.heap.length) return
      if (child + 1 < this.heap.length && this.isBefore(child + 1, child)) child++
      if (!this.updateOrder(child, index)) return
      index = child
    }
  }

  private updateOrder(a: number, b: number): boolean {
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
