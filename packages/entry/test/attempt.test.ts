import { expect } from "chai"
import type { Dispatcher } from "undici"
import type { AnswerMetadata, HeaderCodec, Registration, ReportedLoad } from "@galenaway/core"
import {
  Attempt,
  type AttemptOptions,
  type AnswerSink,
  Authorizer,
  type Call,
  EndpointPools,
  type ForwardContext,
  isLateAt,
} from "@galenaway/entry"
import { createManualClock } from "@galenaway/fakes"
import { EndpointHealth, PaceTable, VersionTable } from "@galenaway/routing"
import { ENGINE, OPEN_GUARD } from "./support.js"

/** More than the consecutive failures after which an endpoint is excluded. */
const ATTEMPT_COUNT = 5
const TIMEOUTS = { firstByteMs: 1, betweenBytesMs: 1 }
const OPTIONS: AttemptOptions = {
  timeouts: { firstByteMs: 1000, betweenBytesMs: 1000 },
  connectionUse: "shared",
  onSilent: () => undefined,
}
const ANSWER_AFTER_MS = 400
const IGNORING_SINK: AnswerSink = {
  onHead: () => undefined,
  onData: () => "used",
  onEnd: () => ({ kind: "streamed" }),
  getLastEventId: () => undefined,
}

it("an engine that answers no on-time request is excluded", async () => {
  expect((await runSilentAttempts(false)).isUsable("e", 0)).to.equal(false)
})

it("an engine that answers no late request stays usable", async () => {
  const health = await runSilentAttempts(true)
  expect(health.isUsable("e", 0)).to.equal(true)
  expect(health.countInFlight("e")).to.equal(0)
})

it("a stream that has started is never classified as late", () => {
  const call = buildCall()
  const { objectiveMs } = call.route
  expect(isLateAt(call, objectiveMs, false)).to.equal(false)
  expect(isLateAt(call, objectiveMs + 1, false)).to.equal(true)
  expect(isLateAt(call, objectiveMs + 1, true)).to.equal(false)
})

it("the reading speed is learned only from engines where no request waits", async () => {
  const learn = async (waiting: number) => {
    const paces = new PaceTable()
    const before = paces.get("s").tokensPerMs
    await runAnsweredAttempt(paces, { running: 2, waiting, slots: 8 })
    return paces.get("s").tokensPerMs !== before
  }
  expect(await learn(0)).to.equal(true)
  expect(await learn(1)).to.equal(false)
})

it("a request that can't be sent to an endpoint has not run", async () => {
  const pools = new EndpointPools()
  const throwing = {
    dispatch: () => {
      throw new Error("broken dispatcher")
    },
  }
  const cases = [
    { pools, address: "10.0.0.1:99999", headers: [] },
    { pools, address: "127.0.0.1:1", headers: ["X", "a\r\nb"] },
    { pools: { get: () => throwing }, address: "127.0.0.1:1", headers: [] },
  ]
  for (const { address, headers, ...replaced } of cases) {
    const health = new EndpointHealth()
    const headerCodec = { buildRequest: () => headers }
    const context = {
      ...buildContext(health),
      ...replaced,
      headerCodec,
      log: { write: () => undefined },
    }
    const attempt = new Attempt(
      context as unknown as ForwardContext,
      buildCall(),
      { endpoint: { ...ENGINE, address }, isLate: false, waitMs: 0 },
      IGNORING_SINK,
      OPTIONS,
    )
    expect(await attempt.run()).to.deep.equal({ kind: "not-run", cause: "unreachable" })
    expect(health.countInFlight("e")).to.equal(0)
  }
  await pools.stop()
})

it("an endpoint is leaving when any of its own answers states it", async () => {
  const own = { isLeaving: true, answeredBy: ENGINE.id }
  expect(await runStatedAttempt({ ...own })).to.deep.equal([ENGINE])
  expect(await runStatedAttempt({ ...own, answeredBy: undefined })).to.deep.equal([ENGINE])
  expect(await runStatedAttempt({ ...own, isNotRun: true })).to.deep.equal([ENGINE])
  expect(await runStatedAttempt({ ...own, attempt: "other" })).to.deep.equal([ENGINE])
  expect(await runStatedAttempt({ ...own, isMisdirected: true })).to.deep.equal([ENGINE])
  expect(await runStatedAttempt({ ...own, isLeaving: false })).to.deep.equal([])
})

