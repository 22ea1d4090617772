import { createParser } from "eventsource-parser"
import { type Agent, type Dispatcher, request as sendRequest } from "undici"
import {
  type AdapterKey,
  type AdapterOrder,
  type CompletionCall,
  describeError,
  type EndpointInfo,
  type EnginePort,
  type EngineReport,
  getRankOrder,
  type OrderResult,
  RefusedError,
  type RequestId,
  type RunSource,
  type StreamPart,
  UnknownOutcomeError,
} from "@galenaway/core"

const ORDER_TIMEOUT_MS = 30_000
const REPORT_TIMEOUT_MS = 1000
const HEADERS_TIMEOUT_MS = 30_000

/** An engine behind the HTTP interface of the common model servers. */
export class HttpEngine implements EnginePort {
  constructor(
    readonly info: EndpointInfo,
    private readonly agent: Agent,
  ) {}

  async *complete(call: CompletionCall, signal: AbortSignal): AsyncGenerator<StreamPart> {
    const response = await this.send("/v1/chat/completions", {
      method: "POST",
      headers: { "content-type": "application/json", "x-request-id": call.request },
      body: JSON.stringify({
        model: call.adapter,
        messages: call.messages,
        max_tokens: call.maxTokens,
        priority: getRankOrder(call.rank),
        stream: true,
      }),
      signal,
    })
    yield* this.readStream(response)
  }

  async *resume(
    request: RequestId,
    afterSequence: number,
    signal: AbortSignal,
  ): AsyncGenerator<StreamPart> {
    const path = `/v1/chat/completions/${encodeURIComponent(request)}/events`
    const headers = { "last-event-id": String(afterSequence) }
    const response = await this.send(path, { method: "GET", headers, signal })
    yield* this.readStream(response)
  }

  async cancel(request: RequestId): Promise<void> {
    const path = `/v1/chat/completions/${encodeURIComponent(request)}`
    const response = await this.send(path, { method: "DELETE" })
    await response.body.dump()
  }

  load(order: AdapterOrder): Promise<OrderResult> {
    return this.order("/v1/load_lora_adapter", order)
  }

  unload(order: AdapterOrder): Promise<OrderResult> {
    return this.order("/v1/unload_lora_adapter", order)
  }

  async report(): Promise<EngineReport> {
    const signal = AbortSignal.timeout(REPORT_TIMEOUT_MS)
    const response = await this.send("/load", { method: "GET", signal })
    return (await response.body.json()) as EngineReport
  }

  private async order(path: string, order: AdapterOrder): Promise<OrderResult> {
    try {
      const { statusCode, body } = await sendRequest(`${this.info.url}${path}`, {
        method: "POST",
        dispatcher: this.agent,
        headers: {
          "content-type": "application/json",
          "x-fencing-token": String(order.fencingNumber),
        },
        body: JSON.stringify({ lora_name: order.adapter, lora_path: order.adapter }),
        headersTimeout: ORDER_TIMEOUT_MS,
      })
      await body.dump()
      if (statusCode === 409) return "fenced"
      return statusCode === 200 ? "done" : "rejected"
    } catch {
      return "unresolved"
    }
  }

  private async send(
    path: string,
    options: {
      method: Dispatcher.HttpMethod
      headers?: Record<string, string>
      body?: string
      signal?: AbortSignal
    },
  ): Promise<Dispatcher.ResponseData> {
    const peer = this.info.id
    let response: Dispatcher.ResponseData
    try {
      response = await sendRequest(`${this.info.url}${path}`, {
        ...options,
        dispatcher: this.agent,
        headersTimeout: HEADERS_TIMEOUT_MS,
        bodyTimeout: 0,
      })
    } catch (error) {
      if (isConnectFailure(error))
        throw new RefusedError("endpoint-failed", "send", peer, describeError(error))
      throw new UnknownOutcomeError("endpoint-failed", "send", peer, describeError(error))
    }
    if (response.statusCode === 200) return response
    const text = await response.body.text()
    const code = response.statusCode === 404 ? "not-found" : "endpoint-failed"
    throw new RefusedError(code, "send", peer, `status ${response.statusCode}: ${text}`)
  }

  private async *readStream(response: Dispatcher.ResponseData): AsyncGenerator<StreamPart> {
    const parts: StreamPart[] = []
    const parser = createParser({
      onEvent: (event) => {
        const part = parsePart(event.id, event.data)
        if (part) parts.push(part)
      },
    })
    const decoder = new TextDecoder()
    try {
      for await (const bytes of response.body) {
        parser.feed(decoder.decode(bytes as Uint8Array, { stream: true }))
        for (const part of parts.splice(0)) {
          yield part
          if (part.kind === "done") return
        }
      }
    } catch (error) {
      throw this.failStream(describeError(error))
    }
    throw this.failStream("the stream ended early")
  }

  private failStream(message: string): UnknownOutcomeError {
    return new UnknownOutcomeError("endpoint-failed", "stream", this.info.id, message)
  }
}

interface Chunk {
  readonly id: string
  readonly model: string
  readonly system_fingerprint: string
  readonly choices: readonly {
    readonly delta: { readonly content?: string }
    readonly finish_reason: string | null
  }[]
}

function parsePart(id: string | undefined, data: string): StreamPart | undefined {
  if (data === "[DONE]") return undefined
  const chunk = JSON.parse(data) as Chunk
  const choice = chunk.choices[0]
  if (!choice) return undefined
  const source: RunSource = {
    request: chunk.id,
    adapter: chunk.model as AdapterKey,
    run: chunk.system_fingerprint,
  }
  const sequence = Number(id)
  if (choice.finish_reason !== null)
    return { kind: "done", sequence, finishReason: choice.finish_reason, source }
  return { kind: "token", sequence, text: choice.delta.content ?? "", source }
}

function isConnectFailure(error: unknown): boolean {
  const code = (error as { code?: string }).code ?? ""
  return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT" || code === "EHOSTUNREACH"
}
