import type { Response } from "@tinyhttp/app"
import { GalenawayError, type StreamPart } from "@galenaway/core"
import { formatErrorBody, sendError } from "./errors.js"
import type { TimeSource } from "./idle-timeout.js"

/** The longest time for which a caller may stop reading while data is buffered for it. */
export const STALL_LIMIT_MS = 30_000

/** Writes an answer to its caller. */
export interface AnswerWriter {
  /** Whether a byte of the answer may have been sent to the caller. */
  readonly hasStarted: boolean
  /** Writes the next part. Resolves when the next one can be written. Throws when the caller stops reading for `STALL_LIMIT_MS`. */
  write(part: StreamPart): Promise<void>
  /** Ends the answer with an error that can't be mistaken for the end of a complete answer. */
  fail(error: GalenawayError): void
}

/** Writes parts as server-sent events. Buffers nothing beyond the write buffer of the connection. */
export class StreamWriter implements AnswerWriter {
  hasStarted = false

  constructor(
    private readonly response: Response,
    private readonly time: TimeSource,
  ) {}

  async write(part: StreamPart): Promise<void> {
    if (!this.hasStarted) {
      this.hasStarted = true
      const headers = { "content-type": "text/event-stream", "cache-control": "no-store" }
      this.response.writeHead(200, headers)
    }
    const isFlushed = this.response.write(formatChunk(part))
    if (part.kind === "done") this.response.end("data: [DONE]\n\n")
    else if (!isFlushed) await this.waitForDrain()
  }

  fail(error: GalenawayError): void {
    if (!this.hasStarted) {
      sendError(this.response, error)
      return
    }
    this.response.end(`event: error\ndata: ${JSON.stringify(formatErrorBody(error))}\n\n`)
  }

  private async waitForDrain(): Promise<void> {
    const writable = new AbortController()
    const notify = () => {
      writable.abort()
    }
    this.response.once("drain", notify).once("close", notify)
    await this.time.wait(STALL_LIMIT_MS, writable.signal)
    this.response.off("drain", notify).off("close", notify)
    if (writable.signal.aborted) return
    this.response.destroy()
    const message = `the caller took nothing for ${STALL_LIMIT_MS} ms`
    throw new GalenawayError("canceled", "stream", "caller", "unknown", message)
  }
}

/** Buffers the parts and writes the answer when it is complete. A part with the sequence number 1 discards those of an earlier attempt. */
export class BufferingWriter implements AnswerWriter {
  hasStarted = false
  private content = ""

  constructor(private readonly response: Response) {}

  write(part: StreamPart): Promise<void> {
    if (part.sequence === 1) this.content = ""
    if (part.kind === "token") this.content += part.text
    else {
      this.hasStarted = true
      this.response.json(formatCompletion(part, this.content))
    }
    return Promise.resolve()
  }

  fail(error: GalenawayError): void {
    sendError(this.response, error)
  }
}

function formatChunk(part: StreamPart): string {
  const delta = part.kind === "token" ? { content: part.text } : {}
  const finish_reason = part.kind === "done" ? part.finishReason : null
  const chunk = {
    id: part.source.request,
    object: "chat.completion.chunk",
    model: part.source.adapter,
    choices: [{ index: 0, delta, finish_reason }],
  }
  return `id: ${part.sequence}\ndata: ${JSON.stringify(chunk)}\n\n`
}

function formatCompletion(part: Extract<StreamPart, { kind: "done" }>, content: string) {
  const message = { role: "assistant", content }
  return {
    id: part.source.request,
    object: "chat.completion",
    model: part.source.adapter,
    choices: [{ index: 0, message, finish_reason: part.finishReason }],
    usage: { completion_tokens: part.sequence - 1 },
  }
}
