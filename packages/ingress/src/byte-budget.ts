import type { Clock, Millis } from "@galenaway/core"

/** What a holder of bytes has, for the choice of the one that is ended. */
export interface HolderView {
  readonly heldBytes: number
  /** Time of the last progress. */
  readonly progressAt: Millis
  /** Whether it can be ended to free its bytes. */
  readonly canEnd: boolean
}

/** A holder of at most this many bytes may use the whole budget, a larger one leaves a reserve. */
export const SMALL_HOLDER_BYTES = 64 * 1024
/** A holder without progress for longer is ended when its bytes are needed. */
export const STALL_MS = 1000
const LARGE_HOLDERS_SHARE = 7 / 8
/** A holder that progresses by fewer bytes isn't considered to progress, so that single bytes don't protect a large holder. */
const MIN_PROGRESS_BYTES = 4096

/**
 * Chooses the holder that is ended so that another one can grow: the one with
 * the largest product of bytes and time without progress, among those that
 * don't progress. Small holders may also end large ones that progress.
 */
export function chooseHolderToEnd<T extends HolderView>(
  holders: Iterable<T>,
  isForSmall: boolean,
  now: Millis,
): T | undefined {
  let chosen: T | undefined
  let highest = 0
  for (const holder of holders) {
    const stalledMs = now - holder.progressAt
    const isEligible =
      stalledMs >= STALL_MS || (isForSmall && holder.heldBytes > SMALL_HOLDER_BYTES)
    const weight = holder.heldBytes * (stalledMs + 1)
    if (!holder.canEnd || !isEligible || weight <= highest) continue
    chosen = holder
    highest = weight
  }
  return chosen
}

/** The bytes that a process holds for its callers: bodies and buffered answers. */
export class ByteBudget {
  private used = 0
  private readonly holders = new Set<ByteHolder>()

  constructor(
    readonly limitBytes: number,
    private readonly clock: Pick<Clock, "now">,
  ) {}

  /** Number of bytes that are held. */
  get usedBytes(): number {
    return this.used
  }

  /** Adds a holder. `end`, if given, is called at most once when its bytes are needed, and must close it. */
  open(end?: () => void): ByteHolder {
    const holder = new ByteHolder(this, this.clock.now(), end)
    this.holders.add(holder)
    return holder
  }

  /** Returns whether a holder of this size could be held without ending others. */
  canHold(bytes: number): boolean {
    return this.used + bytes <= this.getLimit(bytes)
  }

  /** Acquires bytes for a holder, and ends others if needed. Returns false if there aren't enough. */
  acquire(holder: ByteHolder, bytes: number): boolean {
    const size = holder.heldBytes + bytes
    const isSmall = size <= SMALL_HOLDER_BYTES
    while (this.used + bytes > this.getLimit(size)) {
      const others = [...this.holders].filter((other) => other !== holder)
      const victim = chooseHolderToEnd(others, isSmall, this.clock.now())
      if (!victim) return false
      victim.endByBudget()
    }
    this.used += bytes
    return true
  }

  /** Returns bytes of a holder. */
  release(bytes: number): void {
    this.used -= bytes
  }

  /** Removes a holder whose bytes have been released. */
  remove(holder: ByteHolder): void {
    this.holders.delete(holder)
  }

  /** Returns the current time. */
  now(): Millis {
    return this.clock.now()
  }

  private getLimit(size: number): number {
    return size <= SMALL_HOLDER_BYTES ? this.limitBytes : LARGE_HOLDERS_SHARE * this.limitBytes
  }
}

/** One holder of bytes of a budget. */
export class ByteHolder implements HolderView {
  heldBytes = 0
  private unrecordedBytes = 0
  private isClosed = false

  constructor(
    private readonly budget: ByteBudget,
    public progressAt: Millis,
    private end: (() => void) | undefined,
  ) {}

  get canEnd(): boolean {
    return this.end !== undefined
  }

  /** Acquires more bytes. Returns false if there aren't enough; the holder keeps what it has. */
  acquire(bytes: number): boolean {
    if (this.isClosed || !this.budget.acquire(this, bytes)) return false
    this.heldBytes += bytes
    return true
  }

  /** Returns some of the bytes. */
  release(bytes: number): void {
    if (this.isClosed) return
    this.heldBytes -= bytes
    this.budget.release(bytes)
  }

  /** Records that bytes were received from the caller, or sent to it. */
  recordProgress(bytes: number): void {
    this.unrecordedBytes += bytes
    if (this.unrecordedBytes < MIN_PROGRESS_BYTES) return
    this.unrecordedBytes = 0
    this.progressAt = this.budget.now()
  }

  /** Protects the holder: its bytes are in use and can't be freed early. */
  protect(): void {
    this.end = undefined
  }

  /** Returns all bytes. Has no effect the second time. */
  close(): void {
    if (this.isClosed) return
    this.release(this.heldBytes)
    this.isClosed = true
    this.end = undefined
    this.budget.remove(this)
  }

  /** Ends the holder because its bytes are needed. */
  endByBudget(): void {
    const { end } = this
    this.end = undefined
    end?.()
    this.close()
  }
}
