import { createServer } from "node:http"
import type { AddressInfo } from "node:net"
import { expect } from "chai"
import { type ForwardContext, ForwardHandler, StopSchedule } from "@galenaway/entry"
import { createManualClock } from "@galenaway/fakes"

it("an internal error is never answered as a request that hasn't run", async () => {
  const context = {
    catalogue: {
      routes: {
        findRoute: () => {
          throw new Error("broken table")
        },
      },
    },
    headerCodec: { readRequest: () => ({}), buildAnswer: () => [] },
    clock: { now: () => 0 },
    log: { write: () => undefined },
    stop: new StopSchedule(createManualClock(), 8000),
  }
  const handler = new ForwardHandler(context as unknown as ForwardContext)
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
