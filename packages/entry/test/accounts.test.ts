import { createServer } from "node:http"
import { type AddressInfo, connect } from "node:net"
import { expect } from "chai"
import type { CallerCredentials, ClientAccount, RawHeaders, Route } from "@galenaway/core"
import { waitFor } from "@galenaway/core"
import {
  AccountTable,
  AccountUsage,
  AccountWeights,
  Authorizer,
  type Call,
  type CallerReply,
  type ErrorAnswer,
  type ForwardContext,
  ForwardHandler,
  ForwardJob,
  StopSchedule,
} from "@galenaway/entry"
import { createManualClock } from "@galenaway/fakes"
import { IngressGuard } from "@galenaway/ingress"
import { noopMetrics } from "@galenaway/observe"
import {
  CostEstimator,
  EndpointHealth,
  PaceTable,
  PlacementCostTable,
  RouteTable,
} from "@galenaway/routing"
import { OPEN_GUARD } from "./support.js"

const ROUTE: Route = {
  name: "r",
  host: "h",
  pathPrefix: "/",
  kind: "idempotent",
  targets: [{ service: "s", weight: 1 }],
  maxAttempts: 2,
  timeoutMs: 5000,
  objectiveMs: 500,
  priority: 2,
}
const PUBLIC_ROUTE: Route = { ...ROUTE, pathPrefix: "/public/", isPublic: true }
const ACCOUNT: ClientAccount = { name: "a", keys: ["key-a1", "key-a2"], priority: 1 }
const OTHER_ACCOUNT: ClientAccount = { name: "b", keys: ["key-b"] }
const KEY: CallerCredentials = { kind: "key", key: "key-a1" }
const MANY = 10_000

it("an account is found by each of its keys and by nothing else", () => {
  const table = new AccountTable([ACCOUNT, OTHER_ACCOUNT])
  expect(table.find("key-a1")).to.equal(ACCOUNT)
  expect(table.find("key-a2")).to.equal(ACCOUNT)
  expect(table.find("key-b")).to.equal(OTHER_ACCOUNT)
  for (const key of ["", "key-a", "key-a11", "KEY-A1", "__proto__", "a"])
    expect(table.find(key), key).to.equal(undefined)
})

it("the table of 10,000 accounts is built again only when an account has changed", () => {
  const accounts = Array.from({ length: MANY }, (_, index) => buildAccount(index))
  const table = new AccountTable(accounts)
  expect(table.find("key-9999-2")?.name).to.equal("account-9999")
  expect(table.replace(accounts.map((account) => ({ ...account })))).to.equal(table)
  const changed = [{ ...buildAccount(0), priority: 3 }, ...accounts.slice(1)]
  expect(table.replace(changed).find("key-0-1")?.priority).to.equal(3)
  const fewer = table.replace(accounts.slice(1))
  expect(fewer.find("key-0-1")).to.equal(undefined)
})

it("a key is needed on a route that isn't public, while the configuration has accounts", () => {
  const authorizer = new Authorizer()
  expect(authorizer.authorize(ROUTE)).to.deep.equal({ kind: "granted" })
  authorizer.applyConfiguration({ accounts: [] })
  expect(authorizer.authorize(ROUTE).kind).to.equal("refused")
  authorizer.applyConfiguration({ accounts: [ACCOUNT] })
  expect(authorizer.authorize(ROUTE, KEY)).to.deep.equal({ kind: "granted", account: ACCOUNT })
  expect(authorizer.authorize(PUBLIC_ROUTE)).to.deep.equal({ kind: "granted" })
  const refused: CallerCredentials[] = [
    { kind: "none" },
    { kind: "invalid", reason: "the scheme is wrong" },
    { kind: "key", key: "key-b" },
  ]
  for (const credentials of refused)
    expect(authorizer.authorize(ROUTE, credentials).kind, credentials.kind).to.equal("refused")
})

it("on a public route a valid key gives its account, others are ignored", () => {
  const authorizer = new Authorizer()
  authorizer.applyConfiguration({ accounts: [ACCOUNT] })
  const granted = { kind: "granted" }
  expect(authorizer.authorize(PUBLIC_ROUTE, KEY)).to.deep.equal({ ...granted, account: ACCOUNT })
  const invalid: CallerCredentials = { kind: "invalid", reason: "the scheme is wrong" }
  expect(authorizer.authorize(PUBLIC_ROUTE, invalid)).to.deep.equal(granted)
  expect(authorizer.authorize(PUBLIC_ROUTE, { kind: "key", key: "key-b" })).to.deep.equal(granted)
})

it("a key is revoked when it is removed or given to another account", () => {
  const authorizer = new Authorizer()
  const isRevokedBy = (accounts: readonly ClientAccount[]) => {
    authorizer.applyConfiguration({ accounts })
    return authorizer.isRevoked(ACCOUNT, KEY)
  }
  expect(isRevokedBy([OTHER_ACCOUNT, { ...ACCOUNT, priority: 0 }])).to.equal(false)
  expect(isRevokedBy([{ ...ACCOUNT, keys: ["key-a2"] }])).to.equal(true)
  expect(isRevokedBy([{ ...OTHER_ACCOUNT, keys: ["key-a1"] }])).to.equal(true)
})

it("the weight of an account is its quota in tokens, otherwise the mean", () => {
  const weights = new AccountWeights()
  expect(weights.get("a")).to.equal(1)
  const quota = { unit: "tokens", ratePerS: 300, burst: 0, plainTokens: 1 } as const
  weights.setAccounts([
    { name: "a", keys: [], quota },
    { name: "b", keys: [], quota: { ...quota, ratePerS: 100 } },
    { name: "c", keys: [], quota: { ...quota, unit: "requests" } },
  ])
  const names = ["a", "b", "c", "removed", undefined]
  expect(names.map((name) => weights.get(name))).to.deep.equal([300, 100, 200, 200, 200])
  weights.setAccounts([])
  expect(weights.get("a")).to.equal(1)
})

