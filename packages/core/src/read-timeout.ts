/** Turns of the event loop after which what had arrived on a connection has been read. */
const TURNS_TO_READ = 2

/**
 * A timeout for what a peer sends. The event loop runs timers before it reads, so
 * after a delay of its own the timer of an answer that has long arrived would end
 * it. What has arrived by then is read first.
 */
export class ReadTimeout {
  private timer: NodeJS.Timeout | undefined
  private immediate: NodeJS.Immediate | undefined
  private onTimeout: () => void = () => undefined

  /** Starts the timeout anew, in ms. `onTimeout` is called once unless it is cancelled before. */
  start(ms: number, onTimeout: () => void): void {
    this.cancel()
    this.onTimeout = onTimeout
    this.timer = setTimeout(() => {
      this.waitForTurns(TURNS_TO_READ)
    }, ms)
  }

  /** Ends the timeout without a call. */
  cancel(): void {
    clearTimeout(this.timer)
    clearImmediate(this.immediate)
  }

  /** Lets the process end while the timeout runs. */
  unref(): void {
    this.timer?.unref()
  }

  private waitForTurns(count: number): void {
    if (count === 0) this.onTimeout()
    else
      this.immediate = setImmediate(() => {
        this.waitForTurns(count - 1)
      })
  }
}

/** Creates a signal that is aborted with a TimeoutError after a time in ms, once what has arrived by then has been read. */
export function createReadTimeoutSignal(ms: number): AbortSignal {
  const controller = new AbortController()
  const timeout = new ReadTimeout()
  timeout.start(ms, () => {
    controller.abort(new DOMException("the operation has timed out", "TimeoutError"))
  })
  timeout.unref()
  return controller.signal
}
