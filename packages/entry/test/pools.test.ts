import { expect } from "chai"
import { EndpointPools } from "@galenaway/entry"
import { ATTEMPT_ID, createSink, runAttempt, startRawEngine } from "./engine-attempt.js"

const MAX_IDLE_MS = 50
/** Longer than the limit, and much shorter than the engine allows. */
const IDLE_MS = 300
const ANSWER = `HTTP/1.1 200 OK\r\nAttempt-Id: ${ATTEMPT_ID}\r\nKeep-Alive: timeout=30\r\nContent-Length: 13\r\n\r\nid: 1\ndata:\n\n`

// CONFIG: the kind of fault is a connection that went silent; while idle, nothing shows it.
it("a connection that was idle for long isn't used, whatever its engine allows", async () => {
  let connectionCount = 0
  const engine = await startRawEngine((socket) => {
    connectionCount++
    socket.on("data", () => socket.write(ANSWER))
  })
  const pools = new EndpointPools(MAX_IDLE_MS)
  try {
    for (let run = 0; run < 2; run++) {
      const result = await runAttempt(pools, engine.port, createSink())
      expect(result).to.deep.equal({ kind: "streamed" })
      await new Promise((resolve) => setTimeout(resolve, IDLE_MS))
    }
    expect(connectionCount).to.equal(2)
  } finally {
    await pools.stop()
    engine.stop()
  }
})

it("the time in which a connection opened is reported with its endpoint, once for each connection", async () => {
  let connectionCount = 0
  const engine = await startRawEngine((socket) => {
    connectionCount++
    socket.on("data", () => socket.write(ANSWER))
  })
  const opened: { readonly dataCentre: string; readonly ms: number }[] = []
  const pools = new EndpointPools(undefined, ({ dataCentre }, ms) => {
    opened.push({ dataCentre, ms })
  })
  try {
    for (let run = 0; run < 2; run++) await runAttempt(pools, engine.port, createSink())
    expect(opened.length).to.equal(connectionCount)
    expect(opened[0]?.dataCentre).to.equal("dc")
    expect(opened[0]?.ms).to.be.at.least(0)
  } finally {
    await pools.stop()
    engine.stop()
  }
})
