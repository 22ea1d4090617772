import type { IncomingMessage, ServerResponse } from "node:http"
import type { Route } from "@galenaway/core"
import { chooseService } from "@galenaway/routing"
import { readBody } from "./body.js"
import type { Call } from "./call.js"
import { buildRefusal, NO_CONFIGURATION, NO_ROUTE, type ErrorAnswer, TOO_LARGE } from "./errors.js"
import { ForwardJob } from "./job.js"
import type { ForwardContext } from "./context.js"
import { Reply } from "./reply.js"

/** Handles callers' requests: finds the route, reads the body and serves the call. */
export class ForwardHandler {
  private count = 0

  constructor(private readonly parts: ForwardContext) {}

  /** Requests that are under way. */
  get runningCount(): number {
    return this.count
  }

  /** Handles one request to its end. */
  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.count++
    const reply = new Reply(response, this.parts.dialect, () => this.parts.isStopping())
    try {
      await this.serve(request, response, reply)
    } catch (error) {
      this.parts.log.write({ err: describe(error) }, "request failed inside the instance")
      reply.sendOwn(buildRefusal("internal error"))
    } finally {
      this.count--
    }
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
    reply: Reply,
  ): Promise<void> {
    const arrivedAt = this.parts.clock.now()
    const { routes } = this.parts.catalogue
    if (!routes) {
      this.refuse(request, reply, NO_CONFIGURATION)
      return
    }
    const path = request.url ?? "/"
    const route = routes.findRoute(request.headers.host ?? "", path)
    if (!route) {
      this.refuse(request, reply, NO_ROUTE)
      return
    }
    const gone = watchCaller(response)
    const body = await readBody(request, routes.configuration.limits.maxBodyBytes)
    if (body === "too-large") this.refuse(request, reply, TOO_LARGE)
    else if (body !== "gone") await this.forward(route, request, body, arrivedAt, gone, reply)
  }

  private async forward(
    route: Route,
    request: IncomingMessage,
    body: Buffer,
    arrivedAt: number,
    disconnectSignal: AbortSignal,
    reply: Reply,
  ): Promise<void> {
    const service = chooseService(route, Math.random())
    if (service === undefined) {
      this.refuse(request, reply, buildRefusal("the route names no service"))
      return
    }
    const headers = request.rawHeaders
    const facts = this.parts.dialect.readRequest(headers)
    const waitMs = Math.min(facts.deadlineMs ?? Infinity, route.timeoutMs)
    const call: Call = {
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers,
      body,
      facts,
      route,
      service,
      arrivedAt,
      deadline: arrivedAt + waitMs,
      disconnectSignal,
    }
    await new ForwardJob(this.parts, call, reply).run()
  }

  private refuse(request: IncomingMessage, reply: Reply, answer: ErrorAnswer): void {
    const { attempt } = this.parts.dialect.readRequest(request.rawHeaders)
    this.parts.log.write(
      { request: attempt, status: answer.status, reason: answer.message },
      "answered by the instance",
    )
    // The body stays unread, so the connection can't be used again.
    request.resume()
    reply.sendOwn(answer)
  }
}

function watchCaller(response: ServerResponse): AbortSignal {
  const gone = new AbortController()
  response.once("close", () => {
    if (!response.writableFinished) gone.abort()
  })
  return gone.signal
}

function describe(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error)
}
