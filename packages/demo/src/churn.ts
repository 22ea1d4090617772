import { Agent, request as sendRequest } from "undici"
import { RANKS } from "@galenaway/core"
import type { Fleet } from "./fleet.js"

/** The number of tokens of each answer. */
const TOKEN_COUNT = 4
const CALL_TIMEOUT_MS = 6000
const BASE_MODEL = "reef-8b"

/** The calls that {@link runChurn} sends. */
export interface ChurnOptions {
  readonly calls: number
  readonly concurrency: number
  /**
   * The number of adapters that are requested in turn. If it exceeds the slots of
   * all engines, loads and evictions occur throughout the run.
   */
  readonly adapters: number
}

/** The number of calls with each outcome. */
export interface ChurnResult {
  /** Complete answers of the requested adapter, with tokens of a single request. */
  readonly correct: number
  /** Answers of another adapter, with tokens of several requests, or with missing tokens. */
  readonly incorrect: number
  /** Refusals with the outcome `not-run`. */
  readonly refused: number
  /** Calls without an answer in time, and failures whose outcome is not `not-run`. */
  readonly unanswered: number
}

/** The sums of the counters of all stand-in engines. */
export interface EngineTotals {
  readonly completions: number
  readonly loads: number
  readonly unloads: number
  /** Evictions of adapters that a running or waiting request was using. */
  readonly evictionsInUse: number
  /** Orders that were refused because of a lower fencing token. */
  readonly fenced: number
}

type CallOutcome = keyof ChurnResult

/**
 * Sends calls to the balancer, each on its own connection, and counts their outcomes.
 * The calls use the adapters and the ranks in turn.
 */
export async function runChurn(url: string, options: ChurnOptions): Promise<ChurnResult> {
  const totals: Record<CallOutcome, number> = {
    correct: 0,
    incorrect: 0,
    refused: 0,
    unanswered: 0,
  }
  let nextIndex = 0
  const runWorker = async () => {
    while (nextIndex < options.calls) totals[await sendCall(url, nextIndex++, options.adapters)]++
  }
  await Promise.all(Array.from({ length: options.concurrency }, runWorker))
  return totals
}

/** Fetches the counters of all engines of a fleet and returns their sums. */
export async function readEngineTotals(fleet: Fleet): Promise<EngineTotals> {
  const totals = { completions: 0, loads: 0, unloads: 0, evictionsInUse: 0, fenced: 0 }
  for (const { kind, url } of fleet.endpoints) {
    if (kind !== "engine") continue
    const { body } = await sendRequest(`${url}/counters`)
    const counters = (await body.json()) as EngineTotals
    for (const key of Object.keys(totals) as (keyof EngineTotals)[]) totals[key] += counters[key]
  }
  return totals
}

async function sendCall(url: string, index: number, adapters: number): Promise<CallOutcome> {
  const model = `${BASE_MODEL}/adapter-${index % adapters}@v1`
  // The balancer chooses an instance for each connection, so a new one is used for each call.
  const agent = new Agent({ connections: 1 })
  try {
    const { statusCode, body } = await sendRequest(`${url}/v1/chat/completions`, {
      method: "POST",
      dispatcher: agent,
      headers: {
        "content-type": "application/json",
        "x-galenaway-rank": RANKS[index % RANKS.length] ?? "standard",
        "x-galenaway-deadline-ms": String(CALL_TIMEOUT_MS),
      },
      body: JSON.stringify({
        model,
        messages: [{ role: "user", content: `call ${index}` }],
        max_tokens: TOKEN_COUNT,
      }),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    })
    return classifyAnswer(statusCode, model, await body.json())
  } catch {
    return "unanswered"
  } finally {
    await agent.destroy()
  }
}

interface AnswerBody {
  readonly model?: string
  readonly choices?: readonly { readonly message: { readonly content: string } }[]
  readonly error?: { readonly outcome: string }
}

/**
 * Classifies an answer. Each token of the stand-in engine contains the id of its
 * request and its position, so mixed-up and incomplete answers are detected.
 */
function classifyAnswer(status: number, model: string, body: unknown): CallOutcome {
  const { model: answeredModel, choices, error } = body as AnswerBody
  if (status !== 200) return error?.outcome === "not-run" ? "refused" : "unanswered"
  const words = (choices?.[0]?.message.content ?? "").trim().split(" ")
  const requestIds = new Set(words.map((word) => word.replace(/\.\d+$/, "")))
  const positions = words.map((word) => Number(/\d+$/.exec(word)?.[0]))
  const isComplete =
    positions.length === TOKEN_COUNT && positions.every((position, index) => position === index + 1)
  return answeredModel === model && requestIds.size === 1 && isComplete ? "correct" : "incorrect"
}
