import type { WaitFunction } from "@galenaway/claims"
import type { Clock, StreamPart } from "@galenaway/core"

/** The passed clock and its timer. */
export interface TimeSource {
  readonly clock: Clock
  readonly wait: WaitFunction
}

/** A connection said nothing for its bound while it was being read. */
export class IdleTimeoutError extends Error {
  override readonly name = "SilenceError"
}

/**
 * Reads one connection's parts and closes it with a SilenceError when none
 * comes within the bound. Time in which the reader takes nothing doesn't
 * count. One timer serves many parts.
 */
export async function* readWithIdleTimeout(
  open: (signal: AbortSignal) => AsyncIterable<StreamPart>,
  signal: AbortSignal,
  boundMs: number,
  timing: TimeSource,
): AsyncGenerator<StreamPart> {
  const connection = new AbortController()
  const watch = new IdleTimer(connection, boundMs, timing)
  const iterator = open(AbortSignal.any([signal, connection.signal]))[Symbol.asyncIterator]()
  try {
    for (;;) {
      const next = await watch.waitFor(() => iterator.next())
      if (next.done === true) return
      yield next.value
    }
  } catch (error) {
    if (watch.isSilent) throw new IdleTimeoutError(`no byte for ${boundMs} ms`, { cause: error })
    throw error
  } finally {
    connection.abort()
  }
}

class IdleTimer {
  isSilent = false
  private waitingSince: number | undefined
  private isWatching = false

  constructor(
    private readonly connection: AbortController,
    private readonly boundMs: number,
    private readonly timing: TimeSource,
  ) {}

  async waitFor<T>(read: () => Promise<T>): Promise<T> {
    this.waitingSince = this.timing.clock.now()
    if (!this.isWatching) void this.watch()
    const value = await read()
    this.waitingSince = undefined
    return value
  }

  private async watch(): Promise<void> {
    this.isWatching = true
    const { signal } = this.connection
    while (this.waitingSince !== undefined && !signal.aborted) {
      const left = this.waitingSince + this.boundMs - this.timing.clock.now()
      if (left <= 0) {
        this.isSilent = true
        this.connection.abort()
      } else await this.timing.wait(left, signal)
    }
    this.isWatching = false
  }
}
