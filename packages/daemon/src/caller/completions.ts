import type { Request, Response } from "@tinyhttp/app"
import {
  type EndpointId,
  type EnginePort,
  GalenawayError,
  type Grant,
  type GrantResult,
  RefusedError,
  type Router,
  type RouteRequest,
} from "@galenaway/core"
import type { IngressGuard } from "@galenaway/ingress"
import { type AnswerTarget, streamAnswer } from "./answer.js"
import { sendError, wrapError } from "./errors.js"
import type { TimeSource } from "./idle-timeout.js"
import { type DeadlineSource, type ParsedCompletion, parseCompletion } from "./parse.js"
import { readLimitedBody, readRequestIds } from "./request.js"
import { RetryBudget } from "./retry-budget.js"
import { type Observers, RequestTracker } from "./tracker.js"
import { type AnswerWriter, BufferingWriter, StreamWriter } from "./writer.js"

const MAX_ATTEMPT_COUNT = 3
/** Half of the pause after the first failed cancel. The pause doubles with each further failure, up to `MAX_CANCEL_BACKOFF_MS`. */
const CANCEL_BACKOFF_MS = 200
const MAX_CANCEL_BACKOFF_MS = 5000

/** Dependencies of a `CompletionHandler`. */
export interface CompletionHandlerDependencies extends TimeSource, Observers {
  readonly router: Router
  readonly engines: ReadonlyMap<EndpointId, EnginePort>
  readonly getDeadlineMs: DeadlineSource
  readonly ingress: IngressGuard
}

/** One request in progress. */
interface CompletionExchange {
  readonly parsed: ParsedCompletion
  readonly writer: AnswerWriter
  readonly tracker: RequestTracker
  readonly signal: AbortSignal
}

/** Serves `POST /v1/chat/completions`. */
export class CompletionHandler {
  private readonly budget = new RetryBudget()

  constructor(private readonly deps: CompletionHandlerDependencies) {}

  /** Answers one request. Never rejects; errors are sent to the caller. */
  async handle(request: Request, response: Response): Promise<void> {
    const abort = new AbortController()
    response.on("close", () => {
      abort.abort()
    })
    try {
      const ids = readRequestIds(request.headers)
      response.setHeader("x-request-id", ids.caller)
      const body = await readLimitedBody(request, this.deps.ingress)
      const now = this.deps.clock.now()
      const { getDeadlineMs } = this.deps
      const parsed = parseCompletion(ids.internal, body, request.headers, now, getDeadlineMs)
      const writer = parsed.isStreamed
        ? new StreamWriter(response, this.deps)
        : new BufferingWriter(response)
      const tracker = new RequestTracker(parsed.route, this.deps.clock, this.deps)
      await this.answer({ parsed, writer, tracker, signal: abort.signal })
    } catch (error) {
      sendError(response, error)
    }
  }

  private async answer(exchange: CompletionExchange): Promise<void> {
    const { writer, tracker, signal } = exchange
    this.budget.recordRequest()
    try {
      await this.runAttempts(exchange)
      tracker.onDone()
    } catch (thrown) {
      const error = wrapError(thrown)
      if (signal.aborted || error.code === "canceled") tracker.onCanceled()
      else tracker.onFailed(error)
      writer.fail(error)
    }
  }

  private async runAttempts(exchange: CompletionExchange): Promise<void> {
    const { route } = exchange.parsed
    for (let attempt = 1; ; attempt++) {
      const next = attempt === 1 ? route : { ...route, id: `${route.id}.${attempt}` }
      const grant = await this.deps.router.acquire(next, exchange.signal)
      try {
        await this.runGranted(grant, next, exchange)
        return
      } catch (error) {
        if (attempt === MAX_ATTEMPT_COUNT || !this.canRetry(error, exchange))
          throw convertMissingAdapter(error, grant)
      }
    }
  }

  /** Runs a request under a grant. Releases the grant exactly once, after the run has ended or has been canceled. */
  private async runGranted(
    grant: Grant,
    route: RouteRequest,
    exchange: CompletionExchange,
  ): Promise<void> {
    const { router } = this.deps
    const engine = this.deps.engines.get(grant.endpoint)
    if (!engine) {
      router.release(grant, "failed")
      throw new RefusedError("no-endpoint", "send", grant.endpoint, "not in the settings")
    }
    try {
      await this.sendParts({ engine, endpoint: grant.endpoint }, route, exchange)
      router.release(grant, "done")
    } catch (error) {
      const result = exchange.signal.aborted ? "canceled" : getGrantResult(error)
      if (canStillRun(error)) void this.cancelRun(engine, grant, result)
      else router.release(grant, result)
      throw error
    }
  }

  private async sendParts(target: AnswerTarget, route: RouteRequest, exchange: CompletionExchange) {
    const { parsed, writer, tracker, signal } = exchange
    const { id, adapter, rank, maxTokens } = route
    const call = { request: id, adapter, rank, maxTokens, messages: parsed.messages }
    const { clock, wait } = this.deps
    tracker.onSent(target.endpoint, id)
    const onResume = tracker.onResumed.bind(tracker)
    const options = { clock, wait, firstTokenBy: route.deadline, onResume }
    for await (const part of streamAnswer(target, call, signal, options)) {
      if (part.kind === "token") tracker.onToken()
      await writer.write(part)
    }
  }

  /** Cancels a run, with retries until it succeeds, and then releases its grant. The adapter counts as used until the engine confirms the cancel. */
  private async cancelRun(engine: EnginePort, grant: Grant, result: GrantResult): Promise<void> {
    const { router, wait } = this.deps
    for (let attempt = 1; !(await tryCancel(engine, grant)); attempt++)
      await wait(Math.min(CANCEL_BACKOFF_MS * 2 ** attempt, MAX_CANCEL_BACKOFF_MS))
    router.release(grant, result)
  }

  private canRetry(error: unknown, { parsed, writer, signal }: CompletionExchange): boolean {
    if (signal.aborted || writer.hasStarted) return false
    if (this.deps.clock.now() >= parsed.route.deadline) return false
    return isEngineFailure(error) && this.budget.acquire()
  }
}

async function tryCancel(engine: EnginePort, grant: Grant): Promise<boolean> {
  try {
    await engine.cancel(grant.request)
    return true
  } catch {
    return false
  }
}

function isEngineFailure(error: unknown): boolean {
  if (!(error instanceof GalenawayError)) return false
  const { code } = error
  return code === "endpoint-failed" || code === "not-found" || code === "wrong-answer"
}

function isAdapterMissing(error: unknown): boolean {
  return error instanceof RefusedError && error.code === "not-found"
}

function canStillRun(error: unknown): boolean {
  if (!(error instanceof GalenawayError)) return true
  return error.outcome === "unknown" && error.code !== "not-found"
}

function getGrantResult(error: unknown): GrantResult {
  if (isAdapterMissing(error)) return "adapter-missing"
  return error instanceof RefusedError ? "endpoint-down" : "failed"
}

/** Converts the engine's `not-found` for an adapter to `load-failed`; callers get any other error unchanged. */
function convertMissingAdapter(error: unknown, grant: Grant): unknown {
  if (!isAdapterMissing(error)) return error
  const message = `${grant.adapter} is not resident there`
  return new RefusedError("load-failed", "send", grant.endpoint, message, { cause: error })
}
