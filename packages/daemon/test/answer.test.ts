import { expect } from "chai"
import type { AdapterKey, CompletionCall, EnginePort, StreamPart } from "@galenaway/core"
import { RefusedError, UnknownOutcomeError } from "@galenaway/core"
import { type AnswerTarget, streamAnswer } from "@galenaway/daemon"
import { createManualClock, flushPromises } from "@galenaway/fakes"

const adapter = "base/a@1" as AdapterKey
const call: CompletionCall = { request: "q1", adapter, rank: "urgent", messages: [], maxTokens: 3 }

/** What one connection does: parts by sequence number, then how it goes on. */
interface Connection {
  readonly parts: readonly StreamPart[]
  readonly then: "end" | "fail" | "silence" | "refuse" | "no-run"
}

function makePart(sequence: number, over: { run?: string; request?: string } = {}): StreamPart {
  const source = { request: over.request ?? "q1", adapter, run: over.run ?? "r1" }
  if (sequence === 4) return { kind: "done", sequence, finishReason: "stop", source }
  return { kind: "token", sequence, text: `${source.run}.${sequence} `, source }
}

function makeParts(first: number, last: number, run = "r1"): StreamPart[] {
  return Array.from({ length: last - first + 1 }, (_, index) => makePart(first + index, { run }))
}

async function* play(connection: Connection, signal: AbortSignal): AsyncGenerator<StreamPart> {
  if (connection.then === "refuse") throw new RefusedError("endpoint-failed", "resume", "e1", "")
  if (connection.then === "no-run") throw new UnknownOutcomeError("not-found", "resume", "e1", "")
  yield* connection.parts
  if (connection.then === "silence")
    await new Promise((resolve) => {
      signal.addEventListener("abort", resolve)
    })
  if (connection.then !== "end")
    throw new UnknownOutcomeError("endpoint-failed", "stream", "e1", "")
}

function createScene(connections: readonly Connection[]) {
  const clock = createManualClock()
  const left = [...connections]
  const resumedAfter: number[] = []
  const next = (signal: AbortSignal) => play(left.shift() ?? { parts: [], then: "no-run" }, signal)
  const engine = {
    complete: (_call: CompletionCall, signal: AbortSignal) => next(signal),
    resume: (_request: string, after: number, signal: AbortSignal) => {
      resumedAfter.push(after)
      return next(signal)
    },
  } as Partial<EnginePort> as EnginePort
  return { clock, engine, resumedAfter }
}

/** Collects an answer; an error ends it with its code and step. */
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

/** Collects from the engine as it comes, without the protection. */
function collectBare(scene: ReturnType<typeof createScene>): Promise<string[]> {
  return collect(scene.engine.complete(call, new AbortController().signal))
}

async function collectAnswer(scene: ReturnType<typeof createScene>, movedMs = 0) {
  const target: AnswerTarget = { endpoint: "e1", engine: scene.engine }
  const options = { clock: scene.clock, wait: scene.clock.wait, firstTokenBy: 1400 }
  const got = collect(streamAnswer(target, call, new AbortController().signal, options))
  for (let moved = 0; moved < movedMs; moved += 100) await scene.clock.advance(100)
  return got
}

const whole = ["r1.1", "r1.2", "r1.3", "done"]

it("resumes a cut answer after its last part", async () => {
  const connections: Connection[] = [
    { parts: makeParts(1, 2), then: "fail" },
    { parts: makeParts(3, 4), then: "end" },
  ]
  expect(await collectBare(createScene(connections))).to.not.deep.equal(whole)
  const scene = createScene(connections)
  expect(await collectAnswer(scene)).to.deep.equal(whole)
  expect(scene.resumedAfter).to.deep.equal([2])
})

it("probes a silent connection and resumes", async () => {
  const connections: Connection[] = [
    { parts: makeParts(1, 1), then: "silence" },
    { parts: [], then: "silence" },
    { parts: makeParts(2, 4), then: "end" },
  ]
  const bare = collectBare(createScene(connections))
  expect(await Promise.race([bare, flushPromises()])).to.equal(undefined)
  const scene = createScene(connections)
  expect(await collectAnswer(scene, 2000)).to.deep.equal(whole)
  expect(scene.resumedAfter).to.deep.equal([1, 1])
})

it("drops parts that come again", async () => {
  const connections: Connection[] = [
    { parts: makeParts(1, 2), then: "fail" },
    { parts: makeParts(1, 4), then: "end" },
  ]
  expect(await collectAnswer(createScene(connections))).to.deep.equal(whole)
})

it("refuses a gap", async () => {
  const connections: Connection[] = [{ parts: [makePart(1), makePart(3)], then: "end" }]
  expect(await collectBare(createScene(connections))).to.contain("r1.3")
  const got = await collectAnswer(createScene(connections))
  expect(got).to.deep.equal(["r1.1", "wrong-answer at stream"])
})

it("refuses the parts of another run after a resume", async () => {
  const connections: Connection[] = [
    { parts: makeParts(1, 2), then: "fail" },
    { parts: makeParts(3, 4, "r2"), then: "end" },
  ]
  const got = await collectAnswer(createScene(connections))
  expect(got).to.deep.equal(["r1.1", "r1.2", "wrong-answer at stream"])
})

it("refuses a crossed answer", async () => {
  const crossed = [makePart(1, { request: "q2" })]
  expect(await collectBare(createScene([{ parts: crossed, then: "end" }]))).to.contain("r1.1")
  const got = await collectAnswer(createScene([{ parts: crossed, then: "end" }]))
  expect(got).to.deep.equal(["wrong-answer at stream"])
})

it("fails an answer whose run is lost", async () => {
  const connections: Connection[] = [
    { parts: makeParts(1, 2), then: "fail" },
    { parts: [], then: "no-run" },
  ]
  const got = await collectAnswer(createScene(connections))
  expect(got).to.deep.equal(["r1.1", "r1.2", "not-found at resume"])
})

it("gives up on an endpoint that refuses every connection", async () => {
  const connections: Connection[] = [
    { parts: makeParts(1, 2), then: "fail" },
    ...Array.from({ length: 9 }, (): Connection => ({ parts: [], then: "refuse" })),
  ]
  const scene = createScene(connections)
  const got = await collectAnswer(scene, 3000)
  expect(got).to.deep.equal(["r1.1", "r1.2", "endpoint-failed at resume"])
  expect(scene.resumedAfter).to.have.length(4)
})

it("gives up on an answer that stays silent", async () => {
  const connections = Array.from({ length: 20 }, (): Connection => ({ parts: [], then: "silence" }))
  const got = await collectAnswer(createScene(connections), 60_000)
  expect(got).to.deep.equal(["endpoint-failed at stream"])
})
