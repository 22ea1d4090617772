import type { Socket } from "node:net"
import { expect } from "chai"
import type { RequestKind } from "@galenaway/core"
import { type AttemptResult, EndpointPools } from "@galenaway/entry"
import { ATTEMPT_ID, createSink, runAttempt, startRawEngine } from "./engine-attempt.js"

const EARLIER_REFUSAL =
  "HTTP/1.1 503 Full\r\nAttempt-Id: earlier\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
const ANONYMOUS_REFUSAL = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
const OWN_REFUSAL = ANONYMOUS_REFUSAL.replace("Not-Run", `Attempt-Id: ${ATTEMPT_ID}\r\nNot-Run`)
const INFORMATIONAL = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
const HEADS = [
  `HTTP/1.1 200 OK\r\nAttempt-Id: ${ATTEMPT_ID}\r\nContent-Length: 12\r\n\r\n`,
  `HTTP/1.1 200 OK\r\nAttempt-Id: ${ATTEMPT_ID}\r\nConnection: close\r\n\r\n`,
  `HTTP/1.0 200 OK\r\nAttempt-Id: ${ATTEMPT_ID}\r\n\r\n`,
  `${INFORMATIONAL}HTTP/1.1 200 OK\r\nAttempt-Id: ${ATTEMPT_ID}\r\nTransfer-Encoding: chunked\r\n\r\n`,
]
const SEND_MS = 5

for (const kind of ["stream", "idempotent"] as const)
  it(`a refusal of an earlier request doesn't say that this one hasn't run, ${kind}`, async () => {
    expect((await receive(EARLIER_REFUSAL, kind)).kind).to.equal("failed")
    expect((await receive(ANONYMOUS_REFUSAL, kind)).kind).to.equal("failed")
    expect((await receive(OWN_REFUSAL, kind)).kind).to.equal("not-run")
  })

it("a refusal that was written twice is no answer to the next request on its connection", async () => {
  const results = await receiveInTurn(OWN_REFUSAL + OWN_REFUSAL.replace(`: ${ATTEMPT_ID}`, ": b"))
  expect(results.map(({ kind }) => kind)).to.deep.equal(["not-run", "not-run"])
})

it("a head that stops on a kept connection is no answer, whatever was answered there before", async () => {
  const whole = `HTTP/1.1 200 OK\r\nAttempt-Id: ${ATTEMPT_ID}\r\nContent-Length: 2\r\n\r\nok`
  let count = 0
  const answer = (socket: Socket) =>
    ++count === 1 ? socket.write(whole) : socket.end(whole.slice(0, 40))
  const results = await run(answer, "idempotent", 2)
  expect(results.map(({ kind }) => kind)).to.deep.equal(["answered", "failed"])
})

for (const [index, head] of HEADS.entries())
  it(`an answer that stops within its head is never complete, head ${String(index)}`, async () => {
    for (let length = 0; length < head.length; length++)
      for (const kind of ["stream", "idempotent"] as const) {
        const result = await receive(head.slice(0, length), kind)
        expect(result.kind, JSON.stringify(head.slice(0, length))).to.equal("failed")
      }
  })

/** Sends a request to an engine that answers with these bytes and closes the connection. */
async function receive(bytes: string, kind: RequestKind): Promise<AttemptResult> {
  const [result] = await run((socket) => socket.end(bytes), kind, 1)
  return result ?? { kind: "caller-gone" }
}

/** Sends two requests in turn to an engine that answers each with these bytes and keeps the connection. */
function receiveInTurn(bytes: string): Promise<readonly AttemptResult[]> {
  return run((socket) => socket.write(bytes), "idempotent", 2)
}

async function run(answer: (socket: Socket) => void, kind: RequestKind, count: number) {
  const engine = await startRawEngine((socket) => {
    socket.on("data", () => {
      answer(socket)
    })
  })
  const pools = new EndpointPools()
  const results: AttemptResult[] = []
  try {
    for (let i = 0; i < count; i++) {
      results.push(await runAttempt(pools, engine.port, createSink(kind), kind))
      await new Promise((resolve) => setTimeout(resolve, SEND_MS))
    }
    return results
  } finally {
    await pools.stop()
    engine.stop()
  }
}
