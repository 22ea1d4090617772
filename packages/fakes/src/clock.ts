import type { Clock } from "@galenaway/core"

interface PendingWait {
  readonly dueAt: number
  readonly end: () => void
}

/** A clock whose time changes only when a test advances it. Times are in milliseconds. */
export interface ManualClock extends Clock {
  /** Resolves when the clock has advanced by `ms`, or when the signal is aborted. */
  readonly wait: (ms: number, signal?: AbortSignal) => Promise<void>
  /**
   * Advances the clock. Resolves each pending wait at its own time, in the order
   * of these times, and runs the promise callbacks that follow from it.
   */
  advance(ms: number): Promise<void>
  /** Changes only the wall clock, as an adjustment of the system time does. */
  adjustWallClock(ms: number): void
}

/**
 * Creates a clock that starts at time 0 and at a wall time in milliseconds
 * since the epoch.
 */
export function createManualClock(wallStart = 1_700_000_000_000): ManualClock {
  const pendingWaits = new Set<PendingWait>()
  let time = 0
  let wallOffset = wallStart
  const wait = (ms: number, signal?: AbortSignal) =>
    new Promise<void>((resolve) => {
      if (signal?.aborted) {
        resolve()
        return
      }
      const end = () => {
        pendingWaits.delete(pending)
        signal?.removeEventListener("abort", end)
        resolve()
      }
      const pending = { dueAt: time + Math.max(0, ms), end }
      pendingWaits.add(pending)
      signal?.addEventListener("abort", end, { once: true })
    })
  const advance = async (ms: number) => {
    const end = time + ms
    await flushPromises()
    for (;;) {
      const next = findNext(pendingWaits, end)
      if (!next) break
      time = Math.max(time, next.dueAt)
      next.end()
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

/**
 * Resolves after the callbacks of all settled promises, and of those that
 * settle as a result, have run.
 */
export function flushPromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}

function findNext(pendingWaits: ReadonlySet<PendingWait>, end: number): PendingWait | undefined {
  let next: PendingWait | undefined
  for (const pending of pendingWaits)
    if (pending.dueAt <= end && (!next || pending.dueAt < next.dueAt)) next = pending
  return next
}
