import { createHash, randomUUID } from "node:crypto"
import type { Request, Response } from "@tinyhttp/app"
import { type Agent, request as sendRequest } from "undici"
import type { ClaimRecord, RecordedAnswer } from "@galenaway/claims"
import {
  type EndpointInfo,
  type PlatformPort,
  RefusedError,
  UnknownOutcomeError,
  describeError,
} from "@galenaway/core"
import { sendError } from "./errors.js"
import { refuseInput } from "./parse.js"
import { readLimitedBody } from "./request.js"

const OPERATION = /^[a-z][a-z0-9-]{0,62}$/
const MAX_KEY_CHARACTERS = 255
const SERVICE_TIMEOUT_MS = 10_000

/** Serves `POST /v1/services/:operation`: plain calls that run at most once under their idempotency key. */
export class ServiceHandler {
  private turn = 0

  constructor(
    private readonly services: readonly EndpointInfo[],
    private readonly platform: PlatformPort,
    private readonly incarnation: string,
    private readonly agent: Agent,
  ) {}

  /** Answers one call. It never throws; errors go to the caller. */
  async handle(request: Request, response: Response): Promise<void> {
    try {
      const operation = request.params.operation ?? ""
      if (!OPERATION.test(operation)) throw refuseInput("operation: expected a lower-case name")
      const key = request.headers["idempotency-key"]
      if (typeof key !== "string" || key === "" || key.length > MAX_KEY_CHARACTERS)
        throw refuseInput(`idempotency-key: expected 1 to ${MAX_KEY_CHARACTERS} characters`)
      const answer = await this.runOnce(operation, key, await readLimitedBody(request))
      response.status(answer.status)
      response.setHeader("content-type", "application/json")
      response.end(answer.body)
    } catch (error) {
      sendError(response, error)
    }
  }

  private async runOnce(operation: string, key: string, body: string): Promise<RecordedAnswer> {
    const path = `galenaway/claims/${createHash("sha256").update(key).digest("hex")}`
    const id = randomUUID()
    const claim: ClaimRecord = { state: "claimed", id, author: this.incarnation }
    const isOurs = await this.writeClaim(path, claim)
    if (!isOurs) return this.readRecorded(path)
    const answer = await this.send(operation, key, body)
    const done: ClaimRecord = { state: "done", id, answer }
    const current = await this.platform.read(path)
    await this.platform.compareAndSwap(path, current?.revision ?? 0, JSON.stringify(done))
    return answer
  }

  private async writeClaim(path: string, claim: ClaimRecord): Promise<boolean> {
    try {
      return await this.platform.compareAndSwap(path, 0, JSON.stringify(claim))
    } catch (error) {
      throw new RefusedError("platform-down", "claim", "platform", describeError(error))
    }
  }

  private async readRecorded(path: string): Promise<RecordedAnswer> {
    const current = await this.platform.read(path)
    const record = current && (JSON.parse(current.value) as ClaimRecord)
    if (record?.state === "done") return record.answer
    const message = "claimed earlier, its outcome is not known"
    throw new UnknownOutcomeError("in-progress", "claim", "platform", message)
  }

  private async send(operation: string, key: string, body: string): Promise<RecordedAnswer> {
    const endpoint = this.services[this.turn++ % this.services.length]
    if (!endpoint) throw new RefusedError("no-endpoint", "route", "none", "no service endpoint")
    try {
      const response = await sendRequest(`${endpoint.url}/${operation}`, {
        method: "POST",
        dispatcher: this.agent,
        headers: { "content-type": "application/json", "idempotency-key": key },
        body,
        headersTimeout: SERVICE_TIMEOUT_MS,
        bodyTimeout: SERVICE_TIMEOUT_MS,
      })
      return { status: response.statusCode, body: await response.body.text() }
    } catch (error) {
      throw new UnknownOutcomeError("endpoint-failed", "send", endpoint.id, describeError(error))
    }
  }
}
