import { randomUUID } from "node:crypto"
import type { Request, Response } from "@tinyhttp/app"
import getRawBody from "raw-body"
import {
  type Clock,
  type EndpointId,
  type EnginePort,
  type Grant,
  type GrantResult,
  RefusedError,
  type Router,
  type StreamPart,
} from "@galenaway/core"
import { streamAnswer } from "./answer.js"
import { sendError, wrapError } from "./errors.js"
import { type ParsedCompletion, parseCompletion, refuseInput } from "./parse.js"

/** The largest accepted body of a request, in bytes. */
export const BODY_LIMIT_BYTES = 1024 * 1024

/** Serves `POST /v1/chat/completions`. */
export class CompletionHandler {
  constructor(
    private readonly router: Router,
    private readonly engines: ReadonlyMap<EndpointId, EnginePort>,
    private readonly clock: Clock,
  ) {}

  /** Answers one request. It never throws; errors go to the caller. */
  async handle(request: Request, response: Response): Promise<void> {
    const abort = new AbortController()
    response.on("close", () => {
      abort.abort()
    })
    try {
      const id = randomUUID()
      const body = await readLimitedBody(request)
      const parsed = parseCompletion(id, body, request.headers, this.clock.now())
      await this.run(parsed, response, abort.signal)
    } catch (error) {
      sendError(response, error)
    }
  }

  private async run(parsed: ParsedCompletion, response: Response, signal: AbortSignal) {
    const grant = await this.router.acquire(parsed.route, signal)
    let result: GrantResult = "failed"
    try {
      const parts = this.callEngine(grant, parsed, signal)
      if (parsed.isStreamed) await writeStream(parts, response)
      else await writeWhole(parts, parsed.route.id, response)
      result = "done"
    } catch (error) {
      if (signal.aborted) {
        result = "canceled"
        await this.engines.get(grant.endpoint)?.cancel(grant.request)
      } else if (wrapError(error).code === "not-found") result = "adapter-missing"
      throw error
    } finally {
      this.router.release(grant, result)
    }
  }

  private callEngine(grant: Grant, parsed: ParsedCompletion, signal: AbortSignal) {
    const engine = this.engines.get(grant.endpoint)
    if (!engine)
      throw new RefusedError(
        "no-endpoint",
        "send",
        grant.endpoint,
        "not in this instance's settings",
      )
    const { id, adapter, rank, maxTokens } = parsed.route
    const call = { request: id, adapter, rank, maxTokens, messages: parsed.messages }
    return streamAnswer(engine, grant.endpoint, call, signal)
  }
}

/** Reads a body up to the limit. Throws a RefusedError beyond it. */
export async function readLimitedBody(request: Request): Promise<string> {
  try {
    return await getRawBody(request, { limit: BODY_LIMIT_BYTES, encoding: "utf8" })
  } catch {
    throw refuseInput(`body: at most ${BODY_LIMIT_BYTES} bytes`)
  }
}

async function writeStream(parts: AsyncIterable<StreamPart>, response: Response): Promise<void> {
  for await (const part of parts) {
    if (!response.headersSent) response.writeHead(200, { "content-type": "text/event-stream" })
    const isFlushed = response.write(formatChunk(part))
    if (!isFlushed) await new Promise((resolve) => response.once("drain", resolve))
  }
  response.end("data: [DONE]\n\n")
}

async function writeWhole(
  parts: AsyncIterable<StreamPart>,
  id: string,
  response: Response,
): Promise<void> {
  let content = ""
  for await (const part of parts) {
    if (part.kind === "token") content += part.text
    else response.json(formatCompletion(part, id, content))
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

function formatCompletion(part: StreamPart, id: string, content: string) {
  const finish_reason = part.kind === "done" ? part.finishReason : "length"
  return {
    id,
    object: "chat.completion",
    model: part.source.adapter,
    choices: [{ index: 0, message: { role: "assistant", content }, finish_reason }],
    usage: { completion_tokens: part.sequence - 1 },
  }
}
