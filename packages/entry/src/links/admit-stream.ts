import type { ClientDuplexStream } from "@grpc/grpc-js"
import { type Millis, ReadTimeout } from "@galenaway/core"
import type { AdmitReply, AdmitRequest } from "../generated/fleet.js"

type Stream = ClientDuplexStream<AdmitRequest, AdmitReply>

interface PendingRequest {
  readonly resolve: (reply: AdmitReply) => void
  readonly reject: (error: Error) => void
}

/** An admission request that its peer didn't answer in time. */
export class AdmitTimeoutError extends Error {
  override readonly name = "AdmitTimeoutError"
}

/**
 * The admission requests to one peer. They share one stream, since a call of its
 * own for each request would cost several times as much processor time. The
 * stream is opened by the first request, and again after an error.
 */
export class AdmitStream {
  private readonly pending = new Map<number, PendingRequest>()
  private stream: Stream | undefined
  private lastId = 0

  /** `open` starts a stream to the peer. */
  constructor(private readonly open: () => Stream) {}

  /** Sends a request. Rejects if the stream breaks, if no reply comes in time, and when the signal is aborted. */
  send(request: AdmitRequest, timeoutMs: Millis, signal: AbortSignal): Promise<AdmitReply> {
    const id = ++this.lastId
    const stream = this.getStream()
    return new Promise((resolve, reject) => {
      const cancel = (error: Error) => {
        this.pending.get(id)?.reject(error)
        stream.write({ ...request, id, isCancelled: true })
      }
      const onAbort = () => {
        cancel(new Error("the caller has left"))
      }
      const timeout = new ReadTimeout()
      timeout.start(timeoutMs, () => {
        cancel(new AdmitTimeoutError("no reply in time"))
      })
      const settle = () => {
        timeout.cancel()
        signal.removeEventListener("abort", onAbort)
        this.pending.delete(id)
      }
      this.pending.set(id, {
        resolve: (reply) => {
          settle()
          resolve(reply)
        },
        reject: (error) => {
          settle()
          reject(error)
        },
      })
      signal.addEventListener("abort", onAbort, { once: true })
      stream.write({ ...request, id })
    })
  }

  /** Closes the stream. The requests that wait are rejected. */
  close(): void {
    this.stream?.cancel()
    this.onBroken(this.stream, new Error("the connection to the peer was closed"))
  }

  private getStream(): Stream {
    if (this.stream) return this.stream
    const stream = this.open()
    this.stream = stream
    stream.on("data", (reply: AdmitReply) => {
      this.pending.get(reply.id)?.resolve(reply)
    })
    stream.on("error", (error) => {
      this.onBroken(stream, error)
    })
    stream.on("end", () => {
      this.onBroken(stream, new Error("the peer ended the stream"))
    })
    return stream
  }

  private onBroken(stream: Stream | undefined, error: Error): void {
    if (this.stream !== stream) return
    this.stream = undefined
    for (const { reject } of [...this.pending.values()]) reject(error)
  }
}
