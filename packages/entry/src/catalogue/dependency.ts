import type { Log } from "@galenaway/observe"

/** Logs a dependency once when it is lost and once when it is back. */
export class DependencyState {
  private lost = false

  constructor(
    private readonly name: string,
    private readonly log: Log,
  ) {}

  /** Whether the last call failed. */
  get isLost(): boolean {
    return this.lost
  }

  /** Notes a call that failed. */
  onFailure(error: unknown): void {
    if (!this.lost) this.log.warn({ dependency: this.name, err: error }, "dependency lost")
    this.lost = true
  }

  /** Notes a call that was answered. */
  onSuccess(): void {
    if (this.lost) this.log.info({ dependency: this.name }, "dependency back")
    this.lost = false
  }
}
