import type { Log } from "@galenaway/observe"

/** Limit on the keys whose reasons are kept. */
const MAX_KEY_COUNT = 2000

/** Logs why items of the store are skipped: each key once for each reason, however often the item is read or written. */
export class SkipLog {
  private readonly reasons = new Map<string, string>()

  constructor(
    private readonly log: Log,
    private readonly message: string,
  ) {}

  /** Logs a skipped item unless it was last skipped for the same reason. */
  write(key: string, reason: string): void {
    if (this.reasons.get(key) === reason) return
    this.remove(key)
    this.reasons.set(key, reason)
    const [oldest] = this.reasons.keys()
    if (this.reasons.size > MAX_KEY_COUNT && oldest !== undefined) this.remove(oldest)
    this.log.warn({ key, reason }, this.message)
  }

  /** Records that the item of a key can be decoded again. */
  remove(key: string): void {
    this.reasons.delete(key)
  }
}
