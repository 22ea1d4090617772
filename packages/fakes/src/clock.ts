import type { Clock } from "@galenaway/core"

interface Sleeper {
  readonly dueAt: number
  readonly wake: () => void
}

/** A clock that stands still until a test moves it. */
export interface ManualClock extends Clock {
  /** Resolves when the clock has been moved past the time, or when the signal is aborted. */
  readonly wait: (ms: number, signal?: AbortSignal) => Promise<void>
  /** Moves the clock, waking each sleeper at its own time, and lets what they start settle. */
  advance(ms: number): Promise<void>
  /** Moves only the wall clock, as an adjustment of the system time does. */
  adjustWallClock(ms: number): void
}

/** Creates a clock that starts at a wall time in milliseconds. */
export function createManualClock(wallStart = 1_700_000_000_000): ManualClock {
  const sleepers = new Set<Sleeper>()
  let time = 0
  let wallOffset = wallStart
  const wait = (ms: number, signal?: AbortSignal) =>
    new Promise<void>((resolve) => {
      if (signal?.aborted) {
        resolve()
        return
      }
      const wake = () => {
        sleepers.delete(sleeper)
        signal?.removeEventListener("abort", wake)
        resolve()
      }
      const sleeper = { dueAt: time + Math.max(0, ms), wake }
      sleepers.add(sleeper)
      signal?.addEventListener("abort", wake, { once: true })
    })
  const advance = async (ms: number) => {
    const end = time + ms
    await flushPromises()
    for (;;) {
      const next = findNext(sleepers, end)
      if (!next) break
      time = Math.max(time, next.dueAt)
      next.wake()
      await flushPromises()
    }
    time = end
  }
  return {
    now: () => time,
    wallNow: () => wallOffset + time,
    wait,
    advance,
    adjustWallClock: (ms) => {
      wallOffset += ms
    },
  }
}

/** Lets every promise that is ready, and those that follow from it, run. */
export function flushPromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}

function findNext(sleepers: ReadonlySet<Sleeper>, end: number): Sleeper | undefined {
  let next: Sleeper | undefined
  for (const sleeper of sleepers)
    if (sleeper.dueAt <= end && (!next || sleeper.dueAt < next.dueAt)) next = sleeper
  return next
}
