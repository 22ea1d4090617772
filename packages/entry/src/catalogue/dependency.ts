import type { Log } from "@galenaway/observe"

/** Logs once when a dependency stops responding and once when it responds again. */
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

  /** Records a failed call. */
  onFailure(error: unknown): void {
    if (!this.lost) this.log.warn({ dependency: this.name, err: error }, "dependency lost")
    this.lost = true
  }

  /** Records a successful call. */
  onSuccess(): void {
    if (this.lost) this.log.info({ dependency: this.name }, "dependency back")
    this.lost = false
  }
}