it("the answer of another endpoint at the address doesn't make one leave", async () => {
  const other = { isLeaving: true, isMisdirected: true, answeredBy: "other" }
  expect(await runStatedAttempt(other)).to.deep.equal([])
  expect(await runStatedAttempt({ ...other, answeredBy: undefined })).to.deep.equal([])
})

it("an endpoint's refusal pauses it, and requests that wait for a connection aren't sent", async () => {
  const health = new EndpointHealth()
  const clock = createManualClock()
  const answer = { attempt: "a", isNotRun: true, isMisdirected: false, retryAfterMs: 1000 }
  let sent = 0
  const context = {
    ...buildContext(health),
    clock,
    headerCodec: { buildRequest: () => [], readAnswer: () => answer },
    pools: { get: () => buildAnsweringDispatcher(() => sent++) },
    onPause: (endpoint: string, ms: number) => health.onPause(endpoint, ms, clock.now()),
  }
  const run = () => {
    const destination = { endpoint: ENGINE, isLate: false, waitMs: 0 }
    const forwardContext = context as unknown as ForwardContext
    return new Attempt(forwardContext, buildCall(), destination, IGNORING_SINK, OPTIONS).run()
  }
  expect(await run()).to.deep.equal({ kind: "not-run", cause: "full" })
  expect(await run()).to.deep.equal({ kind: "not-run", cause: "paused" })
  expect(health.countInFlight(ENGINE.id)).to.equal(0)
  await clock.advance(1000)
  expect(await run()).to.deep.equal({ kind: "not-run", cause: "full" })
  expect(sent).to.equal(2)
})

// DRAIN: a request that waited for a connection reached an endpoint long after it had left.
for (const state of [undefined, { ...ENGINE, phase: "leaving" }])
  it(`a request isn't sent to an endpoint that left while it waited for a connection, ${state?.phase ?? "gone"}`, async () => {
    let sent = 0
    const context = {
      ...buildContext(new EndpointHealth()),
      directory: { find: () => state },
      pools: { get: () => buildAnsweringDispatcher(() => sent++) },
    }
    const destination = { endpoint: ENGINE, isLate: false, waitMs: 0 }
    const forwardContext = context as unknown as ForwardContext
    const attempt = new Attempt(forwardContext, buildCall(), destination, IGNORING_SINK, OPTIONS)
    expect(await attempt.run()).to.deep.equal({ kind: "not-run", cause: "left" })
    expect(sent).to.equal(0)
  })

it("a request isn't sent whose key was revoked while it waited for a connection", async () => {
  let sent = 0
  const authorizer = new Authorizer()
  authorizer.applyConfiguration({ accounts: [{ name: "a", keys: ["k1"] }] })
  const context = {
    ...buildContext(new EndpointHealth()),
    authorizer,
    pools: { get: () => buildAnsweringDispatcher(() => sent++) },
  }
  const call = buildCall()
  const facts = { ...call.facts, credentials: { kind: "key", key: "k2" } } as const
  const revokedCall = { ...call, facts, account: { name: "a", keys: ["k2"] } }
  const destination = { endpoint: ENGINE, isLate: false, waitMs: 0 }
  const forwardContext = context as unknown as ForwardContext
  const attempt = new Attempt(forwardContext, revokedCall, destination, IGNORING_SINK, OPTIONS)
  expect(await attempt.run()).to.deep.equal({ kind: "not-run", cause: "revoked" })
  expect(sent).to.equal(0)
})

// VERSION: an engine may send the head of an answer before the request starts to run.
it("a stream without an event ends when its adapter version becomes too old", async () => {
  const clock = createManualClock()
  const versions = new VersionTable(1000)
  const answer = { attempt: "a", isSigned: true, isNotRun: false, isMisdirected: false }
  const context = {
    ...buildContext(new EndpointHealth()),
    clock,
    versions,
    headerCodec: { buildRequest: () => [], readAnswer: () => answer },
    pools: { get: () => ({ dispatch: sendHead }) },
  }
  const destination = { endpoint: ENGINE, isLate: false, waitMs: 0, version: 1 }
  const attempt = new Attempt(
    context as unknown as ForwardContext,
    buildCall(),
    destination,
    IGNORING_SINK,
    OPTIONS,
  )
  const result = attempt.run()
  versions.add("m/a", 2, clock.now())
  await clock.advance(1000)
  expect(await result).to.deep.equal({ kind: "failed", cause: "outdated" })
})

