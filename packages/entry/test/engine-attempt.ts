import { createServer, type Server, type Socket } from "node:net"
import type { AddressInfo } from "node:net"
import type { HeaderCodec, RawHeaders, Registration, RequestKind } from "@galenaway/core"
import {
  type AnswerSink,
  Attempt,
  type AttemptResult,
  Authorizer,
  BufferingSink,
  type CallerReply,
  type EndpointPools,
  type ForwardContext,
  StreamSink,
} from "@galenaway/entry"
import { createManualClock } from "@galenaway/fakes"
import { EndpointHealth, PaceTable, VersionTable } from "@galenaway/routing"
import { ENGINE, OPEN_GUARD } from "./support.js"

const NO_TIMEOUTS = { firstByteMs: Infinity, betweenBytesMs: Infinity }

/** The id of the requests that {@link runAttempt} sends. */
export const ATTEMPT_ID = "a"

/** Sends one request to an engine on loopback. No timeout applies. */
export function runAttempt(
  pools: EndpointPools,
  port: number,
  sink: AnswerSink,
  kind: RequestKind = "stream",
): Promise<AttemptResult> {
  const endpoint: Registration = { ...ENGINE, address: `127.0.0.1:${String(port)}` }
  const context = {
    health: new EndpointHealth(),
    headerCodec: HEADER_CODEC,
    directory: { find: () => endpoint },
    clock: createManualClock(),
    versions: new VersionTable(1000),
    paces: new PaceTable(),
    guard: OPEN_GUARD,
    authorizer: new Authorizer(),
    pools,
    computeConnectionLimit: () => 1,
  }
  const destination = { endpoint, isLate: false, waitMs: 0 }
  const forwardContext = context as unknown as ForwardContext
  return new Attempt(forwardContext, buildCall(kind), destination, sink, {
    timeouts: NO_TIMEOUTS,
    connectionUse: kind === "non-idempotent" ? "single" : "shared",
    onSilent: () => undefined,
  }).run()
}

/** Creates the sink of a stream that may run only once, or of a whole answer, whose caller reads everything. */
export function createSink(kind: RequestKind = "stream"): AnswerSink {
  const reply = {
    hasHead: false,
    writeHead: () => undefined,
    write: () => true,
    gather: () => true,
    releaseGathered: () => undefined,
    end: () => undefined,
  }
  const callerReply = reply as unknown as CallerReply
  const getFlowControl = () => ({ pause: () => undefined, resume: () => undefined })
  return kind === "stream"
    ? new StreamSink(callerReply, false, undefined).createSink(getFlowControl)
    : new BufferingSink(callerReply, getFlowControl)
}

/** Starts an engine that handles each connection by a function. */
export async function startRawEngine(onConnection: (socket: Socket) => void) {
  const server: Server = createServer((socket) => {
    socket.on("error", () => socket.destroy())
    onConnection(socket)
  })
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve))
  return { port: (server.address() as AddressInfo).port, stop: () => server.close() }
}

/** Reads the headers of the platform that decide whose answer it is and whether the request ran. */
export const HEADER_CODEC: Partial<HeaderCodec> = {
  buildRequest: () => [],
  readAnswer: (status, headers) => ({
    attempt: findHeader(headers, "attempt-id"),
    isNotRun: findHeader(headers, "not-run") !== undefined,
    isMisdirected: status === 421,
    answeredBy: undefined,
    isSigned: true,
    hasEncodedBody: false,
    isLeaving: false,
    load: undefined,
  }),
}

function findHeader(headers: RawHeaders, name: string): string | undefined {
  const index = headers.findIndex((header, at) => at % 2 === 0 && header.toLowerCase() === name)
  return index < 0 ? undefined : headers[index + 1]
}

function buildCall(kind: RequestKind) {
  const facts = { attempt: ATTEMPT_ID, promptTokens: 0, sharedParts: [] }
  const route = { kind, objectiveMs: 500, priority: 0 }
  const disconnectSignal = new AbortController().signal
  const call = { method: "GET", path: "/", headers: [], body: Buffer.alloc(0), service: "s" }
  return {
    ...call,
    facts,
    parts: [],
    priority: 0,
    route,
    arrivedAt: 0,
    deadline: 60_000,
    disconnectSignal,
  } as never
}
