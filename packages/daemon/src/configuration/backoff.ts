const FIRST_BACKOFF_MS = 200
/**
 * Low enough for a change to be in force within its time limit after an outage
 * of the platform's service.
 */
const MAX_BACKOFF_MS = 2500

/** The pauses and random numbers of a retry loop. Tests replace them to run without delays. */
export interface RetryTiming {
  /** Resolves after a time in milliseconds, or as soon as the signal is aborted. */
  pause(ms: number, signal: AbortSignal): Promise<void>
  /** Returns a number from 0 to below 1. */
  random(): number
}

/**
 * Computes the pause after a number of consecutive failures, in milliseconds.
 * `random` is from 0 to below 1: the jitter spreads the calls of the instances.
 */
export function computeBackoffMs(failures: number, random: number): number {
  const ceiling = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (failures - 1))
  return ceiling * (0.5 + random / 2)
}

/** The timing of a daemon, with real timers and random numbers. */
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
