import type { RawHeaders } from "@galenaway/core"
import { EventSplitter, type StreamEvent } from "@galenaway/routing"
import type { AnswerSink, AttemptResult } from "./attempt.js"
import type { CallerReply } from "./reply.js"

/** Pauses and resumes reading an endpoint's answer, for callers that read slowly. */
export interface FlowControl {
  pause(): void
  resume(): void
}

const FIRST_ERROR_STATUS = 300
/** A larger answer is streamed to the caller. */
const MAX_BUFFERED_BYTES = 256 * 1024

/**
 * Buffers a complete answer, so that a broken one is never sent to the caller.
 * An answer of more than 256 KiB is streamed instead.
 */
export class BufferingSink implements AnswerSink {
  private status = 0
  private headers: RawHeaders = []
  private chunks: Buffer[] = []
  private size = 0
  private isStreaming = false

  constructor(
    private readonly reply: CallerReply,
    private readonly getFlowControl: () => FlowControl,
  ) {}

  onHead(status: number, headers: RawHeaders): void {
    this.status = status
    this.headers = headers
  }

  onData(chunk: Buffer): boolean {
    this.size += chunk.length
    if (!this.isStreaming && this.size <= MAX_BUFFERED_BYTES) {
      this.chunks.push(chunk)
      return true
    }
    if (!this.isStreaming) this.startStreaming()
    writeWithBackpressure(this.reply, chunk, this.getFlowControl())
    return true
  }

  onEnd(): AttemptResult {
    const { status, headers } = this
    if (!this.isStreaming)
      return { kind: "answered", answer: { status, headers, body: Buffer.concat(this.chunks) } }
    this.reply.end()
    return { kind: "streamed" }
  }

  getLastEventId(): undefined {
    return undefined
  }

  private startStreaming(): void {
    this.isStreaming = true
    this.reply.writeHead(this.status, this.headers)
    for (const chunk of this.chunks) this.reply.write(chunk)
    this.chunks = []
  }
}

/**
 * Sends the event streams of one or more attempts to the caller as one answer
 * with the head of the first. With `isResumable`, only complete events are sent,
 * each once and in the order of their numbers.
 */
export class StreamSink {
  private lastEventId: string | undefined
  private lastEventNumber: number | undefined

  /** `lastEventId` is the id of the last event that the caller has received. */
  constructor(
    private readonly reply: CallerReply,
    private readonly isResumable: boolean,
    lastEventId: string | undefined,
  ) {
    this.lastEventNumber = parseEventNumber(lastEventId)
  }

  /** Whether the answer to the caller has started. */
  get hasStarted(): boolean {
    return this.reply.hasHead
  }

  /** Creates the sink of one attempt. Attempts run one after the other. */
  createSink(getFlowControl: () => FlowControl): AnswerSink {
    const errorSink = new BufferingSink(this.reply, getFlowControl)
    const splitter = new EventSplitter()
    let head: { status: number; headers: RawHeaders } | undefined
    return {
      onHead: (status, headers) => {
        if (status < FIRST_ERROR_STATUS) head = { status, headers }
        else errorSink.onHead(status, headers)
      },
      onData: (chunk) => {
        if (!head) return errorSink.onData(chunk)
        if (this.isResumable) return this.writeEvents(splitter.add(chunk), head, getFlowControl())
        this.writeHeadOnce(head)
        writeWithBackpressure(this.reply, chunk, getFlowControl())
        return true
      },
      onEnd: () => (head ? this.endStream(head, splitter) : errorSink.onEnd()),
      getLastEventId: () => this.lastEventId,
    }
  }

  private writeEvents(
    events: readonly StreamEvent[],
    head: { status: number; headers: RawHeaders },
    flowControl: FlowControl,
  ): boolean {
    for (const event of events) {
      const order = this.classifyEvent(event)
      if (order === "gap") return false
      if (order === "repeated") continue
      this.writeHeadOnce(head)
      writeWithBackpressure(this.reply, event.bytes, flowControl)
      if (event.id !== undefined) {
        this.lastEventId = event.id
        this.lastEventNumber = parseEventNumber(event.id)
      }
    }
    return true
  }

  private classifyEvent({ id }: StreamEvent): "next" | "repeated" | "gap" {
    const number = parseEventNumber(id)
    if (number === undefined || this.lastEventNumber === undefined) return "next"
    if (number <= this.lastEventNumber) return "repeated"
    return number === this.lastEventNumber + 1 ? "next" : "gap"
  }

  private writeHeadOnce({ status, headers }: { status: number; headers: RawHeaders }): void {
    if (!this.reply.hasHead) this.reply.writeHead(status, headers)
  }

  private endStream(
    head: { status: number; headers: RawHeaders },
    splitter: EventSplitter,
  ): AttemptResult {
    this.writeHeadOnce(head)
    this.reply.end(splitter.removePending())
    return { kind: "streamed" }
  }
}

function writeWithBackpressure(reply: CallerReply, bytes: Buffer, flowControl: FlowControl): void {
  if (reply.write(bytes)) return
  flowControl.pause()
  reply.onDrain(() => {
    flowControl.resume()
  })
}

function parseEventNumber(id: string | undefined): number | undefined {
  return id !== undefined && /^\d{1,15}$/.test(id) ? Number(id) : undefined
}
