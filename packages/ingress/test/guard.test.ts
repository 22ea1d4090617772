import { once } from "node:events"
import { createServer } from "node:http"
import { type AddressInfo, connect, type Socket } from "node:net"
import { expect } from "chai"
import { type CloseReason, computeGuardLimits, IngressGuard } from "@galenaway/ingress"

const MAX_BODY_BYTES = 128 * 1024
/** More than the system buffers for a caller that doesn't read. */
const ANSWER_BYTES = 16 * 1024 * 1024
const DEADLINE_MS = 5000
const POLL_MS = 10
const STATUS_BY_FAILURE = { "too-large": 413, "no-memory": 503, timeout: 408, gone: 400 }

const POST = "POST / HTTP/1.1\r\nHost: h\r\n"
const GET = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

/** Starts a guarded server that answers with the length of the body. Its clock changes only with `advance`. */
async function startFixture(budgetBytes = 16 * MAX_BODY_BYTES, maxConnections = 10) {
  const clock = { time: 0, now: () => clock.time }
  const reasons: CloseReason[] = []
  const limits = { budgetBytes, maxConnections }
  const guard = new IngressGuard(limits, { onClose: (reason) => reasons.push(reason) }, clock)
  const server = createServer()
  guard.attach(server, (request, response) => {
    const deadline = clock.now() + DEADLINE_MS
    void guard.readBody(request, { maxBytes: MAX_BODY_BYTES, deadline }).then((body) => {
      if (typeof body !== "string") response.end(String(body.length))
      else if (body !== "gone") response.writeHead(STATUS_BY_FAILURE[body]).end()
    })
  })
  server.listen(0, "127.0.0.1")
  await once(server, "listening")
  const { port } = server.address() as AddressInfo
  return {
    guard,
    reasons,
    open: () => openCaller(port),
    advance: (ms: number) => {
      clock.time += ms
      guard.tick()
    },
    close: () => {
      server.close()
      server.closeAllConnections()
    },
  }
}

async function openCaller(port: number) {
  const socket = connect({ port, host: "127.0.0.1" })
  let text = ""
  socket.on("data", (chunk: Buffer) => (text += chunk.toString()))
  socket.on("error", () => undefined)
  await once(socket, "connect")
  return { socket, waitFor: (pattern: RegExp) => waitForText(() => text, pattern) }
}

async function waitForText(getText: () => string, pattern: RegExp): Promise<void> {
  while (!pattern.test(getText())) await new Promise((resolve) => setTimeout(resolve, POLL_MS))
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, POLL_MS))
}

async function waitForClose(socket: Socket): Promise<void> {
  if (!socket.closed) await once(socket, "close")
}

itWithFixture("a body in chunks of one byte is served", async ({ open, guard }) => {
  const { socket, waitFor } = await open()
  socket.write(`${POST}Transfer-Encoding: chunked\r\n\r\n`)
  socket.write("1\r\nx\r\n".repeat(MAX_BODY_BYTES))
  socket.write("0\r\n\r\n")
  await waitFor(/\r\n\r\n131072$/)
  await waitUntil(() => guard.budget.usedBytes === 0)
})

itWithFixture("a body that is declared too long is refused before it is sent", async (fixture) => {
  const { socket, waitFor } = await fixture.open()
  socket.write(`${POST}Content-Length: ${MAX_BODY_BYTES + 1}\r\n\r\n`)
  await waitFor(/^HTTP\/1.1 413 /)
  fixture.advance(2000)
  await waitForClose(socket)
})

itWithFixture("a chunked body that grows too long is refused", async ({ open }) => {
  const { socket, waitFor } = await open()
  socket.write(`${POST}Transfer-Encoding: chunked\r\n\r\n21000\r\n`)
  socket.write(Buffer.alloc(0x21000))
  await waitFor(/^HTTP\/1.1 413 /)
})

itWithFixture("a body that is incomplete at its deadline is refused", async (fixture) => {
  const { socket, waitFor } = await fixture.open()
  socket.write(`${POST}Content-Length: 2\r\n\r\nx`)
  await waitUntil(() => fixture.guard.budget.usedBytes > 0)
  fixture.advance(DEADLINE_MS)
  await waitFor(/^HTTP\/1.1 408 /)
})

