import { Agent, createServer, get, type IncomingMessage } from "node:http"
import type { AddressInfo, Socket } from "node:net"
import { expect } from "chai"
import type { HeaderCodec } from "@galenaway/core"
import { CallerReply } from "@galenaway/entry"
import { IngressGuard } from "@galenaway/ingress"

const WAIT_MS = 500

for (const isStopping of [false, true])
  it(`a connection whose answer ends after the stop began takes no further request, stopping ${String(isStopping)}`, async () => {
    const guard = new IngressGuard({ budgetBytes: 1024 * 1024, maxConnections: 10 })
    const state = { isStopping: false }
    const codec: Partial<HeaderCodec> = { buildAnswer: () => [] }
    const server = createServer((_request, response) => {
      const reply = new CallerReply(
        response,
        codec as HeaderCodec,
        () => state.isStopping,
        guard.createAnswerHolder(response),
      )
      reply.writeHead(200, [])
      reply.write(Buffer.from("begin"))
      state.isStopping = isStopping
      reply.end(Buffer.from("end"))
    })
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve))
    const agent = new Agent({ keepAlive: true })
    try {
      const { port } = server.address() as AddressInfo
      const { text, socket } = await receive(port, agent)
      expect(text).to.equal("beginend")
      expect(await hasClosed(socket)).to.equal(isStopping)
    } finally {
      agent.destroy()
      server.closeAllConnections()
      server.close()
    }
  })

// Callers may send the next request at once, so a connection is closed only if the head said so.
for (const movesBefore of [false, true])
  it(`a caller is moved by the head of an answer only, moving before the head ${String(movesBefore)}`, async () => {
    const guard = new IngressGuard({ budgetBytes: 1024 * 1024, maxConnections: 10 })
    let isMoving = movesBefore
    const codec: Partial<HeaderCodec> = { buildAnswer: () => [] }
    const server = createServer((_request, response) => {
      const reply = new CallerReply(
        response,
        codec as HeaderCodec,
        () => false,
        guard.createAnswerHolder(response),
        () => isMoving,
      )
      reply.writeHead(200, [])
      isMoving = true
      reply.end(Buffer.from("end"))
    })
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve))
    const agent = new Agent({ keepAlive: true })
    try {
      const { port } = server.address() as AddressInfo
      const { text, socket } = await receive(port, agent)
      expect(text).to.equal("end")
      expect(await hasClosed(socket)).to.equal(movesBefore)
    } finally {
      agent.destroy()
      server.closeAllConnections()
      server.close()
    }
  })

/** Sends one request on a connection that its caller keeps. */
async function receive(port: number, agent: Agent): Promise<{ text: string; socket: Socket }> {
  const response = await new Promise<IncomingMessage>((resolve) =>
    get({ port, host: "127.0.0.1", agent }, resolve),
  )
  const { socket } = response
  let text = ""
  for await (const chunk of response) text += String(chunk)
  return { text, socket }
}

function hasClosed(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => {
      resolve(false)
    }, WAIT_MS)
    socket.once("close", () => {
      clearTimeout(timer)
      resolve(true)
    })
  })
}
