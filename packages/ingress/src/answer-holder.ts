import type { ServerResponse } from "node:http"
import type { ByteBudget, ByteHolder } from "./byte-budget.js"

/** Fewer unread bytes aren't counted, since ordinary answers are sent at once. */
const MIN_COUNTED_BYTES = 2048

/**
 * Counts the bytes of one answer that its caller hasn't read. When the budget
 * needs them, or doesn't suffice for them, the connection is closed, so that the
 * caller doesn't take the answer for a complete one.
 */
export class AnswerHolder {
  private holder: ByteHolder | undefined
  /** Bytes that were received for the answer and not written yet. */
  private gatheredBytes = 0

  constructor(
    private readonly response: ServerResponse,
    private readonly budget: ByteBudget,
    /** Called before the answer is cut. */
    private readonly onCut: () => void,
  ) {}

  /** Number of bytes that the caller hasn't read. */
  get pendingBytes(): number {
    return this.response.writableLength
  }

  /** Counts bytes that are gathered before the answer is written. Returns false if the budget doesn't suffice; then they must be written. */
  gather(bytes: number): boolean {
    this.gatheredBytes += bytes
    return this.count()
  }

  /** Ends the count of gathered bytes: they will be written, or aren't used. */
  releaseGathered(): void {
    this.gatheredBytes = 0
    this.count()
  }

  /** Counts the bytes anew after a part of the answer was written. */
  update(): void {
    if (!this.count()) this.cut()
  }

  /** Returns false if the budget doesn't suffice. */
  private count(): boolean {
    const neededBytes = this.pendingBytes + this.gatheredBytes
    const heldBytes = this.holder?.heldBytes ?? 0
    if (neededBytes > Math.max(heldBytes, MIN_COUNTED_BYTES)) {
      this.holder ??= this.open()
      return this.holder.acquire(neededBytes - heldBytes)
    }
    this.shrink(neededBytes)
    return true
  }

  private shrink(pendingBytes: number): void {
    const { holder } = this
    if (!holder || pendingBytes >= holder.heldBytes) return
    const sentBytes = holder.heldBytes - pendingBytes
    holder.release(sentBytes)
    holder.recordProgress(sentBytes)
  }

  private open(): ByteHolder {
    const { response, budget } = this
    const holder = budget.open(() => {
      this.cut()
    })
    response.on("drain", () => {
      this.update()
    })
    response.once("close", () => {
      holder.close()
    })
    return holder
  }

  private cut(): void {
    const { socket } = this.response.req
    if (socket.destroyed) return
    this.onCut()
    // The response itself has no socket while an earlier one is written.
    socket.destroy()
  }
}
