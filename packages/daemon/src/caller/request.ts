import { randomUUID } from "node:crypto"
import type { IncomingHttpHeaders } from "node:http"
import type { Request } from "@tinyhttp/app"
import { type Clock, RefusedError, systemClock } from "@galenaway/core"
import type { BodyFailure, IngressGuard } from "@galenaway/ingress"
import type { TimeSource } from "./idle-timeout.js"
import { createInputError } from "./parse.js"
import { waitMs } from "./timer.js"

/** The largest accepted request body. */
export const BODY_LIMIT_BYTES = 1024 * 1024
/** Time within which a whole request must arrive. */
export const REQUEST_TIMEOUT_MS = 30_000
const CALLER_ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/
/** Number of hexadecimal digits that are added to a caller's id. */
const UNIQUE_SUFFIX_LENGTH = 12

/** The ids of one request. */
export interface RequestIds {
  /** The value of the `x-request-id` header of the answer: the caller's id if it sent one, a new id otherwise. */
  readonly caller: string
  /** The id within the fleet. It is unique even when callers send the same id twice. */
  readonly internal: string
}

/** Reads the caller's request id, or creates one. Throws a RefusedError for a malformed id. */
export function readRequestIds(headers: IncomingHttpHeaders): RequestIds {
  const given = headers["x-request-id"]
  if (given === undefined) {
    const internal = randomUUID()
    return { caller: internal, internal }
  }
  if (typeof given !== "string" || !CALLER_ID_PATTERN.test(given))
    throw createInputError("x-request-id: expected 1 to 64 letters, digits, . _ -")
  const unique = randomUUID().replaceAll("-", "").slice(0, UNIQUE_SUFFIX_LENGTH)
  return { caller: given, internal: `${given}-${unique}` }
}

/** Reads a request body. Throws a RefusedError when it exceeds the limit, can't be held or doesn't arrive whole in time. */
export async function readLimitedBody(request: Request, ingress: IngressGuard): Promise<string> {
  const deadline = systemClock.now() + REQUEST_TIMEOUT_MS
  const body = await ingress.readBody(request, { maxBytes: BODY_LIMIT_BYTES, deadline })
  if (typeof body === "string") throw createBodyError(body)
  return body.toString()
}

function createBodyError(failure: BodyFailure): RefusedError {
  switch (failure) {
    case "too-large":
      return new RefusedError(
        "too-large",
        "parse",
        "caller",
        `body: at most ${BODY_LIMIT_BYTES} bytes`,
      )
    case "no-memory":
      return new RefusedError("overloaded", "parse", "self", "too many bytes of requests are held")
    case "timeout":
      return new RefusedError("deadline", "parse", "caller", "body: it did not arrive in time")
    case "gone":
      return createInputError("body: it did not arrive whole")
  }
}

/** Combines a clock with the timers of the process. */
export function createTimeSource(clock: Clock): TimeSource {
  return { clock, wait: waitMs }
}
