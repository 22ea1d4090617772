/** Waits for a time in milliseconds. It resolves early when the signal is aborted, and never rejects. */
export type WaitFunction = (ms: number, signal?: AbortSignal) => Promise<void>
