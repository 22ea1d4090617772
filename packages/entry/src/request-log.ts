import type { Clock, Millis } from "@galenaway/core"
import type { Log, LogFields } from "@galenaway/observe"

const WINDOW_MS = 1000

/**
 * Logs decisions about requests up to a limit of lines per second. The number of
 * dropped lines is logged with the first line of a later window.
 */
export class RequestLog {
  private windowStart: Millis = -Infinity
  private writtenCount = 0
  private droppedCount = 0

  constructor(
    private readonly log: Log,
    private readonly clock: Clock,
    private readonly maxLinesPerSecond: number,
  ) {}

  /** Logs one decision, or drops it above the limit. */
  write(fields: LogFields, message: string): void {
    const now = this.clock.now()
    if (now - this.windowStart >= WINDOW_MS) this.startWindow(now)
    if (this.writtenCount >= this.maxLinesPerSecond) {
      this.droppedCount++
      return
    }
    this.writtenCount++
    this.log.info(fields, message)
  }

  private startWindow(now: Millis): void {
    if (this.droppedCount > 0)
      this.log.info({ lines: this.droppedCount }, "request log lines dropped")
    this.windowStart = now
    this.writtenCount = 0
    this.droppedCount = 0
  }
}
