import type { Socket } from "node:net"
import { expect } from "chai"
import type { Registration, RequestKind } from "@galenaway/core"
import {
  Authorizer,
  type Call,
  type CallerReply,
  EndpointPools,
  type ForwardContext,
  ForwardJob,
} from "@galenaway/entry"
import { createManualClock } from "@galenaway/fakes"
import { noopMetrics } from "@galenaway/observe"
import {
  CostEstimator,
  EndpointHealth,
  PaceTable,
  PlacementCostTable,
  VersionTable,
} from "@galenaway/routing"
import { ATTEMPT_ID, HEADER_CODEC, startRawEngine } from "./engine-attempt.js"
import { ENGINE, OPEN_GUARD } from "./support.js"

const REFUSAL = `HTTP/1.1 421 Misdirected\r\nAttempt-Id: ${ATTEMPT_ID}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n`
const SUCCESS = `HTTP/1.1 200 OK\r\nAttempt-Id: ${ATTEMPT_ID}\r\nContent-Length: 13\r\n\r\nid: 1\ndata:\n\n`
const COPY_MS = 5

// TWICE: a late copy of a refusal was taken for the answer to the next send of the same call.
for (const kind of ["stream", "idempotent"] as const)
  it(`a late copy of a call's refusal is no answer to its next send, ${kind}`, async () => {
    const { runCount, reply } = await runRefusedOnce(kind)
    expect(runCount).to.equal(1)
    expect(reply.ended).to.equal(true)
  })

/** Serves a call at an engine that refuses its first send, writes the refusal once more before its next answer on that connection, and runs all others. */
async function runRefusedOnce(kind: RequestKind) {
  let runCount = 0
  const sockets = new Set<Socket>()
  const engine = await startRawEngine((socket) => {
    sockets.add(socket)
    const isFirst = sockets.size === 1
    let hasRefused = false
    socket.on("data", () => {
      if (isFirst && !hasRefused) {
        hasRefused = true
        socket.write(REFUSAL)
        return
      }
      runCount++
      if (isFirst) socket.write(REFUSAL)
      setTimeout(() => socket.write(SUCCESS), COPY_MS)
    })
  })
  const pools = new EndpointPools()
  const reply = createReply()
  try {
    const context = createContext(pools, { ...ENGINE, address: `127.0.0.1:${engine.port}` })
    const callerReply = reply as unknown as CallerReply
    await new ForwardJob(context, buildCall(kind), callerReply).run()
    return { runCount, reply }
  } finally {
    await pools.stop()
    engine.stop()
  }
}

function createReply() {
  const reply = {
    hasHead: false,
    ended: false,
    sentStatus: 200,
    writeHead: () => {
      reply.hasHead = true
    },
    write: () => true,
    gather: () => true,
    releaseGathered: () => undefined,
    end: () => {
      reply.ended = true
    },
    sendComplete: () => {
      reply.ended = true
    },
    sendError: () => undefined,
    abort: () => undefined,
  }
  return reply
}

function createContext(pools: EndpointPools, endpoint: Registration): ForwardContext {
  const context = {
    localDataCentre: endpoint.dataCentre,
    directory: { listLive: createListing(endpoint), find: () => endpoint },
    headerCodec: HEADER_CODEC,
    pools,
    health: new EndpointHealth(),
    paces: new PaceTable(),
    costs: new CostEstimator(),
    placementCosts: new PlacementCostTable(),
    versions: new VersionTable(1000),
    guard: OPEN_GUARD,
    authorizer: new Authorizer(),
    clock: createManualClock(),
    metrics: noopMetrics,
    log: { write: () => undefined },
    onLeaving: () => undefined,
    onPause: () => undefined,
    getRetryBudget: () => ({ recordRequest: () => undefined, acquire: () => true }),
    countInstances: () => 1,
    stop: { isStopping: false },
    computeConnectionLimit: () => 1,
  }
  return context as unknown as ForwardContext
}

/** Lists the endpoint, but not at the second look, so that its connection is free again before the next send. */
function createListing(endpoint: Registration): () => readonly Registration[] {
  let lookCount = 0
  return () => (++lookCount === 2 ? [] : [endpoint])
}

function buildCall(kind: RequestKind): Call {
  const facts = { attempt: ATTEMPT_ID, promptTokens: 0, outputTokens: 0, sharedParts: [] }
  const route = { name: "r", kind, objectiveMs: 5000, maxAttempts: 2, priority: 0 }
  return {
    method: "GET",
    path: "/",
    headers: [],
    body: Buffer.alloc(0),
    facts,
    parts: [],
    priority: 0,
    route,
    service: "s",
    arrivedAt: 0,
    deadline: 60_000,
    disconnectSignal: new AbortController().signal,
  } as unknown as Call
}
