import { expect } from "chai"
import { once } from "node:events"
import { connect, createServer, type AddressInfo } from "node:net"
import { createReadTimeoutSignal, ReadTimeout } from "@galenaway/core"

const TIMEOUT_MS = 20
/** The event loop is held up for longer than the timeout, in ms. */
const DELAY_MS = 60

// Guards against a busy instance that ends its orders although their answers have arrived.
it("an answer that arrived while the event loop was held up is read before its timeout", async () => {
  const server = createServer((socket) => socket.end("answer")).listen(0, "127.0.0.1")
  await once(server, "listening")
  const events: string[] = []
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1")
  await once(socket, "connect")
  const read = once(socket, "data").then(() => events.push("read"))
  const timedOut = new Promise<void>((resolve) => {
    new ReadTimeout().start(TIMEOUT_MS, () => {
      events.push("timeout")
      resolve()
    })
  })
  const startedAt = performance.now()
  while (performance.now() - startedAt < DELAY_MS) continue
  await Promise.all([read, timedOut])
  server.close()
  expect(events).to.deep.equal(["read", "timeout"])
})

it("a cancelled timeout doesn't end anything, one that is started again ends once", async () => {
  let count = 0
  const timeout = new ReadTimeout()
  timeout.start(1, () => count++)
  timeout.cancel()
  timeout.start(1, () => (count += 10))
  timeout.start(1, () => (count += 100))
  await new Promise((resolve) => setTimeout(resolve, DELAY_MS))
  expect(count).to.equal(100)
})

it("a signal is aborted with a timeout error", async () => {
  const signal = createReadTimeoutSignal(1)
  // The signal's own timer doesn't keep the process alive.
  const alive = setTimeout(() => undefined, DELAY_MS)
  await once(signal, "abort")
  clearTimeout(alive)
  expect((signal.reason as Error).name).to.equal("TimeoutError")
})
