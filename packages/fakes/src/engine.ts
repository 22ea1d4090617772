import { randomUUID } from "node:crypto"
import { App, type Request, type Response } from "@tinyhttp/app"
import type { StreamPart } from "@galenaway/core"
import { request as sendRequest } from "undici"
import { ContinuousBatch, type BatchOptions, readParts, type EngineRun } from "./batch.js"
import {
  addFaultSwitches,
  getHeader,
  readJson,
  type RunningServer,
  sendJson,
  startServer,
  wait,
} from "./server.js"

/** Settings of a model engine. Times are in milliseconds. */
export interface EngineOptions {
  readonly id: string
  readonly port?: number
  /** Adapters held at once. */
  readonly slots?: number
  /** Whether orders with an old fencing number are refused. */
  readonly fencing?: "checked" | "ignored"
  /** URL of the weight store; without one a load takes no time. */
  readonly storeUrl?: string
  readonly batch?: Partial<BatchOptions>
  /** How old a load report is. */
  readonly reportLagMs?: number
  /** Time before the engine answers after a start or restart. */
  readonly coldStartMs?: number
}

/** What a test may switch on at an engine. */
export interface EngineFaults {
  /** Fail this many of the next loads. */
  failLoads: number
  /** Stop sending on the streams that are open now and on those opened next while set; the runs go on. */
  silent: boolean
  /** Drop each stream after this many parts; 0 never does. */
  cutAfter: number
  /** Answer with another adapter than the one asked for. */
  wrongAdapter: boolean
  /** Hold each order this long before it takes effect, in milliseconds. */
  orderDelayMs: number
  /** Let orders take effect and drop the reply. */
  loseOrderReplies: number
  /** Leave every second cache event out. */
  cacheGaps: boolean
}

/** Counts that a test reads to judge what the engine did. */
export interface EngineCounters {
  completions: number
  loads: number
  unloads: number
  fenced: number
  /** Evictions of an adapter that a run was using; above 0 breaks a promise. */
  evictionsInUse: number
  /** Requests for an adapter that wasn't resident. */
  missing: number
}

/** A running model engine. */
export interface FakeEngine extends RunningServer {
  readonly faults: EngineFaults
  readonly counters: EngineCounters
  readonly resident: ReadonlySet<string>
  /** Restarts the engine: its adapters, runs and cache are gone, and it is cold for a while. */
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
  coldUntil: number
  highestFencing: number
}

const DEFAULT_RATE: BatchOptions = {
  stepMs: 15,
  stepMsPerRequest: 0.5,
  prefillMs: 20,
  batchLimit: 16,
}
const DEFAULT_SLOTS = 8
const DEFAULT_TOKENS = 16
const CACHE_EVENT_LIMIT = 1000

/** Starts a model engine with the HTTP interface of the common engines: chat completions, LoRA loads and unloads, load report. */
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
  app.post("/v1/chat/completions", (request, response) => runCompletion(state, request, response))
  app.get("/v1/chat/completions/:id/events", (request, response) =>
    resumeCompletion(state, request, response),
  )
  app.delete("/v1/chat/completions/:id", (request, response) => {
    state.batch.cancel(request.params.id ?? "")
    sendJson(response, 200, { deleted: true })
  })
  app.post("/v1/load_lora_adapter", (request, response) => loadAdapter(state, request, response))
  app.post("/v1/unload_lora_adapter", (request, response) =>
    unloadAdapter(state, request, response),
  )
  app.get("/cache_events", (request, response) => {
    const after = Number(request.query.after ?? 0)
    sendJson(
      response,
      200,
      state.cacheEvents.filter((event) => event.sequence > after),
    )
  })
  const readReport = createLaggingReport(state, options.reportLagMs ?? 200)
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
    slots: options.slots ?? DEFAULT_SLOTS,
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
    batch: new ContinuousBatch({ ...DEFAULT_RATE, ...options.batch }),
    cacheEvents: [],
    incarnation: randomUUID(),
    coldUntil: performance.now() + (options.coldStartMs ?? 0),
    highestFencing: 0,
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

async function runCompletion(state: EngineState, request: Request, response: Response) {
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
  const tokens = body.max_tokens ?? DEFAULT_TOKENS
  const run = state.batch.submit(id, model, body.priority ?? 0, tokens)
  await streamRun(state, run, 0, response)
}

async function resumeCompletion(state: EngineState, request: Request, response: Response) {
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
  let sent = 0
  for await (const part of readParts(run, after)) {
    if (response.destroyed) return
    if (state.faults.silent) return
    if (state.faults.cutAfter > 0 && sent >= state.faults.cutAfter) {
      response.destroy()
      return
    }
    response.write(formatEvent(part))
    sent++
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

/** Returns false, with the answer sent, when the order's fencing number is too old. */
function checkFencing(state: EngineState, request: Request, response: Response): boolean {
  const fencing = Number(getHeader(request, "x-fencing-token") ?? 0)
  if (state.options.fencing === "checked" && fencing < state.highestFencing) {
    state.counters.fenced++
    sendJson(response, 409, { error: "fenced", highest: state.highestFencing })
    return false
  }
  state.highestFencing = Math.max(state.highestFencing, fencing)
  return true
}

async function loadAdapter(state: EngineState, request: Request, response: Response) {
  const { lora_name: name } = (await readJson(request)) as OrderBody
  await wait(state.faults.orderDelayMs)
  if (!checkFencing(state, request, response)) return
  const { incarnation } = state
  const loaded = state.resident.has(name) || (await fetchWeights(state, name))
  if (!loaded || incarnation !== state.incarnation) {
    sendJson(response, 500, { error: "load failed" })
    return
  }
  if (!state.resident.has(name) && state.resident.size >= state.slots) {
    sendJson(response, 507, { error: "no free slot" })
    return
  }
  state.resident.add(name)
  state.counters.loads++
  finishOrder(state, request, response)
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

async function unloadAdapter(state: EngineState, request: Request, response: Response) {
  const { lora_name: name } = (await readJson(request)) as OrderBody
  await wait(state.faults.orderDelayMs)
  if (!checkFencing(state, request, response)) return
  if (state.batch.isAdapterInUse(name)) state.counters.evictionsInUse++
  if (state.resident.delete(name)) state.counters.unloads++
  finishOrder(state, request, response)
}

function finishOrder(state: EngineState, request: Request, response: Response): void {
  if (state.faults.loseOrderReplies > 0) {
    state.faults.loseOrderReplies--
    request.socket.destroy()
    return
  }
  sendJson(response, 200, { ok: true })
}

function addCacheEvent(state: EngineState, prompt: string): void {
  const sequence = (state.cacheEvents.at(-1)?.sequence ?? 0) + 1
  const isLost = state.faults.cacheGaps && sequence % 2 === 0
  state.cacheEvents.push({ sequence, kind: "stored", prefix: isLost ? "" : prompt.slice(0, 64) })
  if (state.cacheEvents.length > CACHE_EVENT_LIMIT) state.cacheEvents.shift()
}

/** Returns a reader of load reports that are renewed only once in each lag. */
function createLaggingReport(state: EngineState, lagMs: number): () => unknown {
  let takenAt = -Infinity
  let report: unknown
  return () => {
    const now = performance.now()
    if (now - takenAt >= lagMs) {
      takenAt = now
      report = {
        endpoint: state.options.id,
        incarnation: state.incarnation,
        running: state.batch.runningCount,
        waiting: state.batch.waitingCount,
        resident: [...state.resident],
        cacheUsage: Math.min(1, state.batch.runningCount / DEFAULT_RATE.batchLimit),
      }
    }
    return report
  }
}
