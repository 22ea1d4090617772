import { randomUUID } from "node:crypto"
import type { IncomingHttpHeaders } from "node:http"
import type { Request } from "@tinyhttp/app"
import getRawBody from "raw-body"
import { type Clock, RefusedError } from "@galenaway/core"
import type { TimeSource } from "./idle-timeout.js"
import { createInputError } from "./parse.js"
import { waitMs } from "./timer.js"

/** The largest accepted request body. */
export const BODY_LIMIT_BYTES = 1024 * 1024
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

/** Reads a request body. Throws a RefusedError when it exceeds the limit or is incomplete. */
export async function readLimitedBody(request: Request): Promise<string> {
  try {
    return await getRawBody(request, { limit: BODY_LIMIT_BYTES, encoding: "utf8" })
  } catch (error) {
    if ((error as { type?: string }).type !== "entity.too.large")
      throw createInputError("body: it did not arrive whole")
    const message = `body: at most ${BODY_LIMIT_BYTES} bytes`
    throw new RefusedError("too-large", "parse", "caller", message)
  }
}

/** Combines a clock with the timers of the process. */
export function createTimeSource(clock: Clock): TimeSource {
  return { clock, wait: waitMs }
}
