import type { Response } from "@tinyhttp/app"
import { describeError, type ErrorCode, GalenawayError } from "@galenaway/core"

const STATUS_BY_CODE: Readonly<Record<ErrorCode, number>> = {
  "bad-request": 400,
  unauthorized: 401,
  "not-found": 404,
  "too-large": 413,
  overloaded: 429,
  "quota-exceeded": 429,
  deadline: 503,
  "load-failed": 503,
  "no-endpoint": 503,
  "no-owner": 503,
  quarantined: 503,
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

/** JSON body of an error that is sent to a caller or an operator. */
export interface ErrorBody {
  readonly error: {
    readonly code: ErrorCode
    readonly step: string
    readonly peer: string
    readonly outcome: "not-run" | "unknown"
    readonly message: string
  }
}

/** Returns a GalenawayError unchanged. Wraps any other thrown value in one with the code `internal` and the outcome `unknown`. */
export function wrapError(error: unknown): GalenawayError {
  if (error instanceof GalenawayError) return error
  return new GalenawayError("internal", "send", "self", "unknown", describeError(error), {
    cause: error,
  })
}

/** Returns the HTTP status of an error. */
export function getStatus(error: GalenawayError): number {
  return STATUS_BY_CODE[error.code]
}

/** Formats an error as a JSON body. */
export function formatErrorBody({ code, step, peer, outcome, message }: GalenawayError): ErrorBody {
  return { error: { code, step, peer, outcome, message } }
}

/** Sends an error as JSON. Closes the connection instead when an answer has started. Statuses 429 and 503 get a Retry-After header. */
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
