import { createServer } from "node:http"
import { type AddressInfo, connect } from "node:net"
import { expect } from "chai"
import { Authorizer, type ForwardContext, ForwardHandler, StopSchedule } from "@galenaway/entry"
import { waitFor } from "@galenaway/core"
import { IngressGuard } from "@galenaway/ingress"
import { createManualClock, flushPromises } from "@galenaway/fakes"
import { noopMetrics } from "@galenaway/observe"

const REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
/** More than the buffers of a connection hold. */
const LARGE_BYTES = 16 * 1024 * 1024
const CONTEXT = {
  catalogue: {
    routes: {
      findRoute: () => {
        throw new Error("broken table")
      },
    },
  },
  headerCodec: { readRequest: () => ({}), buildAnswer: () => [] },
  clock: { now: () => 0 },
  ingress: new IngressGuard({ budgetBytes: 64 * 1024 * 1024, maxConnections: 10 }),
  log: { write: () => undefined },
  stop: new StopSchedule(createManualClock(), 8000),
} as unknown as ForwardContext

it("a request is in progress until its answer has been written to the connection", async () => {
  const handler = new ForwardHandler(CONTEXT)
  let requestCount = 0
  const server = createServer((request, response) => {
    if (requestCount++ === 0) response.end(Buffer.alloc(LARGE_BYTES))
    else void handler.handle(request, response)
  })
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve))
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1")
  try {
    // The second answer waits until the caller has read the first.
    socket.write(REQUEST + REQUEST)
    while (requestCount < 2) await waitFor(1)
    await flushPromises()
    expect(handler.runningCount).to.equal(1)
    socket.resume()
    while (handler.runningCount > 0) await waitFor(1)
  } finally {
    socket.destroy()
    server.closeAllConnections()
    server.close()
  }
})

// A late answer costs the endpoint as much as one in time.
it("a request that a slow instance would delay too long is refused at once, on a connection that closes", async () => {
  const route = { objectiveMs: 500 }
  const handler = new ForwardHandler({
    ...CONTEXT,
    catalogue: { routes: { findRoute: () => route, configuration: { limits: {} } } },
    authorizer: new Authorizer(),
    metrics: noopMetrics,
    monitor: { isMovingCallers: true, isTooSlowFor: (ms: number) => ms <= 500 },
  } as unknown as ForwardContext)
  const server = createServer((request, response) => {
    void handler.handle(request, response)
  })
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve))
  try {
    const { port } = server.address() as AddressInfo
    const answer = await fetch(`http://127.0.0.1:${String(port)}/`)
    expect(answer.status).to.equal(503)
    expect(answer.headers.get("connection")).to.equal("close")
    expect(await answer.json()).to.deep.include({ outcome: "not-run", code: "overloaded" })
  } finally {
    server.closeAllConnections()
    server.close()
  }
})

it("an internal error is never answered as a request that hasn't run", async () => {
  const handler = new ForwardHandler(CONTEXT)
  const server = createServer((request, response) => {
    void handler.handle(request, response)
  })
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve))
  try {
    const { port } = server.address() as AddressInfo
    const answer = await fetch(`http://127.0.0.1:${String(port)}/`)
    expect(answer.status).to.equal(502)
    expect(await answer.json()).to.deep.include({ outcome: "unknown" })
  } finally {
    server.closeAllConnections()
    server.close()
  }
})
