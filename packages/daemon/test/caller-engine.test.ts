import { once } from "node:events"
import { createServer } from "node:http"
import type { AddressInfo, Socket } from "node:net"
import { expect } from "chai"
import { Agent } from "undici"
import type { AdapterKey, CompletionCall, GalenawayError } from "@galenaway/core"
import { HttpEngine } from "@galenaway/daemon"
import { flushPromises } from "@galenaway/fakes"

const adapter = "base/a@1" as AdapterKey
const call: CompletionCall = { request: "q", adapter, rank: "bulk", messages: [], maxTokens: 1 }

/** Starts an engine that answers each request with a status. `sockets` has the connection of each request. */
async function startStub(status: number) {
  const sockets: Socket[] = []
  const server = createServer((request, response) => {
    sockets.push(request.socket)
    request.resume()
    response.writeHead(status, { "content-type": "application/json" }).end("{}")
  })
  server.listen(0, "127.0.0.1")
  await once(server, "listening")
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  const rest = { dataCentre: "x", fencing: "checked", slots: 1, capacity: 1 } as const
  const engine = new HttpEngine({ id: "e1", kind: "engine", url, ...rest }, new Agent())
  const close = async () => {
    server.close()
    server.closeAllConnections()
    await once(server, "close")
  }
  return { engine, sockets, close }
}

async function describeFailure(parts: AsyncIterable<unknown>): Promise<string> {
  try {
    for await (const part of parts) expect(part).to.equal(undefined)
    return "none"
  } catch (error) {
    const { code, step, outcome } = error as GalenawayError
    return `${code} ${step} ${outcome}`
  }
}

it("resumes and cancels over connections of their own", async () => {
  const { engine, sockets, close } = await startStub(200)
  await engine.report()
  // The connection returns to the pool in a later turn of the event loop.
  await flushPromises()
  await engine.report()
  await describeFailure(engine.resume("q", 0, new AbortController().signal))
  await engine.cancel("q")
  await close()
  expect(sockets.map((socket) => sockets.indexOf(socket))).to.deep.equal([0, 0, 2, 3])
})

it("distinguishes failures before a run from later ones", async () => {
  const { signal } = new AbortController()
  const failures: string[] = []
  for (const status of [404, 400, 503]) {
    const { engine, close } = await startStub(status)
    failures.push(await describeFailure(engine.complete(call, signal)))
    failures.push(await describeFailure(engine.resume("q", 1, signal)))
    await close()
  }
  const closed = await startStub(200)
  await closed.close()
  failures.push(await describeFailure(closed.engine.complete(call, signal)))
  expect(failures).to.deep.equal([
    "not-found send not-run",
    "not-found resume unknown",
    "endpoint-failed send not-run",
    "endpoint-failed resume unknown",
    "endpoint-failed send unknown",
    "endpoint-failed resume unknown",
    "endpoint-failed send not-run",
  ])
})
