import { expect } from "chai"
import type { AdapterKey, CompletionCall, EnginePort, StreamPart } from "@galenaway/core"
import { RefusedError, UnknownOutcomeError } from "@galenaway/core"
import { type AnswerTarget, streamAnswer } from "@galenaway/daemon"
import { createManualClock, flushPromises } from "@galenaway/fakes"

const adapter = "base/a@1" as AdapterKey
const call: CompletionCall = { request: "q1", adapter, rank: "urgent", messages: [], maxTokens: 3 }

/** Script of one connection: the parts that it sends, and how it ends. */
interface Connection {
  readonly parts: readonly StreamPart[]
  readonly then: "end" | "fail" | "idle" | "refuse" | "no-run"
}

function makePart(
  sequence: number,
  overrides: { run?: string; request?: string } = {},
): StreamPart {
  const source = { request: overrides.request ?? "q1", adapter, run: overrides.run ?? "r1" }
  if (sequence === 4) return { kind: "done", sequence, finishReason: "stop", source }
  return { kind: "token", sequence, text: `${source.run}.${sequence} `, source }
}

function makeParts(first: number, last: number, run = "r1"): StreamPart[] {
  return Array.from({ length: last - first + 1 }, (_, index) => makePart(first + index, { run }))
}

async function* playConnection(
  connection: Connection,
  signal: AbortSignal,
): AsyncGenerator<StreamPart> {
  if (connection.then === "refuse") throw new RefusedError("endpoint-failed", "resume", "e1", "")
  if (connection.then === "no-run") throw new UnknownOutcomeError("not-found", "resume", "e1", "")
  yield* connection.parts
  if (connection.then === "idle")
    await new Promise((resolve) => {
      signal.addEventListener("abort", resolve)
    })
  if (connection.then !== "end")
    throw new UnknownOutcomeError("endpoint-failed", "stream", "e1", "")
}

function createFixture(connections: readonly Connection[]) {
  const clock = createManualClock()
  const remaining = [...connections]
  const resumedAfter: number[] = []
  const next = (signal: AbortSignal) =>
    playConnection(remaining.shift() ?? { parts: [], then: "no-run" }, signal)
  const engine = {
    complete: (_call: CompletionCall, signal: AbortSignal) => next(signal),
    resume: (_request: string, after: number, signal: AbortSignal) => {
      resumedAfter.push(after)
      return next(signal)
    },
  } as Partial<EnginePort> as EnginePort
  return { clock, engine, resumedAfter }
}

/** Collects the parts of an answer. An error adds its code and step as the last item. */
async function collect(parts: AsyncIterable<StreamPart>): Promise<string[]> {
  const got: string[] = []
  try {
    for await (const part of parts) got.push(part.kind === "token" ? part.text.trim() : "done")
  } catch (error) {
    const { code, step } = error as UnknownOutcomeError
    got.push(`${code} at ${step}`)
  }
  return got
}

/** Collects the parts that the engine sends, without the checks of `streamAnswer`. */
function collectUnchecked(fixture: ReturnType<typeof createFixture>): Promise<string[]> {
  return collect(fixture.engine.complete(call, new AbortController().signal))
}

async function collectAnswer(fixture: ReturnType<typeof createFixture>, advanceMs = 0) {
  const target: AnswerTarget = { endpoint: "e1", engine: fixture.engine }
  const options = { clock: fixture.clock, wait: fixture.clock.wait, firstTokenBy: 1400 }
  const got = collect(streamAnswer(target, call, new AbortController().signal, options))
  for (let elapsedMs = 0; elapsedMs < advanceMs; elapsedMs += 100) await fixture.clock.advance(100)
  return got
}

const completeAnswer = ["r1.1", "r1.2", "r1.3", "done"]

it("resumes a cut answer after its last part", async () => {
  const connections: Connection[] = [
    { parts: makeParts(1, 2), then: "fail" },
    { parts: makeParts(3, 4), then: "end" },
  ]
  expect(await collectUnchecked(createFixture(connections))).to.not.deep.equal(completeAnswer)
  const fixture = createFixture(connections)
  expect(await collectAnswer(fixture)).to.deep.equal(completeAnswer)
  expect(fixture.resumedAfter).to.deep.equal([2])
})

it("probes a silent connection and resumes", async () => {
  const connections: Connection[] = [
    { parts: makeParts(1, 1), then: "idle" },
    { parts: [], then: "idle" },
    { parts: makeParts(2, 4), then: "end" },
  ]
  const unchecked = collectUnchecked(createFixture(connections))
  expect(await Promise.race([unchecked, flushPromises()])).to.equal(undefined)
  const fixture = createFixture(connections)
  expect(await collectAnswer(fixture, 2000)).to.deep.equal(completeAnswer)
  expect(fixture.resumedAfter).to.deep.equal([1, 1])
})

it("drops repeated parts", async () => {
  const connections: Connection[] = [
    { parts: makeParts(1, 2), then: "fail" },
    { parts: makeParts(1, 4), then: "end" },
  ]
  expect(await collectAnswer(createFixture(connections))).to.deep.equal(completeAnswer)
})

it("refuses a gap", async () => {
  const connections: Connection[] = [{ parts: [makePart(1), makePart(3)], then: "end" }]
  expect(await collectUnchecked(createFixture(connections))).to.contain("r1.3")
  const got = await collectAnswer(createFixture(connections))
  expect(got).to.deep.equal(["r1.1", "wrong-answer at stream"])
})

it("refuses the parts of another run after a resume", async () => {
  const connections: Connection[] = [
    { parts: makeParts(1, 2), then: "fail" },
    { parts: makeParts(3, 4, "r2"), then: "end" },
  ]
  const got = await collectAnswer(createFixture(connections))
  expect(got).to.deep.equal(["r1.1", "r1.2", "wrong-answer at stream"])
})

it("refuses the parts of another request", async () => {
  const foreignParts = [makePart(1, { request: "q2" })]
  expect(await collectUnchecked(createFixture([{ parts: foreignParts, then: "end" }]))).to.contain(
    "r1.1",
  )
  const got = await collectAnswer(createFixture([{ parts: foreignParts, then: "end" }]))
  expect(got).to.deep.equal(["wrong-answer at stream"])
})

it("fails an answer whose run is lost", async () => {
  const connections: Connection[] = [
    { parts: makeParts(1, 2), then: "fail" },
    { parts: [], then: "no-run" },
  ]
  const got = await collectAnswer(createFixture(connections))
  expect(got).to.deep.equal(["r1.1", "r1.2", "not-found at resume"])
})

it("fails an answer when the endpoint refuses every connection", async () => {
  const connections: Connection[] = [
    { parts: makeParts(1, 2), then: "fail" },
    ...Array.from({ length: 9 }, (): Connection => ({ parts: [], then: "refuse" })),
  ]
  const fixture = createFixture(connections)
  const got = await collectAnswer(fixture, 3000)
  expect(got).to.deep.equal(["r1.1", "r1.2", "endpoint-failed at resume"])
  expect(fixture.resumedAfter).to.have.length(4)
})

it("fails an answer when every connection stays idle", async () => {
  const connections = Array.from({ length: 20 }, (): Connection => ({ parts: [], then: "idle" }))
  const got = await collectAnswer(createFixture(connections), 60_000)
  expect(got).to.deep.equal(["endpoint-failed at stream"])
})