it("a request without a valid key gets 401 before its body is read", async () => {
  const authorizer = new Authorizer()
  authorizer.applyConfiguration({ accounts: [ACCOUNT] })
  for (const credentials of ["", "Authorization: key-x\r\n", "Authorization: invalid\r\n"]) {
    const head = `POST / HTTP/1.1\r\nHost: h\r\n${credentials}Content-Length: 1\r\n\r\n`
    const [answer] = await sendRequests(buildContext(authorizer, [ROUTE]), [head])
    expect(answer).to.include("HTTP/1.1 401").and.include("WWW-Authenticate: Bearer")
    expect(answer).to.include('"outcome":"not-run"').and.not.include("key-x")
  }
})

it("a removed key gets 401 on a connection that was opened before", async () => {
  const authorizer = new Authorizer()
  authorizer.applyConfiguration({ accounts: [ACCOUNT] })
  const context = buildContext(authorizer, [{ ...ROUTE, targets: [] }])
  const request = buildRequest("Authorization: key-a1\r\n")
  const answers = await sendRequests(context, [request, request], () => {
    authorizer.applyConfiguration({ accounts: [OTHER_ACCOUNT] })
  })
  expect(answers[0]).to.include("HTTP/1.1 503").and.include("the route names no service")
  expect(answers[1]).to.include("HTTP/1.1 401")
})

it("a request before the first configuration gets 503, whatever its key", async () => {
  const context = buildContext(new Authorizer(), undefined)
  const requests = [buildRequest(""), buildRequest("Authorization: invalid\r\n")]
  for (const answer of await sendRequests(context, requests))
    expect(answer).to.include("HTTP/1.1 503")
})

it("a call that waits for an endpoint isn't sent after its key was revoked", async () => {
  const authorizer = new Authorizer()
  authorizer.applyConfiguration({ accounts: [ACCOUNT] })
  const answers: ErrorAnswer[] = []
  const reply = { hasHead: false, sendError: (answer: ErrorAnswer) => answers.push(answer) }
  const call = buildCall()
  const context = buildContext(authorizer, [ROUTE])
  const job = new ForwardJob(context, call, reply as unknown as CallerReply).run()
  authorizer.applyConfiguration({ accounts: [OTHER_ACCOUNT] })
  await job
  expect(answers.map(({ status, outcome }) => [status, outcome])).to.deep.equal([[401, "not-run"]])
})

function buildAccount(index: number): ClientAccount {
  const keys = [`key-${index}-1`, `key-${index}-2`]
  const quota = { unit: "tokens", ratePerS: 1000, burst: 1000, plainTokens: 200 } as const
  return { name: `account-${index}`, keys, quota }
}

/** Builds a context without endpoints. `Authorization` has the key itself, or `invalid`. */
function buildContext(authorizer: Authorizer, routes: readonly Route[] | undefined) {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  const configuration = { version: 1, routes: routes ?? [], services: new Map(), limits }
  const context = {
    authorizer,
    ingress: new IngressGuard({ budgetBytes: 1024 * 1024, maxConnections: 10 }),
    accountUsage: new AccountUsage(),
    catalogue: { routes: routes && new RouteTable(configuration) },
    directory: { listLive: () => [] },
    health: new EndpointHealth(),
    headerCodec: { readRequest, buildAnswer: () => [] },
    guard: OPEN_GUARD,
    versions: { getNewest: () => undefined },
    paces: new PaceTable(),
    costs: new CostEstimator(),
    placementCosts: new PlacementCostTable(),
    metrics: noopMetrics,
    clock: createManualClock(),
    log: { write: () => undefined },
    stop: new StopSchedule(createManualClock(), 8000),
    getRetryBudget: () => ({ recordRequest: () => undefined }),
  }
  return context as unknown as ForwardContext
}

function readRequest(headers: RawHeaders) {
  const key = headers.find((_, index) => headers[index - 1] === "Authorization")
  const credentials: CallerCredentials =
    key === undefined
      ? { kind: "none" }
      : key === "invalid"
        ? { kind: "invalid", reason: "the key is invalid" }
        : { kind: "key", key }
  return { sharedParts: [], promptTokens: 0, credentials }
}

function buildCall(): Call {
  const { signal } = new AbortController()
  const facts = { sharedParts: [], promptTokens: 0, credentials: KEY }
  const call = {
    facts,
    parts: [],
    path: "/",
    route: ROUTE,
    account: ACCOUNT,
    priority: 1,
    service: "s",
    arrivedAt: 0,
    deadline: 5000,
    disconnectSignal: signal,
  }
  return call as unknown as Call
}

function buildRequest(credentials: string): string {
  return `GET / HTTP/1.1\r\nHost: h\r\n${credentials}\r\n`
}

/** Sends requests on one connection, each after the answer to the one before. Returns the answers. */
async function sendRequests(
  context: ForwardContext,
  requests: readonly string[],
  onAnswer: () => void = () => undefined,
): Promise<readonly string[]> {
  const handler = new ForwardHandler(context)
  const server = createServer((request, response) => {
    void handler.handle(request, response)
  })
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve))
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1")
  const answers: string[] = []
  try {
    let answer = ""
    socket.on("data", (chunk: Buffer) => (answer += chunk.toString()))
    for (const request of requests) {
      socket.write(request)
      while (!answer.endsWith("}")) await waitFor(1)
      answers.push(answer)
      answer = ""
      onAnswer()
    }
  } finally {
    socket.destroy()
    server.closeAllConnections()
    server.close()
  }
  return answers
}
