import type { Clock, Millis } from "@galenaway/core"
import type { Log, LogFields } from "@galenaway/observe"

const WINDOW_MS = 1000

/** Logs decisions about requests, at most so many lines a second; what is left out is counted on a line of its own. */
export class RequestLog {
  private windowStart: Millis = -Infinity
  private written = 0
  private leftOut = 0

  constructor(
    private readonly log: Log,
    private readonly clock: Clock,
    private readonly linesPerSecond: number,
  ) {}

  /** Logs one decision. */
  write(fields: LogFields, message: string): void {
    const now = this.clock.now()
    if (now - this.windowStart >= WINDOW_MS) this.startWindow(now)
    if (this.written >= this.linesPerSecond) {
      this.leftOut++
      return
    }
    this.written++
    this.log.info(fields, message)
  }

  private startWindow(now: Millis): void {
    if (this.leftOut > 0) this.log.info({ lines: this.leftOut }, "request lines left out")
    this.windowStart = now
    this.written = 0
    this.leftOut = 0
  }
}
