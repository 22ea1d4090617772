import type { WaitFunction } from "@galenaway/claims"
import type { Clock, StreamPart } from "@galenaway/core"

/** A clock and the timer that belongs to it. */
export interface TimeSource {
  readonly clock: Clock
  readonly wait: WaitFunction
}

/** No data was received within the idle timeout while a connection was being read. */
export class IdleTimeoutError extends Error {
  override readonly name = "IdleTimeoutError"
}

/**
 * Yields the parts of one connection. Closes the connection and throws an
 * IdleTimeoutError when no part is received within `timeoutMs`. Time in which
 * the consumer doesn't request a part isn't counted. The timer is not
 * restarted for each part, which would cost a timer per token.
 */
export async function* readWithIdleTimeout(
  open: (signal: AbortSignal) => AsyncIterable<StreamPart>,
  signal: AbortSignal,
  timeoutMs: number,
  time: TimeSource,
): AsyncGenerator<StreamPart> {
  const connection = new AbortController()
  const idleTimer = new IdleTimer(connection, timeoutMs, time)
  const iterator = open(AbortSignal.any([signal, connection.signal]))[Symbol.asyncIterator]()
  try {
    for (;;) {
      const next = await idleTimer.waitForRead(() => iterator.next())
      if (next.done === true) return
      yield next.value
    }
  } catch (error) {
    if (idleTimer.hasTimedOut)
      throw new IdleTimeoutError(`no byte for ${timeoutMs} ms`, { cause: error })
    throw error
  } finally {
    connection.abort()
  }
}

class IdleTimer {
  hasTimedOut = false
  private readStartedAt: number | undefined
  private isRunning = false

  constructor(
    private readonly connection: AbortController,
    private readonly timeoutMs: number,
    private readonly time: TimeSource,
  ) {}

  async waitForRead<T>(read: () => Promise<T>): Promise<T> {
    this.readStartedAt = this.time.clock.now()
    if (!this.isRunning) void this.run()
    const value = await read()
    this.readStartedAt = undefined
    return value
  }

  private async run(): Promise<void> {
    this.isRunning = true
    const { signal } = this.connection
    while (this.readStartedAt !== undefined && !signal.aborted) {
      const remainingMs = this.readStartedAt + this.timeoutMs - this.time.clock.now()
      if (remainingMs <= 0) {
        this.hasTimedOut = true
        this.connection.abort()
      } else await this.time.wait(remainingMs, signal)
    }
    this.isRunning = false
  }
}
