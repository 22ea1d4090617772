import type { Dispatcher } from "undici"
import type { RawHeaders } from "@galenaway/core"
import { isInReset } from "./resets.js"

/** A request as it goes to an endpoint. */
export interface OutgoingRequest {
  readonly method: string
  readonly path: string
  readonly headers: string[]
  readonly body: Buffer
}

/** What comes of an exchange; after `onEnd` or `onError` nothing more. */
export interface ExchangeEvents {
  onHead(status: number, headers: RawHeaders): void
  onData(chunk: Buffer): void
  /** The answer is complete. */
  onEnd(): void
  /** `mayHaveLeft` is false when no byte of the request can have left. */
  onError(error: Error, mayHaveLeft: boolean): void
}

const FIRST_FINAL_STATUS = 200

/** An exchange was given up on purpose. */
export class ExchangeAbortedError extends Error {
  override readonly name = "ExchangeAbortedError"
}

/** One request to an endpoint and its answer, as they come over the wire. */
export class Exchange implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined
  private hasStarted = false
  private isOver = false

  constructor(private readonly events: ExchangeEvents) {}

  /** Sends the request. */
  start(dispatcher: Dispatcher, request: OutgoingRequest): void {
    const { method, path, headers, body } = request
    dispatcher.dispatch(
      {
        method: method,
        path,
        headers,
        body: body.length > 0 ? body : null,
      },
      this,
    )
  }

  /** Gives the exchange up: the connection is closed, and no event follows. */
  abort(): void {
    if (this.isOver) return
    this.isOver = true
    this.controller?.abort(new ExchangeAbortedError("given up"))
  }

  /** Stops reading until it is resumed. */
  pause(): void {
    this.controller?.pause()
  }

  /** Goes on reading. */
  resume(): void {
    this.controller?.resume()
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller
    if (this.isOver) controller.abort(new ExchangeAbortedError("given up before it was sent"))
    else this.hasStarted = true
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (this.isOver || status < FIRST_FINAL_STATUS) return
    this.events.onHead(status, decodeHeaders(controller.rawHeaders))
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.isOver) this.events.onData(chunk)
  }

  onResponseEnd(): void {
    if (this.isOver) return
    this.isOver = true
    if (isInReset()) this.events.onError(new Error("reset before the end of the answer"), true)
    else this.events.onEnd()
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.isOver) return
    this.isOver = true
    this.events.onError(error, this.hasStarted)
  }
}

function decodeHeaders(raw: Dispatcher.DispatchController["rawHeaders"]): RawHeaders {
  if (!Array.isArray(raw)) return []
  return raw.map((part) => (typeof part === "string" ? part : part.toString("latin1")))
}