itWithFixture(
  "a large body is refused before it is read when other callers use the budget",
  async ({ open, guard }) => {
    const holder = await open()
    holder.socket.write(`${POST}Content-Length: ${MAX_BODY_BYTES}\r\n\r\n`)
    holder.socket.write(Buffer.alloc(MAX_BODY_BYTES - 1))
    await waitUntil(() => guard.budget.usedBytes >= MAX_BODY_BYTES - 1)
    const { socket, waitFor } = await open()
    socket.write(`${POST}Content-Length: ${MAX_BODY_BYTES}\r\n\r\n`)
    await waitFor(/^HTTP\/1.1 503 /)
  },
  1.5 * MAX_BODY_BYTES,
)

itWithFixture("empty lines without end close an answered connection", async (fixture) => {
  const { socket, waitFor } = await fixture.open()
  socket.write(GET)
  await waitFor(/200 OK/)
  socket.write("\r\n".repeat(MAX_BODY_BYTES))
  await waitUntil(() => {
    fixture.advance(1)
    return fixture.reasons.length > 0
  })
  expect(fixture.reasons).to.deep.equal(["head-size"])
  await waitForClose(socket)
})

it("answers that aren't read are cut when their bytes are needed, and later requests don't run", async () => {
  let [runCount, cutCount] = [0, 0]
  const limits = { budgetBytes: 2 * ANSWER_BYTES, maxConnections: 10 }
  const guard = new IngressGuard(limits, { onCutAnswer: () => cutCount++ })
  const server = createServer()
  guard.attach(server, (request, response) => {
    runCount++
    request.resume()
    const holder = guard.createAnswerHolder(response)
    response.end(Buffer.alloc(ANSWER_BYTES))
    holder.update()
  })
  server.listen(0, "127.0.0.1")
  await once(server, "listening")
  const { port } = server.address() as AddressInfo
  const sockets = await Promise.all([1, 2, 3, 4].map(() => openUnread(port)))
  await waitUntil(() => cutCount > 0)
  expect(guard.budget.usedBytes).to.be.at.most(2 * ANSWER_BYTES)
  expect(runCount).to.be.at.most(sockets.length)
  for (const socket of sockets) socket.destroy()
  await waitUntil(() => guard.budget.usedBytes === 0)
  server.close()
})

/** Opens a connection that sends two requests and reads nothing. */
async function openUnread(port: number): Promise<Socket> {
  const socket = connect({ port, host: "127.0.0.1" })
  socket.on("error", () => undefined)
  await once(socket, "connect")
  socket.write(GET + GET)
  return socket
}

itWithFixture("too many requests without waiting for answers close the connection", async (f) => {
  const { socket } = await f.open()
  socket.write(`${POST}Content-Length: 1\r\n\r\n`)
  socket.write(`x${GET.repeat(100)}`)
  await waitForClose(socket)
  expect(f.reasons).to.deep.equal(["pipeline"])
})

itWithFixture(
  "a stalled head makes room for a new connection",
  async (fixture) => {
    const stalled = await fixture.open()
    stalled.socket.write("GET /")
    await waitUntil(() => {
      fixture.advance(1)
      return fixture.guard.connectionCount === 1
    })
    fixture.advance(1500)
    const { socket, waitFor } = await fixture.open()
    socket.write(GET)
    await waitFor(/200 OK/)
    await waitForClose(stalled.socket)
  },
  undefined,
  1,
)

it("the limits grow with the memory and the descriptors of the process", () => {
  const limits = computeGuardLimits({ memoryMb: 470, maxDescriptors: 1000 })
  expect(limits).to.deep.equal({ budgetBytes: 96 * 1024 * 1024, maxConnections: 600 })
})

type Fixture = Awaited<ReturnType<typeof startFixture>>

function itWithFixture(
  title: string,
  run: (fixture: Fixture) => Promise<void>,
  budgetBytes?: number,
  maxConnections?: number,
): void {
  it(title, async () => {
    const fixture = await startFixture(budgetBytes, maxConnections)
    try {
      await run(fixture)
    } finally {
      fixture.close()
    }
  })
}
