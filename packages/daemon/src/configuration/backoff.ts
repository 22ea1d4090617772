const FIRST_BACKOFF_MS = 200
/** Low enough that a change is in force within its time after the platform's return. */
const MAX_BACKOFF_MS = 2500

/** Pauses and randomness of a loop. Tests move the pauses by hand. */
export interface RetryTiming {
  /** Resolves after a time, or as soon as the signal is aborted. */
  pause(ms: number, signal: AbortSignal): Promise<void>
  /** Returns a number from 0 to below 1. */
  random(): number
}

/** Computes how long to pause after a number of failures in a row. Jitter spreads the instances' calls. */
export function computeBackoffMs(failures: number, random: number): number {
  const ceiling = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (failures - 1))
  return ceiling * (0.5 + random / 2)
}

/** The timing of a running daemon. */
export const systemTiming: RetryTiming = {
  pause: (ms, signal) =>
    new Promise((resolve) => {
      if (ms === 0 || signal.aborted) {
        resolve()
        return
      }
      const finish = () => {
        clearTimeout(timer)
        signal.removeEventListener("abort", finish)
        resolve()
      }
      const timer = setTimeout(finish, ms)
      signal.addEventListener("abort", finish)
    }),
  random: Math.random,
}
