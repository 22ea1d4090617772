/**
 * Waits for a number of milliseconds. The promise resolves early if the signal is
 * aborted, and never rejects.
 */
export type WaitFunction = (ms: number, signal?: AbortSignal) => Promise<void>
