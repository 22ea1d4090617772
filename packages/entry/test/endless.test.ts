import { expect } from "chai"
import { EndpointPools } from "@galenaway/entry"
import { ATTEMPT_ID, createSink, runAttempt, startRawEngine } from "./engine-attempt.js"

const CHUNK = "x".repeat(16 * 1024)
const MEBIBYTE = 1024 * 1024
const HEAD = `HTTP/1.1 200 OK\r\nAttempt-Id: ${ATTEMPT_ID}\r\n`

/** What an endpoint in trouble sends before the bytes without end. */
const BEGINNINGS = {
  "no head": "",
  "a header": `${HEAD}X: `,
  "an event": `${HEAD}Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n`,
  "the body of a refusal": `HTTP/1.1 503 Full\r\nAttempt-Id: ${ATTEMPT_ID}\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n`,
}

for (const [place, beginning] of Object.entries(BEGINNINGS))
  it(`bytes without end in ${place} end the attempt, with bounded memory`, async () => {
    const engine = await startEndlessEngine(beginning)
    const pools = new EndpointPools()
    try {
      const result = await runAttempt(pools, engine.port, createSink())
      expect(result.kind).to.equal(place === "the body of a refusal" ? "not-run" : "failed")
      expect(engine.countSent()).to.be.lessThan(64 * MEBIBYTE)
    } finally {
      await pools.stop()
      engine.stop()
    }
  })

/** Starts an engine that answers each request with a beginning and then with bytes without end. */
async function startEndlessEngine(beginning: string) {
  let sent = 0
  const engine = await startRawEngine((socket) => {
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
  })
  return { ...engine, countSent: () => sent }
}
