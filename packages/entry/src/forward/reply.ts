import type { ServerResponse } from "node:http"
import type { HeaderCodec, RawHeaders } from "@galenaway/core"
import type { OwnAnswer } from "./errors.js"

const MS_PER_S = 1000

/** The answer to one caller: a head at most once, then bytes, then an end. An answer that can't be finished is broken off, so that it never looks complete. */
export class Reply {
  private status = 0

  constructor(
    private readonly response: ServerResponse,
    private readonly dialect: HeaderCodec,
    /** Whether the connection should end after this answer. */
    private readonly isClosing: () => boolean,
  ) {
    response.sendDate = false
  }

  /** Whether the head has gone out. */
  get hasHead(): boolean {
    return this.response.headersSent
  }

  /** The status that was sent; 0 before the head. */
  get sentStatus(): number {
    return this.status
  }

  /** Whether nothing more can be sent. */
  get isOver(): boolean {
    return this.response.writableEnded || this.response.destroyed
  }

  /** Sends an endpoint's head. */
  writeHead(status: number, headers: RawHeaders): void {
    this.status = status
    const own = this.isClosing() ? ["Connection", "close"] : []
    this.response.writeHead(status, [...this.dialect.buildAnswer(headers), ...own])
  }

  /** Sends bytes. Returns false when the caller reads more slowly than they come. */
  write(bytes: Buffer): boolean {
    return this.response.write(bytes)
  }

  /** Calls back when the caller has read what was sent. */
  onDrain(listener: () => void): void {
    this.response.once("drain", listener)
  }

  /** Ends the answer as complete. */
  end(bytes?: Buffer): void {
    if (bytes) this.response.end(bytes)
    else this.response.end()
  }

  /** Sends a whole answer of an endpoint's. */
  sendWhole(status: number, headers: RawHeaders, body: Buffer): void {
    this.writeHead(status, headers)
    this.end(body)
  }

  /** Sends an answer of this instance's own, or breaks off one that has begun. */
  sendOwn(answer: OwnAnswer): void {
    if (this.isOver) return
    if (this.hasHead) {
      this.breakOff()
      return
    }
    this.status = answer.status
    const { code, step, outcome, message } = answer
    const body = Buffer.from(JSON.stringify({ code, step, outcome, message }))
    const headers = ["Content-Type", "application/json", "Content-Length", String(body.length)]
    if (answer.retryAfterMs !== undefined)
      headers.push("Retry-After", String(answer.retryAfterMs / MS_PER_S))
    if (this.isClosing()) headers.push("Connection", "close")
    this.response.writeHead(answer.status, headers)
    this.response.end(body)
  }

  /** Closes the connection so that the answer can't be taken for a whole one. */
  breakOff(): void {
    this.response.destroy()
  }
}
