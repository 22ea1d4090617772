import { randomUUID } from "node:crypto"
import { App, type Request, type Response } from "@tinyhttp/app"
import type { StreamPart } from "@galenaway/core"
import { request as sendRequest } from "undici"
import { type BatchOptions, ContinuousBatch, type EngineRun, readParts } from "./batch.js"
import {
  addFaultSwitches,
  getHeader,
  readJson,
  type RunningServer,
  sendJson,
  startServer,
  wait,
} from "./server.js"

/** Options of a model engine. Times are in milliseconds. */
export interface EngineOptions {
  readonly id: string
  readonly port?: number
  /** Number of adapters that can be resident at once; 8 by default. */
  readonly slots?: number
  /**
   * Whether orders with a lower fencing token than a previous order are
   * refused; they are not by default.
   */
  readonly fencing?: "checked" | "ignored"
  /** URL of the weight store. Without one, a load transfers nothing and takes no time. */
  readonly storeUrl?: string
  readonly batch?: Partial<BatchOptions>
  /** Minimum time between two refreshes of the load report; 200 by default. */
  readonly reportLagMs?: number
  /** Time after a start or restart in which the engine answers with status 503. */
  readonly coldStartMs?: number
}

/** Faults that a test can inject into an engine. */
export interface EngineFaults {
  /** Number of the next loads that fail. */
  failLoads: number
  /**
   * Each stream stops at its next part and sends nothing more. Its connection
   * stays open, and its run continues.
   */
  silent: boolean
  /** Close the connection of each stream after this many parts; 0 disables the fault. */
  cutAfter: number
  /** Answer with another adapter than the requested one. */
  wrongAdapter: boolean
  /** Delay before each order takes effect, in milliseconds. */
  orderDelayMs: number
  /**
   * Number of the next orders that take effect, but whose connection is closed
   * without a reply.
   */
  loseOrderReplies: number
  /** Send every second cache event with an empty prefix. */
  cacheGaps: boolean
}

/** Counters with which a test checks what the engine did. */
export interface EngineCounters {
  completions: number
  loads: number
  unloads: number
  /** Orders that were refused because of a lower fencing token. */
  fenced: number
  /** Evictions of an adapter that a running or waiting request used; must stay 0. */
  evictionsInUse: number
  /** Requests for an adapter that was not resident. */
  missing: number
}

/** A running model engine. */
export interface FakeEngine extends RunningServer {
  readonly faults: EngineFaults
  readonly counters: EngineCounters
  readonly resident: ReadonlySet<string>
  /**
   * Restarts the engine: removes its adapters, runs and cache events and begins
   * a new cold start.
   */
  restart(): void
}

interface CacheEvent {
  readonly sequence: number
  readonly kind: "stored" | "removed"
  readonly prefix: string
}

interface EngineState {
  readonly options: EngineOptions
  readonly slots: number
  readonly faults: EngineFaults
  readonly counters: EngineCounters
  readonly resident: Set<string>
  readonly batch: ContinuousBatch
  readonly cacheEvents: CacheEvent[]
  incarnation: string
  /** Time of `performance.now()` at which the cold start ends. */
  coldUntil: number
  highestFencingToken: number
}

const DEFAULT_BATCH: BatchOptions = {
  stepMs: 15,
  stepMsPerRequest: 0.5,
  prefillMs: 20,
  batchLimit: 16,
}
const DEFAULT_SLOT_COUNT = 8
const DEFAULT_TOKEN_COUNT = 16
const MAX_CACHE_EVENT_COUNT = 1000

/**
 * Starts a model engine with the HTTP interface of common engines: chat
 * completions, loads and unloads of LoRA adapters, load report.
 */
