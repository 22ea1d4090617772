import type { ServerResponse } from "node:http"
import type { HeaderCodec, RawHeaders } from "@galenaway/core"
import type { AnswerHolder } from "@galenaway/ingress"
import type { ErrorAnswer } from "./errors.js"

const MS_PER_S = 1000
const UNAUTHORIZED_STATUS = 401
/** A caller that reads slowly may be this far behind before the endpoint is read more slowly as well. An endpoint ends an answer that stays unread for some seconds. */
const MAX_PENDING_BYTES = 256 * 1024

/**
 * Writes the answer to one caller: a head at most once, then bytes, then an end.
 * An answer that can't be completed is aborted, so that the caller never takes
 * it for a complete one.
 */
export class CallerReply {
  private status = 0

  constructor(
    private readonly response: ServerResponse,
    private readonly headerCodec: HeaderCodec,
    /** Returns whether the connection must close after this answer. */
    private readonly shouldClose: () => boolean,
    private readonly holder: AnswerHolder,
    /** Returns whether the caller should use another connection for its next request. Only a head can ask it to. */
    private readonly shouldMove: () => boolean = () => false,
  ) {
    response.sendDate = false
  }

  /** Whether the head has been sent. */
  get hasHead(): boolean {
    return this.response.headersSent
  }

  /** The status that was sent, or 0 before the head. */
  get sentStatus(): number {
    return this.status
  }

  /** Whether the answer has ended or its connection is closed. */
  get isEnded(): boolean {
    return this.response.writableEnded || this.response.destroyed
  }

  /** Sends the status and the end-to-end headers of an endpoint's answer. */
  writeHead(status: number, headers: RawHeaders): void {
    this.status = status
    const added = this.shouldClose() || this.shouldMove() ? ["Connection", "close"] : []
    this.response.writeHead(status, [...this.headerCodec.buildAnswer(headers), ...added])
  }

  /** Sends bytes. Returns false when the caller reads so slowly that no more should be written before `onDrain`. */
  write(bytes: Buffer): boolean {
    if (this.response.write(bytes)) return true
    this.holder.update()
    return this.holder.pendingBytes <= MAX_PENDING_BYTES
  }

  /** Counts bytes of an answer that is gathered before it is written. Returns false when memory is short, so that it should be written at once. */
  gather(bytes: number): boolean {
    return this.holder.gather(bytes)
  }

  /** Ends the count of gathered bytes, which will be written or aren't used. */
  releaseGathered(): void {
    this.holder.releaseGathered()
  }

  /** Calls the listener once when the buffered bytes have been sent. */
  onDrain(listener: () => void): void {
    this.response.once("drain", listener)
  }

  /** Ends the answer as complete. */
  end(bytes?: Buffer): void {
    if (this.shouldClose()) this.closeAfterEnd()
    if (bytes) this.response.end(bytes)
    else this.response.end()
    this.holder.update()
  }

  /** Closes the connection after the answer. Its head may have been sent before the instance began to stop, so that the caller keeps the connection. */
  private closeAfterEnd(): void {
    const { socket } = this.response
    this.response.once("finish", () => {
      socket?.destroySoon()
    })
  }

  /** Sends a complete answer of an endpoint. */
  sendComplete(status: number, headers: RawHeaders, body: Buffer): void {
    this.writeHead(status, headers)
    this.end(body)
  }

  /** Sends an error answer. Aborts an answer that has started; does nothing after its end. */
  sendError(answer: ErrorAnswer): void {
    if (this.isEnded) return
    if (this.hasHead) {
      this.abort()
      return
    }
    this.status = answer.status
    const { code, step, outcome, message } = answer
    const body = Buffer.from(JSON.stringify({ code, step, outcome, message }))
    const headers = ["Content-Type", "application/json", "Content-Length", String(body.length)]
    if (answer.retryAfterMs !== undefined)
      headers.push("Retry-After", String(answer.retryAfterMs / MS_PER_S))
    if (answer.status === UNAUTHORIZED_STATUS) headers.push("WWW-Authenticate", "Bearer")
    if (this.shouldClose() || this.shouldMove()) headers.push("Connection", "close")
    this.response.writeHead(answer.status, headers)
    this.response.end(body)
  }

  /** Closes the connection, so that the caller detects an incomplete answer. */
  abort(): void {
    this.response.destroy()
  }
}
