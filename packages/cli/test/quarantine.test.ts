import { createServer } from "node:http"
import type { AddressInfo } from "node:net"
import { App } from "@tinyhttp/app"
import { expect } from "chai"
import { registerQuarantineRoutes } from "@galenaway/entry"
import { createLog } from "@galenaway/observe"
import { runTool } from "./support.js"

const HELD = { part: "48720f", generation: 1, endCount: 3, heldMs: 2000, trialInMs: 598_000 }

it("operators see what is held back, and release it with a reason", async () => {
  const parts = [HELD]
  const lines: string[] = []
  const app = new App()
  const source = {
    listHeld: () => parts,
    listSuspects: () => ["aa"],
    clear: (part: string) => part === HELD.part && parts.pop() !== undefined,
  }
  const write = (line: string) => lines.push(line)
  registerQuarantineRoutes(
    app,
    source,
    createLog("info", { instance: "i", dataCentre: "dc" }, { write }),
  )
  const server = createServer().on("request", app.attach)
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve))
  const urls = [`http://127.0.0.1:${(server.address() as AddressInfo).port}`]
  try {
    const list = await runTool(["quarantine", "list"], { urls })
    expect(list.output).to.match(/48720f +3 +1 +2 s +598 s/)
    expect(list.output).to.contain("aa")
    const change = ["quarantine", "release", HELD.part, "--reason", "engines are mended"]
    expect((await runTool(change, { urls })).output).to.contain("48720f is released")
    expect((await runTool(change, { urls })).output).to.contain("48720f is not in quarantine")
    expect(lines.join("")).to.contain('reason="engines are mended"')
  } finally {
    server.close()
  }
})
