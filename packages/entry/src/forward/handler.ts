import type { IncomingMessage, ServerResponse } from "node:http"
import type { RequestMetadata, Route } from "@galenaway/core"
import { chooseService, type PartId } from "@galenaway/routing"
import { readBody } from "./body.js"
import { type Call, isStopLimit, StopLimitError } from "./call.js"
import type { ForwardContext } from "./context.js"
import {
  buildRefusal,
  buildUnknownOutcome,
  type ErrorAnswer,
  NO_CONFIGURATION,
  NO_ROUTE,
  STOPPING,
  TOO_LARGE,
  TOO_SLOW,
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
    if (this.context.monitor?.isTooSlowFor(route.objectiveMs)) {
      this.context.metrics.count("slow-refusals")
      this.sendRefusal(request, reply, TOO_SLOW)
      return
    }
    const disconnectSignal = this.createDisconnectSignal(response)
    const body = await readBody(request, routes.configuration.limits.maxBodyBytes, disconnectSignal)
    if (body === "too-large") this.sendRefusal(request, reply, TOO_LARGE)
    else if (isStopLimit(disconnectSignal)) this.sendRefusal(request, reply, STOPPING)
    else if (body !== "gone")
      await this.forward(route, request, body, arrivedAt, disconnectSignal, reply)
  }

  private async forward(
    route: Route,
    request: IncomingMessage,
    body: Buffer,
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
    const facts = this.context.headerCodec.readRequest(headers)
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
    // An unread body would block the connection for later requests.
    request.resume()
    reply.sendError(answer)
  }
}

function waitForClose(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    if (response.closed) resolve()
    else
      response.once("close", () => {
        resolve()
      })
  })
}

function formatError(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error)
}
