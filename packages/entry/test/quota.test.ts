import { createServer } from "node:http"
import { type AddressInfo, connect } from "node:net"
import { text } from "node:stream/consumers"
import { expect } from "chai"
import { type AccountQuota, waitFor } from "@galenaway/core"
import {
  computeCost,
  type ForwardContext,
  ForwardHandler,
  formatShardId,
  listShards,
  StopSchedule,
} from "@galenaway/entry"
import { createManualClock } from "@galenaway/fakes"
import { IngressGuard } from "@galenaway/ingress"

const QUOTA: AccountQuota = { unit: "tokens", ratePerS: 10, burst: 10, plainTokens: 7 }
const ACCOUNT = { name: "acme", keys: [], quota: QUOTA }
const ROUTE = { name: "r", targets: [] }
const FACTS = { promptTokens: 3, outputTokens: 2 }

it("a request counts as its tokens, as the plain number without any, or as one", () => {
  expect(computeCost(QUOTA, FACTS)).to.equal(5)
  expect(computeCost(QUOTA, { promptTokens: 0, outputTokens: 0 })).to.equal(7)
  expect(computeCost({ ...QUOTA, unit: "requests" }, FACTS)).to.equal(1)
})

it("shards are spread over the data centres of the endpoints", () => {
  const shards = listShards(["b", "a", "b"])
  expect(shards[0]).to.deep.equal({ id: formatShardId(0), dataCentre: "a" })
  expect(shards[1]).to.deep.equal({ id: formatShardId(1), dataCentre: "b" })
})

it("a request beyond its quota gets 429 before its body is read", async () => {
  const refusal = { kind: "refused", reason: "used-up", retryAfterMs: 250 }
  const { answer, costs } = await sendHead({ take: () => Promise.resolve(refusal) })
  expect(answer).to.include("HTTP/1.1 429").and.include("Retry-After: 0.25")
  expect(answer).to.include('"code":"quota-exceeded"').and.include('"outcome":"not-run"')
  expect(costs).to.deep.equal([5])
})

it("the cost of a request that no endpoint has run is given back", async () => {
  const released: unknown[] = []
  const permit = { account: "acme" }
  await sendHead({
    take: () => Promise.resolve({ kind: "granted", permit }),
    release: (each: unknown) => released.push(each),
  })
  expect(released).to.deep.equal([permit])
})

interface FakeQuotas {
  take(): Promise<unknown>
  release?(permit: unknown): void
}

/** Sends the head of a request whose body never ends, and closes the connection. */
async function sendHead(quotas: FakeQuotas) {
  const costs: number[] = []
  const take = (_account: unknown, cost: number) => {
    costs.push(cost)
    return quotas.take()
  }
  const guard = new IngressGuard({ budgetBytes: 1024 * 1024, maxConnections: 10 })
  const routes = { findRoute: () => ROUTE, configuration: { limits: { maxBodyBytes: 9 } } }
  const context = {
    catalogue: { routes },
    headerCodec: { readRequest: () => FACTS, buildAnswer: () => [] },
    authorizer: { authorize: () => ({ kind: "granted", account: ACCOUNT }) },
    accountUsage: { onRequest: () => undefined, onRefused: () => undefined },
    quotas: { ...quotas, take },
    ingress: guard,
    clock: { now: () => 0 },
    log: { write: () => undefined },
    stop: new StopSchedule(createManualClock(), 8000),
  } as unknown as ForwardContext
  const handler = new ForwardHandler(context)
  const server = createServer()
  guard.attach(server, (request, response) => void handler.handle(request, response))
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve))
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1")
  socket.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n")
  setTimeout(() => socket.end(), 100)
  const answer = await text(socket)
  while (handler.runningCount > 0) await waitFor(5)
  server.close()
  return { answer, costs }
}