/** Answers a request with a head only. */
function sendHead(_request: unknown, handler: Dispatcher.DispatchHandler): boolean {
  const controller = {
    rawHeaders: [],
    abort: () => undefined,
  } as unknown as Dispatcher.DispatchController
  handler.onRequestStart?.(controller, {})
  handler.onResponseStart?.(controller, 200, {})
  return true
}

/** Runs a stream whose answer has the given facts. Returns the endpoints that were reported as leaving. */
async function runStatedAttempt(facts: Partial<AnswerMetadata>): Promise<readonly Registration[]> {
  const leaving: Registration[] = []
  const answer = { attempt: "a", isSigned: true, isNotRun: false, isMisdirected: false, ...facts }
  const context = {
    ...buildContext(new EndpointHealth()),
    headerCodec: { buildRequest: () => [], readAnswer: () => answer },
    pools: { get: () => buildAnsweringDispatcher() },
    onLeaving: (endpoint: Registration) => leaving.push(endpoint),
  }
  const destination = { endpoint: ENGINE, isLate: false, waitMs: 0 }
  await new Attempt(
    context as unknown as ForwardContext,
    buildCall(),
    destination,
    IGNORING_SINK,
    OPTIONS,
  ).run()
  return leaving
}

/** Builds connections on which each request is answered at once. */
function buildAnsweringDispatcher(onAnswer: () => void = () => undefined) {
  return {
    dispatch: (_request: unknown, handler: Dispatcher.DispatchHandler) => {
      const state = { isAborted: false }
      const abort = () => {
        state.isAborted = true
      }
      const controller = { rawHeaders: [], abort }
      const dispatchController = controller as unknown as Dispatcher.DispatchController
      handler.onRequestStart?.(dispatchController, {})
      if (state.isAborted) return true
      onAnswer()
      handler.onResponseStart?.(dispatchController, 200, {})
      handler.onResponseEnd?.(dispatchController, {})
      return true
    },
  }
}

/** Runs a stream that is answered after a while, with the load that its engine reports. */
async function runAnsweredAttempt(paces: PaceTable, load: ReportedLoad): Promise<void> {
  let now = 0
  const dispatcher = buildAnsweringDispatcher(() => {
    now = ANSWER_AFTER_MS
  })
  const answer = { attempt: "a", isSigned: true, isNotRun: false, isMisdirected: false, load }
  const context = {
    ...buildContext(new EndpointHealth()),
    clock: { now: () => now },
    headerCodec: { buildRequest: () => [], readAnswer: () => answer },
    pools: { get: () => dispatcher },
    paces,
  }
  const destination = { endpoint: ENGINE, isLate: false, waitMs: 0, unreadTokens: 5000 }
  await new Attempt(
    context as unknown as ForwardContext,
    buildCall(),
    destination,
    IGNORING_SINK,
    OPTIONS,
  ).run()
}

async function runSilentAttempts(isLate: boolean): Promise<EndpointHealth> {
  const health = new EndpointHealth()
  const context = buildContext(health)
  for (let i = 0; i < ATTEMPT_COUNT; i++) {
    const destination = { endpoint: ENGINE, isLate, waitMs: 0 }
    const result = await new Attempt(context, buildCall(), destination, IGNORING_SINK, {
      ...OPTIONS,
      timeouts: TIMEOUTS,
      onSilent: (attempt) => {
        attempt.endSilent()
      },
    }).run()
    expect(result).to.deep.equal({ kind: "failed", cause: "silent" })
  }
  return health
}

/** Builds a context whose connections accept requests and never answer. */
function buildContext(health: EndpointHealth): ForwardContext {
  const dispatcher = {
    dispatch: (
      _request: unknown,
      handler: { onRequestStart(controller: { abort(): void }): void },
    ) => {
      handler.onRequestStart({ abort: () => undefined })
      return true
    },
  }
  const headerCodec: Partial<HeaderCodec> = { buildRequest: () => [] }
  const context = {
    health,
    headerCodec,
    directory: { find: () => ENGINE },
    clock: createManualClock(),
    versions: new VersionTable(1000),
    paces: new PaceTable(),
    guard: OPEN_GUARD,
    authorizer: new Authorizer(),
    uses: { add: () => undefined, remove: () => undefined },
    pools: { get: () => dispatcher },
    computeConnectionLimit: () => 1,
  }
  return context as unknown as ForwardContext
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
    parts: [],
    priority: 0,
    route,
    service: "s",
    arrivedAt: 0,
    deadline: 5000,
    disconnectSignal: new AbortController().signal,
  }
}
