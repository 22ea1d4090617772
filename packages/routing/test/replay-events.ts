import type { Millis } from "@galenaway/core"

/** Something that happens at a time of a replay. */
export interface ReplayEvent {
  readonly at: Millis
  run(): void
}

/** The events of a replay in the order of their times. */
export class EventQueue {
  private readonly heap: ReplayEvent[] = []

  /** Adds an event. */
  push(event: ReplayEvent): void {
    let index = this.heap.length
    while (index > 0) {
      const parent = (index - 1) >> 1
      const above = this.heap[parent]
      if (!above || above.at <= event.at) break
      this.heap[index] = above
      index = parent
    }
    this.heap[index] = event
  }

  /** Removes and returns the earliest event. */
  pop(): ReplayEvent | undefined {
    const [first] = this.heap
    const last = this.heap.pop()
    if (this.heap.length > 0 && last) this.sink(last)
    return first
  }

  private sink(event: ReplayEvent): void {
    let index = 0
    for (;;) {
      const left = this.heap[2 * index + 1]
      const right = this.heap[2 * index + 2]
      const isRight = left !== undefined && right !== undefined && right.at < left.at
      const child = isRight ? right : left
      if (!child || child.at >= event.at) break
      this.heap[index] = child
      index = 2 * index + (isRight ? 2 : 1)
    }
    this.heap[index] = event
  }
}

/** Returns a generator of numbers from 0 up to, but not including, 1. */
export function createRandom(seed: number): () => number {
  let state = seed
  return () => {
    state = (state * 48_271) % 2_147_483_647
    return (state - 1) / 2_147_483_646
  }
}