export async function startEngine(options: EngineOptions): Promise<FakeEngine> {
  const state = createState(options)
  const app = new App()
  addFaultSwitches(app, state.faults)
  app.get("/counters", (_request, response) => {
    sendJson(response, 200, state.counters)
  })
  app.post("/restart", (_request, response) => {
    restartEngine(state)
    sendJson(response, 200, { incarnation: state.incarnation })
  })
  app.use((_request, response, next) => {
    if (performance.now() < state.coldUntil) sendJson(response, 503, { error: "starting" })
    else next()
  })
  app.post("/v1/chat/completions", (request, response) =>
    handleCompletion(state, request, response),
  )
  app.get("/v1/chat/completions/:id/events", (request, response) =>
    handleResume(state, request, response),
  )
  app.delete("/v1/chat/completions/:id", (request, response) => {
    state.batch.cancel(request.params.id ?? "")
    sendJson(response, 200, { deleted: true })
  })
  app.post("/v1/load_lora_adapter", (request, response) => handleLoad(state, request, response))
  app.post("/v1/unload_lora_adapter", (request, response) => handleUnload(state, request, response))
  app.get("/cache_events", (request, response) => {
    const after = Number(request.query.after ?? 0)
    sendJson(
      response,
      200,
      state.cacheEvents.filter((event) => event.sequence > after),
    )
  })
  const readReport = createReportReader(state, options.reportLagMs ?? 200)
  app.get("/load", (_request, response) => {
    sendJson(response, 200, readReport())
  })
  const server = await startServer(app, options.port ?? 0)
  const { faults, counters, resident } = state
  return {
    ...server,
    faults,
    counters,
    resident,
    restart: () => {
      restartEngine(state)
    },
  }
}

function createState(options: EngineOptions): EngineState {
  return {
    options,
    slots: options.slots ?? DEFAULT_SLOT_COUNT,
    faults: {
      failLoads: 0,
      silent: false,
      cutAfter: 0,
      wrongAdapter: false,
      orderDelayMs: 0,
      loseOrderReplies: 0,
      cacheGaps: false,
    },
    counters: { completions: 0, loads: 0, unloads: 0, fenced: 0, evictionsInUse: 0, missing: 0 },
    resident: new Set(),
    batch: new ContinuousBatch({ ...DEFAULT_BATCH, ...options.batch }),
    cacheEvents: [],
    incarnation: randomUUID(),
    coldUntil: performance.now() + (options.coldStartMs ?? 0),
    highestFencingToken: 0,
  }
}

function restartEngine(state: EngineState): void {
  state.batch.clear()
  state.resident.clear()
  state.cacheEvents.length = 0
  state.incarnation = randomUUID()
  state.coldUntil = performance.now() + (state.options.coldStartMs ?? 0)
}

interface CompletionBody {
  readonly model: string
  readonly messages: readonly { readonly content: string }[]
  readonly max_tokens?: number
  readonly priority?: number
}

async function handleCompletion(state: EngineState, request: Request, response: Response) {
  const body = (await readJson(request)) as CompletionBody
  if (!state.resident.has(body.model)) {
    state.counters.missing++
    sendJson(response, 404, {
      error: { code: "adapter-missing", message: `no ${body.model} here` },
    })
    return
  }
  const id = getHeader(request, "x-request-id") ?? randomUUID()
  const model = state.faults.wrongAdapter ? `${body.model}-other` : body.model
  state.counters.completions++
  addCacheEvent(state, body.messages[0]?.content ?? "")
  const tokens = body.max_tokens ?? DEFAULT_TOKEN_COUNT
  const run = state.batch.submit(id, model, body.priority ?? 0, tokens)
  await streamRun(state, run, 0, response)
}

async function handleResume(state: EngineState, request: Request, response: Response) {
  const run = state.batch.runs.get(request.params.id ?? "")
  if (!run) {
    sendJson(response, 404, { error: { code: "no-run", message: "no such run" } })
    return
  }
  await streamRun(state, run, Number(getHeader(request, "last-event-id") ?? 0), response)
}

async function streamRun(state: EngineState, run: EngineRun, after: number, response: Response) {
  response.writeHead(200, { "content-type": "text/event-stream", "x-run-id": run.id })
  response.flushHeaders()
  let sentPartCount = 0
  for await (const part of readParts(run, after)) {
    if (response.destroyed) return
    if (state.faults.silent) return
    if (state.faults.cutAfter > 0 && sentPartCount >= state.faults.cutAfter) {
      response.destroy()
      return
    }
    response.write(formatEvent(part))
    sentPartCount++
  }
  if (run.state === "canceled") response.destroy()
  else response.end("data: [DONE]\n\n")
}

