import { createServer, type Server } from "node:http"
import type { AddressInfo } from "node:net"
import { App } from "@tinyhttp/app"
import { expect } from "chai"
import type { ClientAccount } from "@galenaway/core"
import {
  AccountUsage,
  type AccountsReply,
  type QuotaUse,
  registerAccountRoutes,
} from "@galenaway/entry"
import { runTool } from "./support.js"

const QUOTA = { unit: "tokens", ratePerS: 500, burst: 900, plainTokens: 200 } as const
const ACCOUNT: ClientAccount = { name: "hule930", keys: ["secret-1"], priority: 1, quota: QUOTA }
const USE: QuotaUse = { allocation: { demandPerS: 125, holders: 2, units: 30 } }

it("operators see the accounts with the counts of all instances, and no key", async () => {
  const servers = [await startInstance(2), await startInstance(3)]
  const urls = servers.map((server) => `http://127.0.0.1:${(server.address() as AddressInfo).port}`)
  try {
    const { output } = await runTool(["accounts"], { urls })
    expect(output).to.match(/hule930 +1 +1 +500 tokens\/s \+ 900 +25% +5 +500 +overloaded 2\n/)
    expect(output).to.contain("Requests without a valid key: missing 0, invalid 0, unknown 2")
    const json = (await runTool(["accounts", "--json"], { urls })).output
    expect((JSON.parse(json) as AccountsReply).accounts[0]).to.deep.include({ requests: 5 })
    expect(output + json).not.to.contain("secret-1")
  } finally {
    for (const server of servers) server.close()
  }
})

/** Starts an instance's operators' interface after some requests of the account, of which one was refused. */
async function startInstance(requestCount: number): Promise<Server> {
  const usage = new AccountUsage()
  for (let count = 0; count < requestCount; count++) usage.onRequest(ACCOUNT.name, 100)
  usage.onRefused(ACCOUNT.name, "overloaded")
  usage.onKeyRefused("unknown")
  const app = new App()
  registerAccountRoutes(app, {
    hasAccounts: true,
    listAccounts: () => [ACCOUNT],
    getCounts: (name) => usage.getCounts(name),
    getKeyRefusals: () => usage.getKeyRefusals(),
    createUseLookup: () => () => USE,
  })
  const server = createServer().on("request", app.attach)
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve))
  return server
}
