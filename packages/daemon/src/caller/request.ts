import { randomUUID } from "node:crypto"
import type { IncomingHttpHeaders } from "node:http"
import type { Request } from "@tinyhttp/app"
import getRawBody from "raw-body"
import { type Clock, RefusedError } from "@galenaway/core"
import { createInputError } from "./parse.js"
import { waitMs } from "./timer.js"
import type { TimeSource } from "./idle-timeout.js"

/** The largest accepted body of a request, in bytes. */
export const BODY_LIMIT_BYTES = 1024 * 1024
const CALLER_ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/
const UNIQUE_SUFFIX_LENGTH = 12

/** The ids of one request. */
export interface RequestIds {
  /** What goes back to the caller in `x-request-id`: its own id, if it sent one. */
  readonly caller: string
  /** The id within the fleet. It is unique also when callers use an id twice. */
  readonly internal: string
}

/** Reads the caller's id, or makes one. Throws a RefusedError for a malformed one. */
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

/** Reads a body up to the limit. Throws a RefusedError beyond it. */
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

/** Returns a passed clock with the process's own timer. */
export function createTimeSource(clock: Clock): TimeSource {
  return { clock, wait: waitMs }
}
