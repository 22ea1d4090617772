/** Waits for a time in milliseconds, or until the signal aborts. The promise never rejects. */
export function waitFor(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const settle = () => {
      clearTimeout(timer)
      signal?.removeEventListener("abort", settle)
      resolve()
    }
    const timer = setTimeout(settle, ms)
    if (signal?.aborted === true) settle()
    else signal?.addEventListener("abort", settle, { once: true })
  })
}
