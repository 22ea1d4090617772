import type { IncomingMessage } from "node:http"
import type { Millis } from "@galenaway/core"
import type { ByteBudget, ByteHolder } from "./byte-budget.js"

/** Why a body wasn't read to its end. */
export type BodyFailure =
  /** It has more bytes than allowed. */
  | "too-large"
  /** The process holds too many bytes. */
  | "no-memory"
  /** Its deadline has passed. */
  | "timeout"
  /** The caller closed the connection, or the signal was aborted. */
  | "gone"

/** How a body is read. */
export interface BodyOptions {
  readonly maxBytes: number
  /** Monotonic time by which the whole body must have arrived. */
  readonly deadline: Millis
  readonly signal?: AbortSignal
}

/** Bytes are acquired in steps of this size. */
const HOLD_STEP_BYTES = 16 * 1024
const FIRST_BUFFER_BYTES = 16 * 1024
const GROWTH_FACTOR = 4

/**
 * Calls the listener with each chunk of a body as it is parsed. A stream that
 * hasn't been read would first buffer all chunks of a read of the socket: a
 * thousand bytes of memory for each byte of a body in tiny chunks.
 */
export function startReading(request: IncomingMessage, onData: (chunk: Buffer) => void): void {
  request.on("data", onData)
  request.read(0)
}

/** Reads one body into one buffer, within the budget of the process. */
export class BodyReader {
  readonly holder: ByteHolder
  readonly result: Promise<Buffer | BodyFailure>
  private resolve: (result: Buffer | BodyFailure) => void = () => undefined
  private readonly bytes: BodyBuffer
  private readonly declaredBytes: number | undefined
  private hasEnded = false

  /** `onFailure` is called before the result is known, if the body isn't read to its end. */
  constructor(
    private readonly request: IncomingMessage,
    private readonly options: BodyOptions,
    budget: ByteBudget,
    private readonly onFailure: () => void,
  ) {
    this.holder = budget.open(() => {
      this.fail("no-memory")
    })
    const length = request.headers["content-length"]
    this.declaredBytes = length === undefined ? undefined : Number(length)
    this.bytes = new BodyBuffer(options.maxBytes)
    this.result = new Promise((resolve) => {
      this.resolve = resolve
    })
    this.start(budget)
  }

  /** Monotonic time by which the whole body must have arrived. */
  get deadline(): Millis {
    return this.options.deadline
  }

  /** Ends the read. Has no effect after its end. */
  fail(failure: BodyFailure): void {
    if (this.hasEnded) return
    this.end()
    this.bytes.clear()
    this.holder.close()
    this.onFailure()
    this.resolve(failure)
  }

  private start(budget: ByteBudget): void {
    const { request, options } = this
    if (request.destroyed || options.signal?.aborted === true) {
      this.fail("gone")
      return
    }
    const declaredBytes = this.declaredBytes ?? 0
    if (declaredBytes > options.maxBytes) {
      this.fail("too-large")
      return
    }
    if (declaredBytes > HOLD_STEP_BYTES && !this.reserve(budget, declaredBytes)) {
      this.fail("no-memory")
      return
    }
    startReading(request, this.onData)
    request.once("end", this.onEnd)
    request.once("error", this.onGone)
    request.once("close", this.onGone)
    options.signal?.addEventListener("abort", this.onGone, { once: true })
  }

  /** Returns whether a body of a declared length can be held now. Callers that declare a body without sending it hold nothing. */
  private reserve(budget: ByteBudget, bytes: number): boolean {
    if (budget.canHold(bytes)) return true
    if (!this.holder.acquire(bytes)) return false
    this.holder.release(bytes)
    return true
  }

  private end(): void {
    this.hasEnded = true
    const { request, options } = this
    // The error listener stays, since an error without one would end the process.
    request.off("data", this.onData)
    request.off("end", this.onEnd)
    request.off("close", this.onGone)
    options.signal?.removeEventListener("abort", this.onGone)
  }

  private readonly onData = (chunk: Buffer): void => {
    const { bytes, holder, options } = this
    const size = bytes.size + chunk.length
    if (size > options.maxBytes) {
      this.fail("too-large")
      return
    }
    if (size > holder.heldBytes && !holder.acquire(this.chooseStep(size))) {
      this.fail("no-memory")
      return
    }
    holder.recordProgress(chunk.length)
    bytes.append(chunk)
  }

  /** Chooses how many bytes to acquire so that a body of this size is held. */
  private chooseStep(size: number): number {
    const { holder, options, declaredBytes } = this
    const restBytes = (declaredBytes ?? options.maxBytes) - holder.heldBytes
    return Math.max(size - holder.heldBytes, Math.min(HOLD_STEP_BYTES, restBytes))
  }

  private readonly onEnd = (): void => {
    this.end()
    this.holder.protect()
    this.resolve(this.bytes.take())
  }

  private readonly onGone = (): void => {
    this.fail("gone")
  }
}

/** Gathers chunks of any size in one buffer that grows by a factor. Memory that isn't written isn't resident. */
class BodyBuffer {
  size = 0
  private buffer: Buffer = Buffer.alloc(0)

  constructor(private readonly maxBytes: number) {}

  append(chunk: Buffer): void {
    // Most bodies arrive in one chunk.
    if (this.size === 0) this.buffer = chunk
    else {
      this.grow(this.size + chunk.length)
      chunk.copy(this.buffer, this.size)
    }
    this.size += chunk.length
  }

  take(): Buffer {
    return this.buffer.subarray(0, this.size)
  }

  clear(): void {
    this.buffer = Buffer.alloc(0)
  }

  private grow(neededBytes: number): void {
    if (neededBytes <= this.buffer.length) return
    let capacity = FIRST_BUFFER_BYTES
    while (capacity < neededBytes) capacity *= GROWTH_FACTOR
    const buffer = Buffer.allocUnsafeSlow(Math.max(neededBytes, Math.min(capacity, this.maxBytes)))
    this.buffer.copy(buffer, 0, 0, this.size)
    this.buffer = buffer
  }
}
