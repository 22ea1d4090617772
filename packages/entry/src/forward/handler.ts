import type { IncomingMessage, ServerResponse } from "node:http"
import type { RequestMetadata, Route } from "@galenaway/core"
import type { BodyFailure } from "@galenaway/ingress"
import { chooseService, type PartId } from "@galenaway/routing"
import { type Call, isStopLimit, StopLimitError } from "./call.js"
import type { ForwardContext } from "./context.js"
import {
  BODY_NOT_HELD,
  BODY_TIMEOUT,
  buildRefusal,
  buildUnknownOutcome,
  type ErrorAnswer,
  NO_CONFIGURATION,
  NO_ROUTE,
  STOPPING,
  TOO_LARGE,
} from "./errors.js"
import { listRequestParts } from "../quarantine/index.js"
import { ForwardJob } from "./job.js"
import { CallerReply } from "./reply.js"

/** Handles callers' requests: finds the route, reads the body and forwards the call. */
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
    const disconnectSignal = this.createDisconnectSignal(response)
    const facts = this.context.headerCodec.readRequest(request.rawHeaders)
    const deadline = arrivedAt + Math.min(facts.deadlineMs ?? Infinity, route.timeoutMs)
    const body = await this.context.ingress.readBody(request, {
      maxBytes: routes.configuration.limits.maxBodyBytes,
      deadline,
      signal: disconnectSignal,
    })
    if (isStopLimit(disconnectSignal)) this.sendRefusal(request, reply, STOPPING)
    else if (typeof body === "string") this.refuseBody(request, reply, body)
    else await this.forward(route, request, body, facts, arrivedAt, disconnectSignal, reply)
  }

  private refuseBody(request: IncomingMessage, reply: CallerReply, failure: BodyFailure): void {
    switch (failure) {
      case "too-large":
        this.sendRefusal(request, reply, TOO_LARGE)
        return
      case "no-memory":
        this.sendRefusal(request, reply, BODY_NOT_HELD)
        return
      case "timeout":
        this.sendRefusal(request, reply, BODY_TIMEOUT)
        return
      case "gone":
    }
  }

  private async forward(
    route: Route,
    request: IncomingMessage,
    body: Buffer,
    facts: RequestMetadata,
    arrivedAt: number,
    disconnectSignal: AbortSignal,
    reply: CallerReply,
  ): Promise<void> {
    const service = chooseService(route, Math.random())
    if (service === undefined) {
      this.sendRefusal(request, reply, buildRefusal("the route names no service"))
      return
    }
    const headers = request.rawHeaders
    const timeoutMs = Math.min(facts.deadlineMs ?? Infinity, route.timeoutMs)
    const call: Call = {
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers,
      body,
      facts,
      parts: this.listParts(facts),
      route,
      priority: route.priority,
      service,
      arrivedAt,
      deadline: arrivedAt + timeoutMs,
      disconnectSignal,
    }
    await new ForwardJob(this.context, call, reply).run()
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
