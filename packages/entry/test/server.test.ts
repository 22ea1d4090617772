import { connect, createServer, type AddressInfo, type Socket } from "node:net"
import { once } from "node:events"
import { type IncomingMessage, type ServerResponse } from "node:http"
import { expect } from "chai"
import { CallerServer, type ForwardHandler } from "@galenaway/entry"
import { IngressGuard } from "@galenaway/ingress"

const REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
const TIMEOUT_MS = 1000
const GUARD_LIMITS = { budgetBytes: 64 * 1024 * 1024, maxConnections: 100 }
/** More than the buffers of a connection hold. */
const LARGE_BYTES = 16 * 1024 * 1024

type Handle = (request: IncomingMessage, response: ServerResponse) => void

it("a connection on which nothing has arrived is closed when the server closes", async () => {
  const { server, open } = await startServer((_request, response) => response.end("ok"))
  try {
    const silent = await open()
    const used = await open()
    await sendAndRead(used)
    await server.close()
    await once(silent, "close", { signal: AbortSignal.timeout(TIMEOUT_MS) })
  } finally {
    server.closeConnections()
  }
})

it("an answer that its caller still reads is not cut when the server closes", async () => {
  const { server, open } = await startServer((_request, response) =>
    response.end(Buffer.alloc(LARGE_BYTES)),
  )
  try {
    const socket = await open()
    socket.write(REQUEST)
    const [first] = (await once(socket, "data")) as [Buffer]
    socket.pause()
    await server.close()
    let size = first.length
    socket.on("data", (chunk: Buffer) => (size += chunk.length))
    socket.resume()
    await once(socket, "close", { signal: AbortSignal.timeout(TIMEOUT_MS) }).catch(() => undefined)
    expect(size).to.be.greaterThan(LARGE_BYTES)
  } finally {
    server.closeConnections()
  }
})

it("a request that arrived before an idle connection closes is answered", async () => {
  const { server, open } = await startServer((_request, response) => response.end("ok"))
  try {
    const socket = await open()
    await sendAndRead(socket)
    // The bytes are in the server's buffer, but it hasn't read them.
    const answer = sendAndRead(socket)
    await server.close()
    expect(await answer).to.match(/^HTTP\/1.1 200/)
  } finally {
    server.closeConnections()
  }
})

/** Starts a server on a free port whose requests are handled by a function. */
async function startServer(handle: Handle) {
  const port = await findFreePort()
  const handler: Pick<ForwardHandler, "handle"> = {
    handle: (request, response) => {
      handle(request, response)
      return Promise.resolve()
    },
  }
  const guard = new IngressGuard(GUARD_LIMITS)
  const server = new CallerServer(handler as ForwardHandler, guard)
  await server.start(`127.0.0.1:${String(port)}`)
  const open = async () => {
    const socket = connect({ port, host: "127.0.0.1" })
    socket.on("error", () => socket.destroy())
    await once(socket, "connect")
    return socket
  }
  return { server, open }
}

async function findFreePort(): Promise<number> {
  const server = createServer().listen(0, "127.0.0.1")
  await once(server, "listening")
  const { port } = server.address() as AddressInfo
  server.close()
  await once(server, "close")
  return port
}

async function sendAndRead(socket: Socket): Promise<string> {
  socket.write(REQUEST)
  const [chunk] = (await once(socket, "data")) as [Buffer]
  return chunk.toString()
}
