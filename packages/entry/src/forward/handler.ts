import type { IncomingMessage, ServerResponse } from "node:http"
import type { CallerLimits, ClientAccount, Millis, RequestMetadata, Route } from "@galenaway/core"
import type { BodyFailure } from "@galenaway/ingress"
import { chooseService, type PartId } from "@galenaway/routing"
import { type Call, isStopLimit, StopLimitError } from "./call.js"
import type { ForwardContext } from "./context.js"
import {
  BODY_NOT_HELD,
  BODY_TIMEOUT,
  buildOverQuota,
  buildRefusal,
  buildUnauthorized,
  buildUnknownOutcome,
  type ErrorAnswer,
  NO_CONFIGURATION,
  NO_ROUTE,
  STOPPING,
  TOO_LARGE,
  TOO_SLOW,
} from "./errors.js"
import { computeCost } from "../quota/index.js"
import { listRequestParts } from "../quarantine/index.js"
import { ForwardJob } from "./job.js"
import { CallerReply } from "./reply.js"

/** A request that may be served. */
interface AcceptedRequest {
  readonly request: IncomingMessage
  readonly reply: CallerReply
  readonly route: Route
  readonly facts: RequestMetadata
  readonly limits: CallerLimits
  /** Monotonic time at which the head of the request arrived. */
  readonly arrivedAt: Millis
  /** Undefined if the route needs none. */
  readonly account: ClientAccount | undefined
}

/** Handles callers' requests: finds the route and the account, reads the body and forwards the call. */
export class ForwardHandler {
  private inFlightCount = 0
  private readonly disconnects = new Set<AbortController>()

  constructor(private readonly context: ForwardContext) {}

  /** Number of requests in progress. */
  get runningCount(): number {
    return this.inFlightCount
  }

  /** Ends all requests in progress. Answers that have not begun are errors with the truthful outcome; the others are aborted. */
  endAll(): void {
    for (const disconnect of this.disconnects) disconnect.abort(new StopLimitError())
  }

