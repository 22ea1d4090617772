import type { RawHeaders } from "@galenaway/core"
import { EventSplitter, type StreamEvent } from "@galenaway/routing"
import type { AnswerSink, AttemptResult, DataOutcome } from "./answer.js"
import type { CallerReply } from "./reply.js"

/** Pauses and resumes reading an endpoint's answer, for callers that read slowly. */
export interface FlowControl {
  pause(): void
  resume(): void
}

const FIRST_ERROR_STATUS = 300
/** A larger answer is streamed to the caller. */
const MAX_BUFFERED_BYTES = 256 * 1024
/** A larger event is no event: an endpoint in trouble sends bytes without end. */
const MAX_EVENT_BYTES = 1024 * 1024
/** Headers that define where a body ends. Without them it ends with its connection. */
const LENGTH_HEADERS: ReadonlySet<string> = new Set(["content-length", "transfer-encoding"])

interface StreamHead {
  readonly status: number
  readonly headers: RawHeaders
}

/**
 * Buffers a complete answer, so that a broken one is never sent to the caller.
 * An answer of more than 256 KiB is streamed instead, and any answer when
 * memory is short.
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
    this.reply.releaseGathered()
  }

  onData(chunk: Buffer): DataOutcome {
    this.size += chunk.length
    if (!this.isStreaming) {
      this.chunks.push(chunk)
      if (this.reply.gather(chunk.length) && this.size <= MAX_BUFFERED_BYTES) return "used"
      this.startStreaming()
      return "used"
    }
    writeWithBackpressure(this.reply, chunk, this.getFlowControl())
    return "used"
  }

  onEnd(): AttemptResult {
    const { status, headers } = this
    this.reply.releaseGathered()
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
    this.reply.releaseGathered()
    this.reply.writeHead(this.status, this.headers)
    writeWithBackpressure(this.reply, Buffer.concat(this.chunks), this.getFlowControl())
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

  /** Whether another attempt can continue the answer: it hasn't started, or the events after the last one can be asked for. */
  get canContinue(): boolean {
    return !this.hasStarted || (this.isResumable && this.lastEventNumber !== undefined)
  }

  /** Creates the sink of one attempt. Attempts run one after the other. */
  createSink(getFlowControl: () => FlowControl): AnswerSink {
    const errorSink = new BufferingSink(this.reply, getFlowControl)
    const splitter = new EventSplitter()
    let head: StreamHead | undefined
    let isEmpty = true
    return {
      onHead: (status, headers) => {
        if (status < FIRST_ERROR_STATUS) head = { status, headers }
        else errorSink.onHead(status, headers)
      },
      onData: (chunk) => {
        if (!head) return this.hasStarted ? "kept" : errorSink.onData(chunk)
        isEmpty = false
        const events = splitter.add(chunk)
        if (splitter.pendingBytes > MAX_EVENT_BYTES) return "rejected"
        if (this.isResumable) return this.writeEvents(events, head, getFlowControl())
        this.writeHeadOnce(head)
        writeWithBackpressure(this.reply, chunk, getFlowControl())
        return events.length > 0 ? "used" : "kept"
      },
      onEnd: () => (head ? this.endStream(head, splitter, isEmpty) : errorSink.onEnd()),
      getLastEventId: () => this.lastEventId,
    }
  }

  /** Sends the events that the caller doesn't have. They count as used if they continue the stream, which comments and repetitions don't. */
  private writeEvents(
    events: readonly StreamEvent[],
    head: StreamHead,
    flowControl: FlowControl,
  ): DataOutcome {
    let outcome: DataOutcome = "kept"
    for (const event of events) {
      const order = this.classifyEvent(event)
      if (order === "gap") return "rejected"
      if (order === "repeated") continue
      if (event.id !== undefined || this.lastEventNumber === undefined) outcome = "used"
      this.writeHeadOnce(head)
      writeWithBackpressure(this.reply, event.bytes, flowControl)
      if (event.id !== undefined) {
        this.lastEventId = event.id
        this.lastEventNumber = parseEventNumber(event.id)
      }
    }
    return outcome
  }

  private classifyEvent({ id }: StreamEvent): "next" | "repeated" | "gap" {
    const number = parseEventNumber(id)
    if (number === undefined || this.lastEventNumber === undefined) return "next"
    if (number <= this.lastEventNumber) return "repeated"
    return number === this.lastEventNumber + 1 ? "next" : "gap"
  }

  private writeHeadOnce({ status, headers }: StreamHead): void {
    if (!this.reply.hasHead) this.reply.writeHead(status, headers)
  }

  /** Ends the answer. A stream that ends within an event, or that has none and no length, was broken off. */
  private endStream(head: StreamHead, splitter: EventSplitter, isEmpty: boolean): AttemptResult {
    if (splitter.pendingBytes > 0 || (isEmpty && !hasLength(head.headers)))
      return { kind: "failed", cause: "broken" }
    this.writeHeadOnce(head)
    this.reply.end()
    return { kind: "streamed" }
  }
}

function hasLength(headers: RawHeaders): boolean {
  return headers.some((name, index) => index % 2 === 0 && LENGTH_HEADERS.has(name.toLowerCase()))
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