function formatEvent(part: StreamPart): string {
  const delta = part.kind === "token" ? { content: part.text } : {}
  const chunk = {
    id: part.source.request,
    object: "chat.completion.chunk",
    model: part.source.adapter,
    system_fingerprint: part.source.run,
    choices: [{ index: 0, delta, finish_reason: part.kind === "done" ? part.finishReason : null }],
  }
  return `id: ${part.sequence}\ndata: ${JSON.stringify(chunk)}\n\n`
}

interface OrderBody {
  readonly lora_name: string
}

/**
 * Returns whether the fencing token of an order is accepted. If it is too low,
 * sends the refusal.
 */
function checkFencing(state: EngineState, request: Request, response: Response): boolean {
  const token = Number(getHeader(request, "x-fencing-token") ?? 0)
  if (state.options.fencing === "checked" && token < state.highestFencingToken) {
    state.counters.fenced++
    sendJson(response, 409, { error: "fenced", highest: state.highestFencingToken })
    return false
  }
  state.highestFencingToken = Math.max(state.highestFencingToken, token)
  return true
}

async function handleLoad(state: EngineState, request: Request, response: Response) {
  const { lora_name: name } = (await readJson(request)) as OrderBody
  await wait(state.faults.orderDelayMs)
  if (!checkFencing(state, request, response)) return
  const { incarnation } = state
  const isLoaded = state.resident.has(name) || (await fetchWeights(state, name))
  if (!isLoaded || incarnation !== state.incarnation) {
    sendJson(response, 500, { error: "load failed" })
    return
  }
  if (!state.resident.has(name) && state.resident.size >= state.slots) {
    sendJson(response, 507, { error: "no free slot" })
    return
  }
  state.resident.add(name)
  state.counters.loads++
  sendOrderReply(state, request, response)
}

async function fetchWeights(state: EngineState, name: string): Promise<boolean> {
  if (state.faults.failLoads > 0) {
    state.faults.failLoads--
    return false
  }
  if (state.options.storeUrl === undefined) return true
  const url = `${state.options.storeUrl}/weights/${encodeURIComponent(name)}`
  const { statusCode, body } = await sendRequest(url)
  await body.dump()
  return statusCode === 200
}

async function handleUnload(state: EngineState, request: Request, response: Response) {
  const { lora_name: name } = (await readJson(request)) as OrderBody
  await wait(state.faults.orderDelayMs)
  if (!checkFencing(state, request, response)) return
  if (state.batch.isAdapterInUse(name)) state.counters.evictionsInUse++
  if (state.resident.delete(name)) state.counters.unloads++
  sendOrderReply(state, request, response)
}

function sendOrderReply(state: EngineState, request: Request, response: Response): void {
  if (state.faults.loseOrderReplies > 0) {
    state.faults.loseOrderReplies--
    request.socket.destroy()
    return
  }
  sendJson(response, 200, { ok: true })
}

function addCacheEvent(state: EngineState, prompt: string): void {
  const sequence = (state.cacheEvents.at(-1)?.sequence ?? 0) + 1
  const isBlank = state.faults.cacheGaps && sequence % 2 === 0
  state.cacheEvents.push({ sequence, kind: "stored", prefix: isBlank ? "" : prompt.slice(0, 64) })
  if (state.cacheEvents.length > MAX_CACHE_EVENT_COUNT) state.cacheEvents.shift()
}

/**
 * Returns a function that reads the load report, which is refreshed at most
 * once per `lagMs`.
 */
function createReportReader(state: EngineState, lagMs: number): () => unknown {
  let refreshedAt = -Infinity
  let report: unknown
  return () => {
    const now = performance.now()
    if (now - refreshedAt >= lagMs) {
      refreshedAt = now
      report = {
        endpoint: state.options.id,
        incarnation: state.incarnation,
        running: state.batch.runningCount,
        waiting: state.batch.waitingCount,
        resident: [...state.resident],
        cacheUsage: Math.min(1, state.batch.runningCount / DEFAULT_BATCH.batchLimit),
      }
    }
    return report
  }
}
