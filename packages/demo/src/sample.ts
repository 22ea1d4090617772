import { Agent, request as sendRequest } from "undici"
import type { Rank } from "@galenaway/core"

const SAMPLE_TOKEN_COUNT = 6

/** The result of one sample call. */
export interface SampleRow {
  readonly call: string
  readonly rank: string
  readonly result: string
  /** The time from sending the call to reading the whole answer. */
  readonly ms: number
  readonly isCorrect: boolean
}

interface SampleCall {
  readonly model: string
  readonly rank: Rank
  readonly isStreamed: boolean
}

const CALLS: readonly SampleCall[] = [
  { model: "reef-8b/iloilo-sst@v12", rank: "urgent", isStreamed: true },
  { model: "reef-8b/iloilo-sst@v11", rank: "urgent", isStreamed: false },
  { model: "reef-8b/guimaras-sst@v3", rank: "standard", isStreamed: false },
  { model: "reef-8b/season-report@v1", rank: "bulk", isStreamed: true },
]

/**
 * Sends a few chat calls and one booking, which is sent twice with the same key.
 * A row is correct if the stand-in's answer shows that it ran the requested model
 * and returned every token, or that it ran the booking exactly once.
 */
export async function sendSample(url: string): Promise<SampleRow[]> {
  const agent = new Agent()
  const rows = await Promise.all(CALLS.map((call) => sendChat(url, agent, call)))
  rows.push(...(await sendBookingTwice(url, agent)))
  await agent.close()
  return rows
}

/** Formats rows as a table with aligned columns. */
export function formatSample(rows: readonly SampleRow[]): string {
  const head = ["ok", "rank", "ms", "call", "result"]
  const cells = rows.map((row) => [
    row.isCorrect ? "yes" : "NO",
    row.rank,
    row.ms.toFixed(0),
    row.call,
    row.result,
  ])
  const widths = head.map((title, column) =>
    Math.max(title.length, ...cells.map((row) => row[column]?.length ?? 0)),
  )
  const formatRow = (row: readonly string[]) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join("  ")
      .trimEnd()
  return [head, ...cells].map(formatRow).join("\n")
}

async function sendChat(url: string, agent: Agent, call: SampleCall): Promise<SampleRow> {
  const start = performance.now()
  const response = await sendRequest(`${url}/v1/chat/completions`, {
    method: "POST",
    dispatcher: agent,
    headers: { "content-type": "application/json", "x-galenaway-rank": call.rank },
    body: JSON.stringify({
      model: call.model,
      messages: [{ role: "user", content: "Which waters are warm enough?" }],
      max_tokens: SAMPLE_TOKEN_COUNT,
      stream: call.isStreamed,
    }),
  })
  const text = await response.body.text()
  const answer = call.isStreamed ? parseStreamed(text) : parseWhole(text)
  const expected = buildExpectedContent(answer.id)
  const isCorrect =
    response.statusCode === 200 && answer.model === call.model && answer.content === expected
  return {
    call: `${call.isStreamed ? "stream" : "whole"} ${call.model}`,
    rank: call.rank,
    result: isCorrect ? `${SAMPLE_TOKEN_COUNT} tokens from ${answer.model}` : text.slice(0, 200),
    ms: performance.now() - start,
    isCorrect,
  }
}

interface ChatAnswer {
  readonly id: string
  readonly model: string
  readonly content: string
}

interface ChatBody {
  readonly id: string
  readonly model: string
  readonly choices: readonly {
    readonly message?: { readonly content: string }
    readonly delta?: { readonly content?: string }
  }[]
}

function parseWhole(text: string): ChatAnswer {
  const { id, model, choices } = JSON.parse(text) as Partial<ChatBody>
  return { id: id ?? "", model: model ?? "", content: choices?.[0]?.message?.content ?? "" }
}

function parseStreamed(text: string): ChatAnswer {
  const chunks = [...text.matchAll(/^data: (\{.*\})$/gm)].map(
    (match) => JSON.parse(match[1] ?? "{}") as ChatBody,
  )
  const content = chunks.map((chunk) => chunk.choices[0]?.delta?.content ?? "").join("")
  return { id: chunks[0]?.id ?? "", model: chunks[0]?.model ?? "", content }
}

function buildExpectedContent(id: string): string {
  return Array.from({ length: SAMPLE_TOKEN_COUNT }, (_, index) => `${id}.${index + 1} `).join("")
}

async function sendBookingTwice(url: string, agent: Agent): Promise<SampleRow[]> {
  const key = `voucher-${Date.now()}`
  const first = await sendBooking(url, agent, key)
  const second = await sendBooking(url, agent, key)
  const isSame = first.text === second.text
  return [
    { ...first.row, call: `booking ${key}` },
    { ...second.row, call: `booking ${key} again`, isCorrect: second.row.isCorrect && isSame },
  ]
}

async function sendBooking(url: string, agent: Agent, key: string) {
  const start = performance.now()
  const response = await sendRequest(`${url}/v1/services/bookings`, {
    method: "POST",
    dispatcher: agent,
    headers: { "content-type": "application/json", "idempotency-key": key },
    body: JSON.stringify({ boat: "Santa Ana", litres: 40 }),
  })
  const text = await response.body.text()
  const { run } = JSON.parse(text) as { run?: number }
  const row: SampleRow = {
    call: "booking",
    rank: "-",
    result: run === undefined ? text.slice(0, 200) : `run ${run}`,
    ms: performance.now() - start,
    isCorrect: response.statusCode === 200 && run === 1,
  }
  return { row, text }
}
