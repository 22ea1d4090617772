import type { Dispatcher } from "undici"
import type { RawHeaders } from "@galenaway/core"
import { isHandlingReset } from "./resets.js"

/** A request as it is sent to an endpoint. */
export interface OutgoingRequest {
  readonly method: string
  readonly path: string
  readonly headers: string[]
  readonly body: Buffer
}

/** Events of an exchange. `onEnd` or `onError` is the last one. */
export interface ExchangeEvents {
  /** A connection is free. Returns false after having aborted the exchange, so that nothing is sent. */
  canSend(): boolean
  onHead(status: number, headers: RawHeaders): void
  onData(chunk: Buffer): void
  /** The answer is complete. */
  onEnd(): void
  /** The exchange failed. `mayHaveBeenSent` is false when no byte of the request can have been sent. */
  onError(error: Error, mayHaveBeenSent: boolean): void
}

const FIRST_FINAL_STATUS = 200

/** Reason with which an exchange is aborted on purpose. */
export class ExchangeAbortedError extends Error {
  override readonly name = "ExchangeAbortedError"
}

/** One HTTP request to an endpoint and its answer, reported as events. */
export class HttpExchange implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined
  private isSendStarted = false
  private isEnded = false

  constructor(private readonly events: ExchangeEvents) {}

  /** Sends the request. Called once. Never throws; an error of the dispatcher is reported as an event. */
  start(dispatcher: Dispatcher, request: OutgoingRequest): void {
    const { method, path, headers, body } = request
    const options = { method, path, headers, body: body.length > 0 ? body : null }
    try {
      dispatcher.dispatch(options, this)
    } catch (error) {
      this.onFailure(error instanceof Error ? error : new Error(String(error)))
    }
  }

  /** Aborts the exchange: the connection is closed, and no event follows. */
  abort(): void {
    if (this.isEnded) return
    this.isEnded = true
    this.controller?.abort(new ExchangeAbortedError("exchange aborted"))
  }

  /** Stops reading the answer until `resume` is called. */
  pause(): void {
    this.controller?.pause()
  }

  /** Continues reading the answer. */
  resume(): void {
    this.controller?.resume()
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller
    if (this.isEnded)
      controller.abort(new ExchangeAbortedError("exchange aborted before the request was sent"))
    else this.isSendStarted = this.events.canSend()
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (this.isEnded || status < FIRST_FINAL_STATUS) return
    this.events.onHead(status, decodeHeaders(controller.rawHeaders))
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.isEnded) this.events.onData(chunk)
  }

  onResponseEnd(): void {
    if (this.isEnded) return
    this.isEnded = true
    if (isHandlingReset())
      this.events.onError(new Error("connection reset before the end of the answer"), true)
    else this.events.onEnd()
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.onFailure(error)
  }

  private onFailure(error: Error): void {
    if (this.isEnded) return
    this.isEnded = true
    this.events.onError(error, this.isSendStarted)
  }
}

function decodeHeaders(raw: Dispatcher.DispatchController["rawHeaders"]): RawHeaders {
  if (!Array.isArray(raw)) return []
  return raw.map((part) => (typeof part === "string" ? part : part.toString("latin1")))
}
