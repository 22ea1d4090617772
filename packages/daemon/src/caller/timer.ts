import type { WaitFunction } from "@galenaway/claims"

/** Waits with the timers of the process. Resolves early when the signal is aborted; never rejects. */
export const waitMs: WaitFunction = (ms, signal) =>
  new Promise((resolve) => {
    if (signal?.aborted) {
      resolve()
      return
    }
    const finish = () => {
      clearTimeout(timer)
      signal?.removeEventListener("abort", finish)
      resolve()
    }
    const timer = setTimeout(finish, ms)
    signal?.addEventListener("abort", finish, { once: true })
  })
