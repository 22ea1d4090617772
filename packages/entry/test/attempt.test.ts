import { expect } from "chai"
import type { HeaderDialect } from "@galenaway/core"
import { Attempt, type AnswerSink, type Call, type ForwardParts, isLateAt } from "@galenaway/entry"
import { createManualClock } from "@galenaway/fakes"
import { EndpointHealth, VersionTable } from "@galenaway/routing"
import { ENGINE } from "./support.js"

/** More than the failures in a row that leave an endpoint out. */
const ATTEMPTS = 5
const PATIENCE = { firstByteMs: 1, betweenBytesMs: 1 }
const IGNORED: AnswerSink = {
  onHead: () => undefined,
  onData: () => true,
  onEnd: () => ({ kind: "streamed" }),
  getLastEventId: () => undefined,
}

it("an engine that answers no request that can be on time is left out", async () => {
  expect((await runSilentAttempts(false)).isUsable("e", 0)).to.equal(false)
})

it("an engine that lets late requests wait is kept", async () => {
  const health = await runSilentAttempts(true)
  expect(health.isUsable("e", 0)).to.equal(true)
  expect(health.countInFlight("e")).to.equal(0)
})

it("a stream that has begun goes on with the urgency that it had", () => {
  const call = buildCall()
  const { objectiveMs } = call.route
  expect(isLateAt(call, objectiveMs, false)).to.equal(false)
  expect(isLateAt(call, objectiveMs + 1, false)).to.equal(true)
  expect(isLateAt(call, objectiveMs + 1, true)).to.equal(false)
})

async function runSilentAttempts(isLate: boolean): Promise<EndpointHealth> {
  const health = new EndpointHealth()
  const parts = buildParts(health)
  for (let i = 0; i < ATTEMPTS; i++) {
    const destination = { endpoint: ENGINE, isLate, waitMs: 0 }
    const result = await new Attempt(parts, buildCall(), destination, IGNORED, PATIENCE).run()
    expect(result).to.deep.equal({ kind: "failed", cause: "silent" })
  }
  return health
}

/** Parts whose connections take requests and never answer. */
function buildParts(health: EndpointHealth): ForwardParts {
  const dispatcher = {
    dispatch: (
      _request: unknown,
      handler: { onRequestStart(controller: { abort(): void }): void },
    ) => {
      handler.onRequestStart({ abort: () => undefined })
      return true
    },
  }
  const dialect: Partial<HeaderDialect> = { buildRequest: () => [] }
  const parts = {
    health,
    dialect,
    clock: createManualClock(),
    versions: new VersionTable(1000),
    uses: { add: () => undefined, remove: () => undefined },
    pools: { get: () => dispatcher },
    countConnections: () => 1,
  }
  return parts as unknown as ForwardParts
}

function buildCall(): Call {
  const facts = {
    attempt: "a",
    deadlineMs: 5000,
    model: "m",
    adapter: "m/a",
    promptTokens: 10,
    outputTokens: 10,
    sharedParts: [],
    lastEventId: undefined,
  }
  const route = {
    name: "r",
    host: "h",
    pathPrefix: "/",
    kind: "resumable-stream",
    targets: [{ service: "s", weight: 1 }],
    maxAttempts: 2,
    timeoutMs: 5000,
    objectiveMs: 500,
    priority: 0,
  } as const
  return {
    method: "POST",
    path: "/",
    headers: [],
    body: Buffer.alloc(0),
    facts,
    route,
    service: "s",
    arrivedAt: 0,
    deadline: 5000,
    callerGone: new AbortController().signal,
  }
}
