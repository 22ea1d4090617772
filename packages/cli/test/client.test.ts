import { createServer, type Server } from "node:http"
import type { AddressInfo } from "node:net"
import { expect } from "chai"
import { runTool, startTestFleet } from "./support.js"

const DRAIN = ["drain", "endpoint", "engine-1", "--reason", "new card"]

/** Starts a server that reads each request and then closes the connection without an answer. */
async function startDisconnectingServer(): Promise<{ url: string; server: Server }> {
  const server = createServer((request) => {
    request.resume().on("end", () => request.socket.destroy())
  })
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve))
  const { port } = server.address() as AddressInfo
  return { url: `http://127.0.0.1:${port}`, server }
}

async function runDrain(
  orderUrls: (disconnecting: string, live: string) => string[],
  id = "engine-1",
) {
  const fleet = await startTestFleet()
  const { url, server } = await startDisconnectingServer()
  try {
    const args = DRAIN.map((each) => (each === "engine-1" ? id : each))
    const run = await runTool(args, { urls: orderUrls(url, fleet.urls[0] ?? "") })
    return run.reason
  } finally {
    server.closeAllConnections()
    server.close()
    await fleet.close()
  }
}

it("says that the outcome of a change without an answer is unknown", async () => {
  expect(await runDrain((disconnecting) => [disconnecting])).to.equal("unknown")
})

it("sends a change without an answer again through the next instance", async () => {
  expect(await runDrain((disconnecting, live) => [disconnecting, live])).to.equal("done")
})

it("doesn't say that nothing was changed when only the second instance refused", async () => {
  expect(await runDrain((disconnecting, live) => [disconnecting, live], "engine-9")).to.equal(
    "unknown",
  )
})
