import { once } from "node:events"
import { createServer } from "node:http"
import type { AddressInfo } from "node:net"
import { App, type Response } from "@tinyhttp/app"
import { expect } from "chai"
import { pino } from "pino"
import { request as sendRequest } from "undici"
import {
  type AdapterKey,
  type CompletionCall,
  type EnginePort,
  type Grant,
  RefusedError,
  type Router,
  type StreamPart,
  UnknownOutcomeError,
} from "@galenaway/core"
import { IngressGuard } from "@galenaway/ingress"
import { CompletionHandler, STALL_LIMIT_MS, StreamWriter } from "@galenaway/daemon"
import { createManualClock } from "@galenaway/fakes"
import { type EventDetails, noopMetrics, noopRecorder } from "@galenaway/observe"

type Script = (call: CompletionCall, signal: AbortSignal) => AsyncIterable<StreamPart>

const adapter = "base/a@1" as AdapterKey
const DEADLINE_MS = 10_000

function makePart(call: CompletionCall, sequence: number): StreamPart {
  const source = { request: call.request, adapter: call.adapter, run: `run ${call.request}` }
  if (sequence > call.maxTokens) return { kind: "done", sequence, finishReason: "stop", source }
  return { kind: "token", sequence, text: `${sequence} `, source }
}

async function* answerCompletely(call: CompletionCall): AsyncGenerator<StreamPart> {
  for (let sequence = 1; sequence <= call.maxTokens + 1; sequence++) yield makePart(call, sequence)
  await Promise.resolve()
}

async function* failAfterOnePart(call: CompletionCall): AsyncGenerator<StreamPart> {
  yield makePart(call, 1)
  await Promise.resolve()
  throw new UnknownOutcomeError("endpoint-failed", "stream", "e1", "cut")
}

async function* failImmediately(): AsyncGenerator<StreamPart> {
  await Promise.resolve()
  yield* []
  throw new UnknownOutcomeError("endpoint-failed", "stream", "e1", "cut")
}

async function* rejectAdapter(): AsyncGenerator<StreamPart> {
  await Promise.resolve()
  yield* []
  throw new RefusedError("not-found", "send", "e1", "no such adapter")
}

async function* stallAfterOnePart(call: CompletionCall, signal: AbortSignal) {
  yield makePart(call, 1)
  await once(signal, "abort")
  throw new UnknownOutcomeError("endpoint-failed", "stream", "e1", "aborted")
}

