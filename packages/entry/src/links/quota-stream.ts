import type { ClientDuplexStream } from "@grpc/grpc-js"
import type { QuotaReply, QuotaReport } from "../generated/fleet.js"

type Stream = ClientDuplexStream<QuotaReport, QuotaReply>

/** Reports that a peer doesn't read are dropped above this number of unread bytes. */
const MAX_UNREAD_BYTES = 64 * 1024

/** The reports about quotas to one peer. The stream is opened by the first report, and again after an error. */
export class QuotaStream {
  private stream: Stream | undefined

  /** `open` starts a stream to the peer. */
  constructor(
    private readonly open: () => Stream,
    private readonly onReply: (reply: QuotaReply) => void,
  ) {}

  /** Sends a report. It may be lost; its sender reports again. */
  send(report: QuotaReport): void {
    const stream = this.getStream()
    if (stream.writableLength < MAX_UNREAD_BYTES) stream.write(report)
  }

  /** Closes the stream. */
  close(): void {
    const { stream } = this
    this.stream = undefined
    stream?.cancel()
  }

  private getStream(): Stream {
    if (this.stream) return this.stream
    const stream = this.open()
    this.stream = stream
    stream.on("data", (reply: QuotaReply) => {
      if (this.stream === stream) this.onReply(reply)
    })
    const remove = () => {
      if (this.stream === stream) this.stream = undefined
    }
    stream.on("error", remove)
    stream.on("end", remove)
    return stream
  }
}
