import { Agent, request as sendRequest } from "undici"
import { RANKS } from "@galenaway/core"
import type { Fleet } from "./fleet.js"

const TOKEN_COUNT = 4
const CALL_TIMEOUT_MS = 6000
const BASE_MODEL = "reef-8b"

/** What a churn sends. */
export interface ChurnOptions {
  readonly calls: number
  readonly concurrency: number
  /** Adapters that are asked for in turn; more than the engines' slots keep loads and evictions going. */
  readonly adapters: number
}

/** What became of the calls of a churn. */
export interface ChurnResult {
  /** Whole answers of the named adapter to the caller's own request. */
  readonly correct: number
  /** Answers of another adapter or request, or with a part missing. */
  readonly incorrect: number
  /** Refusals that say that the call was not run. */
  readonly refused: number
  /** Calls without an answer, or with an unknown outcome. */
  readonly unanswered: number
}

/** What the engines counted, over all of them. */
export interface EngineTotals {
  readonly completions: number
  readonly loads: number
  readonly unloads: number
  /** Evictions of an adapter that a run was using. */
  readonly evictionsInUse: number
  readonly fenced: number
}

type CallOutcome = keyof ChurnResult

/** Sends calls for more adapters than there are slots, on a connection each, and judges each answer. */
export async function runChurn(url: string, options: ChurnOptions): Promise<ChurnResult> {
  const totals: Record<CallOutcome, number> = {
    correct: 0,
    incorrect: 0,
    refused: 0,
    unanswered: 0,
  }
  let next = 0
  const runWorker = async () => {
    while (next < options.calls) totals[await sendCall(url, next++, options.adapters)]++
  }
  await Promise.all(Array.from({ length: options.concurrency }, runWorker))
  return totals
}

/** Adds up what the engines of a fleet counted. */
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
  // A caller of its own for each call, so that the balancer spreads them.
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

/** Each token of the stand-in engine names its request and its place, so that a crossed or cut answer shows. */
function classifyAnswer(status: number, model: string, body: unknown): CallOutcome {
  const { model: ran, choices, error } = body as AnswerBody
  if (status !== 200) return error?.outcome === "not-run" ? "refused" : "unanswered"
  const words = (choices?.[0]?.message.content ?? "").trim().split(" ")
  const requests = new Set(words.map((word) => word.replace(/\.\d+$/, "")))
  const places = words.map((word) => Number(/\d+$/.exec(word)?.[0]))
  const isWhole =
    places.length === TOKEN_COUNT && places.every((place, index) => place === index + 1)
  return ran === model && requests.size === 1 && isWhole ? "correct" : "incorrect"
}
