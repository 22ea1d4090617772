import { createParser } from "eventsource-parser"
import { type Agent, Client, type Dispatcher, request as sendRequest } from "undici"
import {
  type AdapterKey,
  type AdapterOrder,
  type CompletionCall,
  describeError,
  type EndpointInfo,
  type EnginePort,
  type EngineReport,
  getRankIndex,
  type OrderResult,
  RefusedError,
  type RequestId,
  type RunInfo,
  type ErrorStep,
  type StreamPart,
  UnknownOutcomeError,
} from "@galenaway/core"
import { isConnectFailure } from "./connect-failure.js"

const ORDER_TIMEOUT_MS = 30_000
const REPORT_TIMEOUT_MS = 1000
const CANCEL_TIMEOUT_MS = 2000
const HEADERS_TIMEOUT_MS = 300_000
const CONNECT_TIMEOUT_MS = 1000
const OK = 200
const NOT_FOUND = 404

/** Client of an engine with the HTTP interface that common model servers share. */
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
        priority: getRankIndex(call.rank),
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
    const connection = this.openConnection()
    try {
      const options = { method: "GET", headers, signal, dispatcher: connection } as const
      const response = await this.request("resume", path, options)
      if (response.statusCode !== OK) throw await this.createResumeError(response)
      yield* this.readStream(response)
    } finally {
      connection.destroy(null, () => undefined)
    }
  }

  async cancel(request: RequestId): Promise<void> {
    const path = `/v1/chat/completions/${encodeURIComponent(request)}`
    const signal = AbortSignal.timeout(CANCEL_TIMEOUT_MS)
    const connection = this.openConnection()
    try {
      const options = { method: "DELETE", signal, dispatcher: connection } as const
      const { statusCode, body } = await this.request("send", path, options)
      await body.dump()
      if (statusCode !== OK && statusCode !== NOT_FOUND)
        throw this.createError("send", `status ${statusCode}`)
    } finally {
      connection.destroy(null, () => undefined)
    }
  }

  load(order: AdapterOrder): Promise<OrderResult> {
    return this.sendOrder("/v1/load_lora_adapter", order)
  }

  unload(order: AdapterOrder): Promise<OrderResult> {
    return this.sendOrder("/v1/unload_lora_adapter", order)
  }

  async report(): Promise<EngineReport> {
    const signal = AbortSignal.timeout(REPORT_TIMEOUT_MS)
    const response = await this.send("/load", { method: "GET", signal })
    return (await response.body.json()) as EngineReport
  }

  /** Opens a connection outside the pool. A pooled connection may be stalled, so calls that resolve an unknown outcome don't use the pool. */
  private openConnection(): Client {
    return new Client(this.info.url, { connect: { timeout: CONNECT_TIMEOUT_MS } })
  }

  private async createResumeError(response: Dispatcher.ResponseData): Promise<UnknownOutcomeError> {
    await response.body.dump()
    if (response.statusCode !== NOT_FOUND)
      return this.createError("resume", `status ${response.statusCode}`)
    const message = "the endpoint has no such run"
    return new UnknownOutcomeError("not-found", "resume", this.info.id, message)
  }

  private async sendOrder(path: string, order: AdapterOrder): Promise<OrderResult> {
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

  private async send(path: string, options: SendOptions): Promise<Dispatcher.ResponseData> {
    const response = await this.request("send", path, options)
    const { statusCode } = response
    if (statusCode === OK) return response
    const message = `status ${statusCode}: ${await response.body.text()}`
    // An engine may fail with a 5xx status after it has started the run.
    if (statusCode >= 500) throw this.createError("send", message)
    const code = statusCode === NOT_FOUND ? "not-found" : "endpoint-failed"
    throw new RefusedError(code, "send", this.info.id, message)
  }

  private async request(
    step: ErrorStep,
    path: string,
    options: SendOptions,
  ): Promise<Dispatcher.ResponseData> {
    try {
      return await sendRequest(`${this.info.url}${path}`, {
        dispatcher: this.agent,
        ...options,
        headersTimeout: HEADERS_TIMEOUT_MS,
        bodyTimeout: 0,
      })
    } catch (error) {
      const message = describeError(error)
      if (!isConnectFailure(error)) throw this.createError(step, message)
      throw new RefusedError("endpoint-failed", step, this.info.id, message)
    }
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
      throw this.createError("stream", describeError(error))
    }
    throw this.createError("stream", "the stream ended early")
  }

  private createError(step: ErrorStep, message: string): UnknownOutcomeError {
    return new UnknownOutcomeError("endpoint-failed", step, this.info.id, message)
  }
}

interface SendOptions {
  readonly method: Dispatcher.HttpMethod
  readonly headers?: Record<string, string>
  readonly body?: string
  readonly signal?: AbortSignal
  readonly dispatcher?: Dispatcher
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
  const source: RunInfo = {
    request: chunk.id,
    adapter: chunk.model as AdapterKey,
    run: chunk.system_fingerprint,
  }
  const sequence = Number(id)
  if (choice.finish_reason !== null)
    return { kind: "done", sequence, finishReason: choice.finish_reason, source }
  return { kind: "token", sequence, text: choice.delta.content ?? "", source }
}
