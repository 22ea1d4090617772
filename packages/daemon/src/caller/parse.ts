import type { IncomingHttpHeaders } from "node:http"
import { z } from "zod"
import {
  type AdapterKey,
  type ChatMessage,
  isRank,
  parseAdapterKey,
  type Rank,
  RefusedError,
  type RouteRequest,
} from "@galenaway/core"
import { hashText } from "@galenaway/policy"

const MAX_DEADLINE_MS = 3_600_000
const DEFAULT_TOKEN_COUNT = 16
const MAX_TOKEN_COUNT = 8192
const MAX_MESSAGE_COUNT = 256
/** Number of characters of the first message whose hash identifies the prompt prefix. */
const PREFIX_LENGTH = 256

const COMPLETION_SCHEMA = z.object({
  model: z.string(),
  messages: z
    .array(z.object({ role: z.string(), content: z.string() }))
    .min(1)
    .max(MAX_MESSAGE_COUNT),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().min(1).max(MAX_TOKEN_COUNT).default(DEFAULT_TOKEN_COUNT),
})

/** Returns the default time to the first token, in milliseconds, for a request without a deadline. */
export type DeadlineSource = (adapter: AdapterKey, rank: Rank) => number

/** A validated completion request. */
export interface ParsedCompletion {
  readonly route: RouteRequest
  readonly messages: readonly ChatMessage[]
  readonly isStreamed: boolean
}

/** Parses and validates a completion request. `now` is the time of its arrival. Throws a RefusedError that names the accepted values. */
export function parseCompletion(
  id: string,
  body: string,
  headers: IncomingHttpHeaders,
  now: number,
  getDeadlineMs: DeadlineSource,
): ParsedCompletion {
  const { model, messages, stream, max_tokens } = parseBody(body)
  const adapter = parseAdapterKey(model)
  if (adapter === undefined) throw createInputError("model: expected base/adapter@version")
  const rank = parseRank(headers["x-galenaway-rank"])
  const deadlineMs = parseDeadline(headers["x-galenaway-deadline-ms"], getDeadlineMs(adapter, rank))
  const route: RouteRequest = {
    id,
    adapter,
    rank,
    arrivedAt: now,
    deadline: now + deadlineMs,
    prefix: hashText((messages[0]?.content ?? "").slice(0, PREFIX_LENGTH)),
    maxTokens: max_tokens,
  }
  return { route, messages, isStreamed: stream }
}

/** Creates the error for a malformed request. Nothing has run. */
export function createInputError(message: string): RefusedError {
  return new RefusedError("bad-request", "parse", "caller", message)
}

function parseBody(body: string): z.infer<typeof COMPLETION_SCHEMA> {
  const result = COMPLETION_SCHEMA.safeParse(parseJson(body))
  if (result.success) return result.data
  const issue = result.error.issues[0]
  throw createInputError(`${issue?.path.join(".") ?? "body"}: ${issue?.message ?? "malformed"}`)
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    throw createInputError("body: expected JSON")
  }
}

function parseRank(header: string | string[] | undefined): Rank {
  const text = typeof header === "string" ? header : "standard"
  if (isRank(text)) return text
  throw createInputError("x-galenaway-rank: expected urgent, standard or bulk")
}

/** Parses a deadline header, in milliseconds from now. Returns the default without a header. Throws a RefusedError for a malformed value. */
export function parseDeadline(header: string | string[] | undefined, defaultMs: number): number {
  if (header === undefined) return defaultMs
  const ms = Number(header)
  if (ms > 0 && ms <= MAX_DEADLINE_MS) return ms
  throw createInputError(`x-galenaway-deadline-ms: expected 1 to ${MAX_DEADLINE_MS}`)
}
