import { createServer, type Server, type Socket } from "node:net"
import type { AddressInfo } from "node:net"
import { expect } from "chai"
import type { HeaderCodec, Registration } from "@galenaway/core"
import {
  Attempt,
  type AttemptResult,
  type Call,
  type CallerReply,
  EndpointPools,
  type ForwardContext,
  StreamSink,
} from "@galenaway/entry"
import { createManualClock } from "@galenaway/fakes"
import { EndpointHealth, PaceTable, VersionTable } from "@galenaway/routing"
import { ENGINE, OPEN_GUARD } from "./support.js"

const CHUNK = "x".repeat(16 * 1024)
const MEBIBYTE = 1024 * 1024
const NO_TIMEOUTS = { firstByteMs: Infinity, betweenBytesMs: Infinity }
const HEAD = "HTTP/1.1 200 OK\r\n"
const FLOW_CONTROL = { pause: () => undefined, resume: () => undefined }

/** What an endpoint in trouble sends before the bytes without end. */
const BEGINNINGS = {
  "no head": "",
  "a header": `${HEAD}X: `,
  "an event": `${HEAD}Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n`,
  "the body of a refusal": `HTTP/1.1 503 Full\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n`,
}

for (const [place, beginning] of Object.entries(BEGINNINGS))
  it(`bytes without end in ${place} end the attempt, with bounded memory`, async () => {
    const engine = await startEndlessEngine(beginning)
    const pools = new EndpointPools()
    try {
      const result = await runAttempt(pools, engine.port)
      expect(result.kind).to.equal(place === "the body of a refusal" ? "not-run" : "failed")
      expect(engine.countSent()).to.be.lessThan(64 * MEBIBYTE)
    } finally {
      await pools.stop()
      engine.stop()
    }
  })

/** Runs a stream that may run only once, for which no timeout applies. */
function runAttempt(pools: EndpointPools, port: number): Promise<AttemptResult> {
  const endpoint: Registration = { ...ENGINE, address: `127.0.0.1:${String(port)}` }
  const headerCodec: Partial<HeaderCodec> = {
    buildRequest: () => [],
    readAnswer: (status) => ({
      attempt: "a",
      isNotRun: status === 503,
      isMisdirected: false,
      answeredBy: undefined,
      isSigned: true,
      hasEncodedBody: false,
      isLeaving: false,
      load: undefined,
    }),
  }
  const context = {
    health: new EndpointHealth(),
    headerCodec,
    clock: createManualClock(),
    versions: new VersionTable(1000),
    paces: new PaceTable(),
    guard: OPEN_GUARD,
    pools,
    computeConnectionLimit: () => 1,
  }
  const reply = { hasHead: false, writeHead: () => undefined, write: () => true }
  const stream = new StreamSink(reply as unknown as CallerReply, false, undefined)
  const sink = stream.createSink(() => FLOW_CONTROL)
  const destination = { endpoint, isLate: false, waitMs: 0 }
  const forwardContext = context as unknown as ForwardContext
  return new Attempt(forwardContext, buildCall(), destination, sink, NO_TIMEOUTS).run()
}

function buildCall(): Call {
  const facts = { attempt: "a", promptTokens: 0, sharedParts: [] }
  const route = { kind: "stream", objectiveMs: 500, priority: 0 }
  const disconnectSignal = new AbortController().signal
  const call = { method: "GET", path: "/", headers: [], body: Buffer.alloc(0), service: "s" }
  return { ...call, facts, route, arrivedAt: 0, deadline: 60_000, disconnectSignal } as never
}

/** Starts an engine that answers each request with a beginning and then with bytes without end. */
async function startEndlessEngine(beginning: string) {
  let sent = 0
  const server: Server = createServer((socket: Socket) => {
    const send = () => {
      while (!socket.destroyed) {
        sent += CHUNK.length
        if (!socket.write(CHUNK)) return
      }
    }
    socket.once("data", () => {
      socket.write(beginning)
      send()
    })
    socket.on("drain", send)
    socket.on("error", () => socket.destroy())
  })
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve))
  return {
    port: (server.address() as AddressInfo).port,
    countSent: () => sent,
    stop: () => server.close(),
  }
}