/** Starts a completion handler with an engine that follows scripts, one for each attempt. Later attempts get a complete answer. */
async function startFixture(scripts: readonly Script[]) {
  const clock = createManualClock()
  const sent: string[] = []
  const canceled: string[] = []
  const released: string[] = []
  const events: EventDetails[] = []
  const engine = {
    complete: (call: CompletionCall, signal: AbortSignal) => {
      sent.push(call.request)
      return (scripts[sent.length - 1] ?? answerCompletely)(call, signal)
    },
    async *resume() {
      await Promise.resolve()
      yield* []
      throw new UnknownOutcomeError("not-found", "resume", "e1", "no such run")
    },
    cancel: (request: string) => Promise.resolve(void canceled.push(request)),
  } as Partial<EnginePort> as EnginePort
  const router: Router = {
    acquire: ({ id }) =>
      Promise.resolve<Grant>({
        id: `grant of ${id}`,
        request: id,
        endpoint: "e1",
        adapter,
        owner: "o",
        epoch: 1,
      }),
    release: (grant, result) => released.push(`${grant.request} ${result}`),
  }
  const recorder = { ...noopRecorder, record: (event: EventDetails) => events.push(event) }
  const handler = new CompletionHandler({
    getDeadlineMs: () => DEADLINE_MS,
    ingress: new IngressGuard({ budgetBytes: 4 * 1024 * 1024, maxConnections: 100 }),
    router,
    engines: new Map([["e1", engine]]),
    clock,
    wait: clock.wait,
    recorder,
    metrics: noopMetrics,
    log: pino({ level: "silent" }),
  })
  const app = new App()
  app.post("/", (request, response) => handler.handle(request, response))
  const server = createServer().on("request", app.attach).listen(0, "127.0.0.1")
  await once(server, "listening")
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`
  const call = async (stream: boolean, headers: Record<string, string> = {}, content = "hi") => {
    const messages = [{ role: "user", content }]
    const body = JSON.stringify({ model: adapter, messages, stream, max_tokens: 2 })
    return sendRequest(url, { method: "POST", headers: { "x-request-id": "q", ...headers }, body })
  }
  const close = () => {
    server.close()
    server.closeAllConnections()
  }
  return { call, close, sent, canceled, released, events, clock }
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await new Promise((resolve) => setImmediate(resolve))
}

it("retries a lost run under a new id while no byte was sent", async () => {
  const fixture = await startFixture([failImmediately])
  const { statusCode, body } = await fixture.call(true)
  const text = await body.text()
  fixture.close()
  const [first = "", second = ""] = fixture.sent
  expect(statusCode).to.equal(200)
  expect(text).to.contain(second).and.contain("[DONE]")
  expect(fixture.released).to.deep.equal([`${first} failed`, `${second} done`])
})

it("repeats a whole answer from its start", async () => {
  const fixture = await startFixture([failAfterOnePart])
  const { body } = await fixture.call(false)
  const answer = (await body.json()) as { choices: { message: { content: string } }[] }
  fixture.close()
  expect(answer.choices[0]?.message.content).to.equal("1 2 ")
})

it("ends a lost stream with an error event", async () => {
  const fixture = await startFixture([failAfterOnePart])
  const { body } = await fixture.call(true)
  const text = await body.text()
  fixture.close()
  expect(text).to.match(/event: error\ndata: \{"error":\{"code":"not-found","step":"resume"/)
  expect(text).to.not.contain("[DONE]")
  expect(fixture.sent).to.have.length(1)
})

it("routes again when the adapter is missing, within a limit", async () => {
  const fixture = await startFixture([rejectAdapter, rejectAdapter, rejectAdapter, rejectAdapter])
  const { statusCode, headers, body } = await fixture.call(true)
  const { error } = (await body.json()) as { error: { code: string; outcome: string } }
  fixture.close()
  expect([statusCode, headers["retry-after"]]).to.deep.equal([503, "1"])
  expect(error).to.include({ code: "load-failed", outcome: "not-run" })
  expect(fixture.released.map((each) => each.split(" ")[1])).to.deep.equal(
    Array.from({ length: 3 }, () => "adapter-missing"),
  )
})

it("cancels the run of a caller that left, and releases once", async () => {
  const fixture = await startFixture([stallAfterOnePart])
  const { body } = await fixture.call(true)
  await once(body, "data")
  body.on("error", () => undefined).destroy()
  await waitUntil(() => fixture.released.length > 0)
  fixture.close()
  const [id = ""] = fixture.sent
  expect(fixture.canceled).to.deep.equal([id])
  expect(fixture.released).to.deep.equal([`${id} canceled`])
  expect(fixture.events.at(-1)?.kind).to.equal("request-canceled")
})

it("keeps callers that use one request id apart", async () => {
  const fixture = await startFixture([])
  const replies = [await fixture.call(false), await fixture.call(false)]
  for (const { body } of replies) await body.dump()
  fixture.close()
  expect(replies.map(({ headers }) => headers["x-request-id"])).to.deep.equal(["q", "q"])
  expect(new Set(fixture.sent).size).to.equal(2)
})

it("refuses a malformed request id and too large a body", async () => {
  const fixture = await startFixture([])
  const malformed = await fixture.call(false, { "x-request-id": "a b" })
  const large = await fixture.call(false, {}, "x".repeat(1024 * 1024))
  const error = ((await large.body.json()) as { error: object }).error
  await malformed.body.dump()
  fixture.close()
  expect([malformed.statusCode, large.statusCode]).to.deep.equal([400, 413])
  expect(error).to.include({ code: "too-large", step: "parse", outcome: "not-run" })
})

it("records the events of a request in order", async () => {
  const fixture = await startFixture([failImmediately])
  await (await fixture.call(true)).body.dump()
  fixture.close()
  expect(fixture.events.map(({ kind }) => kind)).to.deep.equal([
    "request-received",
    "request-sent",
    "stream-resumed",
    "request-sent",
    "first-token",
    "request-done",
  ])
})

it("closes the connection of a caller that stops reading", async () => {
  const clock = createManualClock()
  let isDestroyed = false
  const response = {
    writeHead: () => response,
    write: () => false,
    once: () => response,
    off: () => response,
    destroy: () => (isDestroyed = true),
  }
  const writer = new StreamWriter(response as unknown as Response, { clock, wait: clock.wait })
  const call = { request: "q", adapter, rank: "bulk", messages: [], maxTokens: 1 } as const
  const written = writer.write(makePart(call, 1)).catch((error: unknown) => error)
  await clock.advance(STALL_LIMIT_MS - 1)
  expect(isDestroyed).to.equal(false)
  await clock.advance(1)
  expect(await written).to.include({ code: "canceled", step: "stream" })
  expect(isDestroyed).to.equal(true)
})
