import { request as sendRequest } from "undici"
import { type ConfigurationIssue, describeIssue } from "@galenaway/config"
import { describeError } from "@galenaway/core"
import type { ChangeResult, OperatorErrorBody } from "@galenaway/daemon"
import { CommandError } from "./exit.js"

/** Longer than an instance waits for a slow platform during one change. */
const CALL_TIMEOUT_MS = 20_000
const HTTP_OK = 200
const HTTP_BAD_REQUEST = 400
const HTTP_UNAUTHORIZED = 401
const HTTP_CONFLICT = 409
const HTTP_SERVER_ERROR = 500

/** The answer of one instance. */
export interface InstanceAnswer<T> {
  /** The operators' URL of the instance. */
  readonly url: string
  /**
   * Whether the change was refused because of a conflict. The body is then the result
   * of the change; every other refusal is thrown as a {@link CommandError}.
   */
  readonly isConflict: boolean
  readonly body: T
}

/** The answers of all instances that answered. */
export interface FleetAnswers<T> {
  readonly answers: readonly T[]
  /** A line for each instance that didn't answer, with its URL and the reason. */
  readonly failures: readonly string[]
}

/** A call that failed or was refused. */
interface CallFailure {
  readonly url: string
  readonly reason: string
  /** Whether the call may have taken effect. */
  readonly hasUnknownOutcome: boolean
  /**
   * The error to report if the instance refused the call. Other instances would refuse
   * it as well.
   */
  readonly refusal?: CommandError
}

type CallResult<T> = InstanceAnswer<T> | CallFailure

/**
 * Calls the operators' interface of the fleet's instances. The URLs are tried in order
 * until an instance answers.
 */
export class OperatorClient {
  constructor(
    private readonly urls: readonly string[],
    private readonly key: string,
  ) {}

  /** Reads a path. Throws a {@link CommandError} if no instance answers or one refuses the call. */
  async read<T>(path: string): Promise<T> {
    return (await this.call<T>(path)).body
  }

  /**
   * Posts a change. Its id makes it safe to send the same change to the next
   * instance after a failure. Throws a {@link CommandError} if no instance answers
   * or one refuses the change for another reason than a conflict.
   */
  post(path: string, body: { readonly id: string }): Promise<InstanceAnswer<ChangeResult>> {
    return this.call<ChangeResult>(path, body)
  }

  /** Posts a request that may be sent again. Throws a {@link CommandError} if no instance answers or one refuses it. */
  async send<T>(path: string, body: { readonly id: string }): Promise<InstanceAnswer<T>> {
    return this.call<T>(path, body)
  }

  /**
   * Reads a path from all instances at once. Instances that fail or refuse are
   * listed in the failures. Throws a {@link CommandError} if no instance answers.
   */
  async readAll<T>(path: string): Promise<FleetAnswers<T>> {
    const attempts = await Promise.all(this.urls.map((url) => this.attempt<T>(url, path)))
    const answers = attempts.flatMap((each) => ("body" in each ? [each.body] : []))
    const failures = attempts.flatMap((each) => ("body" in each ? [] : [each]))
    if (answers.length === 0) throw createCallError(failures, false)
    return { answers, failures: failures.map(describeFailure) }
  }

  private async call<T>(path: string, body?: unknown): Promise<InstanceAnswer<T>> {
    const failures: CallFailure[] = []
    for (const url of this.urls) {
      const attempt = await this.attempt<T>(url, path, body)
      if ("body" in attempt) return attempt
      failures.push(attempt)
      if (attempt.refusal) break
    }
    throw createCallError(failures, body !== undefined)
  }

  private async attempt<T>(url: string, path: string, body?: unknown): Promise<CallResult<T>> {
    try {
      const response = await sendRequest(`${url}${path}`, {
        method: body === undefined ? "GET" : "POST",
        headers: { authorization: `Bearer ${this.key}`, "content-type": "application/json" },
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      })
      const text = await response.body.text()
      return parseAnswer<T>(url, response.statusCode, text)
    } catch (error) {
      if (error instanceof CommandError)
        return { url, reason: error.message, hasUnknownOutcome: false, refusal: error }
      const reason = describeCause(error)
      return { url, reason, hasUnknownOutcome: !isConnectFailure(error) }
    }
  }
}

function parseAnswer<T>(url: string, status: number, text: string): CallResult<T> {
  const body: unknown = JSON.parse(text)
  if (status === HTTP_OK) return { url, isConflict: false, body: body as T }
  if (status === HTTP_CONFLICT && !isErrorBody(body))
    return { url, isConflict: true, body: body as T }
  const { error, issues = [] } = body as OperatorErrorBody
  if (status === HTTP_UNAUTHORIZED)
    throw new CommandError("unauthorized", error.message, error.code)
  if (status === HTTP_BAD_REQUEST) throw createInputError(issues, error.message)
  if (status < HTTP_SERVER_ERROR) throw new CommandError("refused", error.message, error.code)
  return { url, reason: error.message, hasUnknownOutcome: error.outcome === "unknown" }
}

/**
 * Creates the error for refused input, with a line for each issue, or with the message
 * if there are no issues.
 */
export function createInputError(
  issues: readonly ConfigurationIssue[],
  message = "",
): CommandError {
  const lines = issues.length > 0 ? issues.map(describeIssue).join("\n") : message
  return new CommandError("refused", lines, "bad-request")
}

function isErrorBody(body: unknown): boolean {
  return typeof body === "object" && body !== null && "error" in body
}

/**
 * Creates the error for a request that no instance answered or one refused. The
 * outcome of a change is unknown if any of its calls may have taken effect, even
 * if a later one was refused, as a refusal states that nothing was changed.
 */
function createCallError(failures: readonly CallFailure[], isChange: boolean): CommandError {
  const message = failures.map(describeFailure).join("\n")
  if (isChange && failures.some((each) => each.hasUnknownOutcome))
    return new CommandError("unknown", message, "peer-down")
  const refusal = failures.find((each) => each.refusal)?.refusal
  return refusal ?? new CommandError("unreachable", message, "peer-down")
}

function describeFailure({ url, reason }: CallFailure): string {
  return `${url}: ${reason}`
}

function describeCause(error: unknown): string {
  const code = getErrorCode(error)
  return code === "" ? describeError(error) : `${code} ${describeError(error)}`.trim()
}

function isConnectFailure(error: unknown): boolean {
  return ["ECONNREFUSED", "EHOSTUNREACH", "ENOTFOUND", "UND_ERR_CONNECT_TIMEOUT"].includes(
    getErrorCode(error),
  )
}

function getErrorCode(error: unknown): string {
  return (error as { code?: string }).code ?? ""
}
