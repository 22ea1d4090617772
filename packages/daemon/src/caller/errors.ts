import type { Response } from "@tinyhttp/app"
import { describeError, type ErrorCode, GalenawayError } from "@galenaway/core"

const STATUS: Readonly<Record<ErrorCode, number>> = {
  "bad-request": 400,
  unauthorized: 401,
  "not-found": 404,
  "too-large": 413,
  overloaded: 429,
  deadline: 503,
  "load-failed": 503,
  "no-endpoint": 503,
  "no-owner": 503,
  "shutting-down": 503,
  conflict: 409,
  "in-progress": 409,
  canceled: 499,
  "endpoint-failed": 502,
  "wrong-answer": 502,
  "platform-down": 503,
  "peer-down": 502,
  internal: 500,
}

const RETRY_AFTER_SECONDS = "1"

/** The JSON form of an error towards callers and operators. */
export interface ErrorBody {
  readonly error: {
    readonly code: ErrorCode
    readonly step: string
    readonly peer: string
    readonly outcome: "not-run" | "unknown"
    readonly message: string
  }
}

/** Turns anything that was thrown into an error with step and peer; an unforeseen one counts as unknown. */
export function wrapError(error: unknown): GalenawayError {
  if (error instanceof GalenawayError) return error
  return new GalenawayError("internal", "send", "self", "unknown", describeError(error), {
    cause: error,
  })
}

/** Returns the HTTP status for an error. */
export function getStatus(error: GalenawayError): number {
  return STATUS[error.code]
}

/** Formats an error for callers. */
export function formatErrorBody({ code, step, peer, outcome, message }: GalenawayError): ErrorBody {
  return { error: { code, step, peer, outcome, message } }
}

/** Sends an error as JSON, or cuts the connection when an answer has begun. A refusal says when to try again. */
export function sendError(response: Response, thrown: unknown): void {
  const error = wrapError(thrown)
  if (response.headersSent) {
    response.destroy()
    return
  }
  const status = getStatus(error)
  if (status === 429 || status === 503) response.setHeader("retry-after", RETRY_AFTER_SECONDS)
  response.status(status).json(formatErrorBody(error))
}