  /** Handles one request. Resolves when its answer has been written to the connection, or aborted; never rejects. */
  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.inFlightCount++
    const reply = new CallerReply(
      response,
      this.context.headerCodec,
      () => this.context.stop.isStopping,
      this.context.ingress.createAnswerHolder(response),
      () => this.context.monitor?.isMovingCallers ?? false,
    )
    try {
      await this.serve(request, response, reply)
    } catch (error) {
      this.context.log.write({ err: formatError(error) }, "internal error while serving a request")
      // The call may have been sent before the error.
      reply.sendError(buildUnknownOutcome("internal error"))
    }
    // A caller that reads slowly receives its answer after the call has ended.
    await waitForClose(response)
    this.inFlightCount--
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
    reply: CallerReply,
  ): Promise<void> {
    if (!this.context.stop.canTake()) {
      this.sendRefusal(request, reply, STOPPING)
      return
    }
    const arrivedAt = this.context.clock.now()
    const { routes } = this.context.catalogue
    if (!routes) {
      this.sendRefusal(request, reply, NO_CONFIGURATION)
      return
    }
    const path = request.url ?? "/"
    const route = routes.findRoute(request.headers.host ?? "", path)
    if (!route) {
      this.sendRefusal(request, reply, NO_ROUTE)
      return
    }
    const facts = this.context.headerCodec.readRequest(request.rawHeaders)
    const authorization = this.context.authorizer.authorize(route, facts.credentials)
    if (authorization.kind === "refused") {
      this.context.accountUsage.onKeyRefused(authorization.cause)
      this.sendRefusal(request, reply, buildUnauthorized(authorization.reason))
      return
    }
    const { account } = authorization
    if (account)
      this.context.accountUsage.onRequest(account.name, facts.promptTokens + facts.outputTokens)
    if (this.context.monitor?.isTooSlowFor(route.objectiveMs)) {
      this.context.metrics.count("slow-refusals")
      this.sendRefusal(request, reply, TOO_SLOW)
      return
    }
    const { limits } = routes.configuration
    await this.serveAuthorized(
      { request, reply, route, facts, limits, arrivedAt, account },
      response,
    )
  }

  /** Serves a request whose account is known and whose body has not been read. */
  private async serveAuthorized(
    accepted: AcceptedRequest,
    response: ServerResponse,
  ): Promise<void> {
    const disconnectSignal = this.createDisconnectSignal(response)
    const { account, facts } = accepted
    if (!account?.quota) {
      await this.serveWithinQuota(accepted, disconnectSignal)
      return
    }
    const { quotas } = this.context
    const decision = await quotas.take(account, computeCost(account.quota, facts))
    if (decision.kind === "refused") {
      this.refuse(accepted, buildOverQuota(decision))
      return
    }
    const mayHaveRun = await this.serveWithinQuota(accepted, disconnectSignal)
    if (!mayHaveRun) quotas.release(decision.permit)
  }

  /** Reads the body of a request and forwards it. Returns whether an endpoint may have run it. */
  private async serveWithinQuota(
    accepted: AcceptedRequest,
    disconnectSignal: AbortSignal,
  ): Promise<boolean> {
    // The connection may have closed while the quota was awaited.
    if (disconnectSignal.aborted && !isStopLimit(disconnectSignal)) return false
    const { request, facts, route, arrivedAt, limits } = accepted
    const body = await this.context.ingress.readBody(request, {
      maxBytes: limits.maxBodyBytes,
      deadline: arrivedAt + Math.min(facts.deadlineMs ?? Infinity, route.timeoutMs),
      signal: disconnectSignal,
    })
    if (isStopLimit(disconnectSignal)) this.refuse(accepted, STOPPING)
    else if (typeof body === "string") this.refuseBody(accepted, body)
    else return this.forward(accepted, body, disconnectSignal)
    return false
  }

  private refuseBody(accepted: AcceptedRequest, failure: BodyFailure): void {
    switch (failure) {
      case "too-large":
        this.refuse(accepted, TOO_LARGE)
        return
      case "no-memory":
        this.refuse(accepted, BODY_NOT_HELD)
        return
      case "timeout":
        this.refuse(accepted, BODY_TIMEOUT)
        return
      case "gone":
    }
  }

  private async forward(
    accepted: AcceptedRequest,
    body: Buffer,
    disconnectSignal: AbortSignal,
  ): Promise<boolean> {
    const { request, reply, route, facts, arrivedAt, account } = accepted
    const service = chooseService(route, Math.random())
    if (service === undefined) {
      this.refuse(accepted, buildRefusal("the route names no service"))
      return false
    }
    const timeoutMs = Math.min(facts.deadlineMs ?? Infinity, route.timeoutMs)
    const call: Call = {
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: request.rawHeaders,
      body,
      facts,
      parts: this.listParts(facts),
      route,
      ...(account && { account }),
      priority: account?.priority ?? route.priority,
      service,
      arrivedAt,
      deadline: arrivedAt + timeoutMs,
      disconnectSignal,
    }
    const job = new ForwardJob(this.context, call, reply)
    await job.run()
    return job.mayHaveRun
  }

  private createDisconnectSignal(response: ServerResponse): AbortSignal {
    const controller = new AbortController()
    this.disconnects.add(controller)
    response.once("close", () => {
      this.disconnects.delete(controller)
      if (!response.writableFinished) controller.abort()
    })
    return controller.signal
  }

  private listParts(facts: RequestMetadata): readonly PartId[] {
    const { adapter } = facts
    const { versions } = this.context
    return listRequestParts(facts, adapter === undefined ? undefined : versions.getNewest(adapter))
  }

  private refuse({ request, reply, account }: AcceptedRequest, answer: ErrorAnswer): void {
    if (account) this.context.accountUsage.onRefused(account.name, answer.code)
    this.sendRefusal(request, reply, answer)
  }

  private sendRefusal(request: IncomingMessage, reply: CallerReply, answer: ErrorAnswer): void {
    const { attempt } = this.context.headerCodec.readRequest(request.rawHeaders)
    this.context.log.write(
      { request: attempt, status: answer.status, reason: answer.message },
      "answered by the instance",
    )
    this.context.ingress.discardBody(request)
    reply.sendError(answer)
  }
}

function waitForClose(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    if (response.destroyed) resolve()
    else
      response.once("close", () => {
        resolve()
      })
  })
}

function formatError(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error)
}
