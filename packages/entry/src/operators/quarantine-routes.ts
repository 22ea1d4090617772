import type { IncomingMessage } from "node:http"
import type { App } from "@tinyhttp/app"
import { z } from "zod"
import type { Log } from "@galenaway/observe"
import type { PartId, QuarantinedPart } from "@galenaway/routing"
import { readBody } from "./body.js"

/** The request parts that an instance holds back, for operators. */
export interface QuarantineReply {
  readonly parts: readonly QuarantinedPart[]
  /** Parts that may end engines; the evidence isn't sufficient yet. */
  readonly suspects: readonly PartId[]
}

/** An operator's request to release a part. */
export type ReleaseRequest = z.infer<typeof RELEASE_SCHEMA>

/** The answer to a {@link ReleaseRequest}. */
export interface ReleaseReply {
  readonly part: PartId
  /** False if the part was not in quarantine. */
  readonly isReleased: boolean
}

/** What operators may see and change of the quarantine. */
export interface QuarantineSource {
  listHeld(): readonly QuarantinedPart[]
  listSuspects(): readonly PartId[]
  clear(part: PartId): boolean
}

const RELEASE_SCHEMA = z.object({
  id: z.string(),
  part: z.string().min(1),
  author: z.string().min(1),
  reason: z.string().min(1),
})
const MAX_BODY_BYTES = 4096
const BAD_REQUEST_STATUS = 400

/** Registers the operators' interface of the quarantine: `GET /v1/quarantine` and `POST /v1/quarantine/release`. */
export function registerQuarantineRoutes(app: App, source: QuarantineSource, log: Log): void {
  app.get("/v1/quarantine", (_request, response) => {
    const reply: QuarantineReply = { parts: source.listHeld(), suspects: source.listSuspects() }
    response.json(reply)
  })
  app.post("/v1/quarantine/release", async (request, response) => {
    const release = await readRelease(request)
    if (!release) {
      const message = "a release has an id, a part, an author and a reason"
      const error = { code: "bad-request", step: "operate", outcome: "not-run", message }
      response.status(BAD_REQUEST_STATUS).json({ error })
      return
    }
    const { part, author, reason } = release
    const reply: ReleaseReply = { part, isReleased: source.clear(part) }
    log.warn({ ...reply, author, reason }, "release of a request part requested")
    response.json(reply)
  })
}

async function readRelease(request: IncomingMessage): Promise<ReleaseRequest | undefined> {
  const body = await readBody(request, MAX_BODY_BYTES)
  if (!Buffer.isBuffer(body)) return undefined
  try {
    return RELEASE_SCHEMA.parse(JSON.parse(body.toString()))
  } catch {
    // The caller is told what a release has.
    return undefined
  }
}
