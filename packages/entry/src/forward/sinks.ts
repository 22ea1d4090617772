import type { RawHeaders } from "@galenaway/core"
import { EventSplitter, type StreamEvent } from "@galenaway/routing"
import type { AnswerSink, AttemptResult } from "./attempt.js"
import type { Reply } from "./reply.js"

/** Reading that can be held while the caller reads slowly. */
export interface Flow {
  pause(): void
  resume(): void
}

const FIRST_ERROR_STATUS = 300
/** An answer larger than this is passed on as it comes. */
const MAX_BUFFERED_BYTES = 256 * 1024

/** Gathers an answer whole, so that a broken one never reaches the caller. A large one is passed on as it comes. */
export class WholeSink implements AnswerSink {
  private status = 0
  private headers: RawHeaders = []
  private chunks: Buffer[] = []
  private size = 0
  private isPassing = false

  constructor(
    private readonly reply: Reply,
    private readonly getFlow: () => Flow,
  ) {}

  onHead(status: number, headers: RawHeaders): void {
    this.status = status
    this.headers = headers
  }

  onData(chunk: Buffer): boolean {
    this.size += chunk.length
    if (!this.isPassing && this.size <= MAX_BUFFERED_BYTES) {
      this.chunks.push(chunk)
      return true
    }
    if (!this.isPassing) this.startPassing()
    writeHeld(this.reply, chunk, this.getFlow())
    return true
  }

  onEnd(): AttemptResult {
    const { status, headers } = this
    if (!this.isPassing)
      return { kind: "answered", answer: { status, headers, body: Buffer.concat(this.chunks) } }
    this.reply.end()
    return { kind: "streamed" }
  }

  getLastEventId(): undefined {
    return undefined
  }

  private startPassing(): void {
    this.isPassing = true
    this.reply.writeHead(this.status, this.headers)
    for (const chunk of this.chunks) this.reply.write(chunk)
    this.chunks = []
  }
}

/**
 * Passes an event stream on, over one or more attempts, as one answer with the
 * head of the first. With `isResumable` only whole events are passed on, each
 * once and in order.
 */
export class StreamSink {
  private lastEventId: string | undefined
  private lastNumber: number | undefined

  /** `lastEventId` is the last event that the caller already has. */
  constructor(
    private readonly reply: Reply,
    private readonly isResumable: boolean,
    lastEventId: string | undefined,
  ) {
    this.lastNumber = parseEventNumber(lastEventId)
  }

  /** Whether an event has reached the caller. */
  get hasBegun(): boolean {
    return this.reply.hasHead
  }

  /** Builds the sink of one attempt. */
  build(getFlow: () => Flow): AnswerSink {
    const whole = new WholeSink(this.reply, getFlow)
    const splitter = new EventSplitter()
    let head: { status: number; headers: RawHeaders } | undefined
    return {
      onHead: (status, headers) => {
        if (status < FIRST_ERROR_STATUS) head = { status, headers }
        else whole.onHead(status, headers)
      },
      onData: (chunk) => {
        if (!head) return whole.onData(chunk)
        if (this.isResumable) return this.passEvents(splitter.add(chunk), head, getFlow())
        this.startAnswer(head)
        writeHeld(this.reply, chunk, getFlow())
        return true
      },
      onEnd: () => (head ? this.finish(head, splitter) : whole.onEnd()),
      getLastEventId: () => this.lastEventId,
    }
  }

  private passEvents(
    events: readonly StreamEvent[],
    head: { status: number; headers: RawHeaders },
    flow: Flow,
  ): boolean {
    for (const event of events) {
      const order = this.judgeOrder(event)
      if (order === "gap") return false
      if (order === "repeated") continue
      this.startAnswer(head)
      writeHeld(this.reply, event.bytes, flow)
      if (event.id !== undefined) {
        this.lastEventId = event.id
        this.lastNumber = parseEventNumber(event.id)
      }
    }
    return true
  }

  private judgeOrder({ id }: StreamEvent): "next" | "repeated" | "gap" {
    const number = parseEventNumber(id)
    if (number === undefined || this.lastNumber === undefined) return "next"
    if (number <= this.lastNumber) return "repeated"
    return number === this.lastNumber + 1 ? "next" : "gap"
  }

  private startAnswer({ status, headers }: { status: number; headers: RawHeaders }): void {
    if (!this.reply.hasHead) this.reply.writeHead(status, headers)
  }

  private finish(
    head: { status: number; headers: RawHeaders },
    splitter: EventSplitter,
  ): AttemptResult {
    this.startAnswer(head)
    this.reply.end(splitter.removePending())
    return { kind: "streamed" }
  }
}

function writeHeld(reply: Reply, bytes: Buffer, flow: Flow): void {
  if (reply.write(bytes)) return
  flow.pause()
  reply.onDrain(() => {
    flow.resume()
  })
}

function parseEventNumber(id: string | undefined): number | undefined {
  return id !== undefined && /^\d{1,15}$/.test(id) ? Number(id) : undefined
}
