import { once } from "node:events"
import { createServer } from "node:http"
import type { AddressInfo } from "node:net"
import { App } from "@tinyhttp/app"
import { expect } from "chai"
import { pino } from "pino"
import { Agent, request as sendRequest } from "undici"
import type { EndpointInfo, GalenawayError } from "@galenaway/core"
import { IngressGuard } from "@galenaway/ingress"
import {
  ServiceHandler,
  type ServiceHandlerDependencies,
  ServicePool,
  waitMs,
} from "@galenaway/daemon"
import {
  createManualClock,
  createMemoryStore,
  type FakeBooking,
  startBooking,
} from "@galenaway/fakes"
import { noopMetrics, noopRecorder } from "@galenaway/observe"

const clock = { now: () => performance.now(), wallNow: () => Date.now() }

function makeInfo(id: string, url: string, overrides: Partial<EndpointInfo> = {}): EndpointInfo {
  const rest = { fencing: "ignored", slots: 0, capacity: 1 } as const
  return { id, kind: "service", dataCentre: "x", url, ...rest, ...overrides }
}

/** Starts a service handler with the given endpoints. The first one is preferred. */
async function startFixture(
  urls: readonly string[],
  overrides: Partial<ServiceHandlerDependencies> = {},
) {
  const endpoints = urls.map((url, index) =>
    makeInfo(`s${index + 1}`, url, { dataCentre: index === 0 ? "x" : "y" }),
  )
  const handler = new ServiceHandler({
    endpoints,
    dataCentre: "x",
    platform: createMemoryStore({ wait: waitMs }),
    incarnation: "a",
    agent: new Agent(),
    ingress: new IngressGuard({ budgetBytes: 4 * 1024 * 1024, maxConnections: 100 }),
    clock,
    wait: waitMs,
    recorder: noopRecorder,
    metrics: noopMetrics,
    log: pino({ level: "silent" }),
    ...overrides,
  })
  const app = new App()
  app.post("/:operation", (request, response) => handler.handle(request, response))
  const server = createServer().on("request", app.attach).listen(0, "127.0.0.1")
  await once(server, "listening")
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  const call = async (headers: Record<string, string>, body = "{}") => {
    const reply = await sendRequest(`${url}/bookings`, { method: "POST", headers, body })
    const text = await reply.body.text()
    const { error, endpoint } = JSON.parse(text) as Record<string, unknown>
    return { status: reply.statusCode, headers: reply.headers, error, endpoint }
  }
  const close = () => {
    server.close()
    server.closeAllConnections()
  }
  return { call, close }
}

/** Runs a test with booking services, and stops them afterwards. */
async function withBookings(count: number, run: (bookings: FakeBooking[]) => Promise<void>) {
  const ids = Array.from({ length: count }, (_, index) => `s${index + 1}`)
  const bookings = await Promise.all(ids.map((id) => startBooking({ id })))
  try {
    await run(bookings)
  } finally {
    await Promise.all(bookings.map((each) => each.close()))
  }
}

function countRuns(bookings: readonly FakeBooking[]): number {
  return bookings.flatMap(({ runs }) => [...runs.values()]).reduce((sum, runs) => sum + runs, 0)
}

const key = { "idempotency-key": "k1" }

it("moves a booking to another endpoint when a connection is refused", () =>
  withBookings(2, async (bookings) => {
    const urls = bookings.map(({ url }) => url)
    await bookings[0]?.close()
    const fixture = await startFixture(urls)
    const reply = await fixture.call(key)
    fixture.close()
    expect(reply).to.include({ status: 200, endpoint: "s2" })
    expect(countRuns(bookings)).to.equal(1)
  }))

it("releases a booking that no endpoint accepted", () =>
  withBookings(1, async (bookings) => {
    const [booking] = bookings
    const fixture = await startFixture([booking?.url ?? ""])
    await booking?.close()
    const refused = await fixture.call(key)
    const restarted = await startBooking({ id: "s1", port: booking?.port ?? 0 })
    const retried = await fixture.call(key)
    await restarted.close()
    fixture.close()
    expect(refused.error).to.include({ step: "route", outcome: "not-run" })
    expect(retried.status).to.equal(200)
  }))

it("keeps a booking that failed at the service as unknown", () =>
  withBookings(2, async (bookings) => {
    const fixture = await startFixture(bookings.map(({ url }) => url))
    for (const { faults } of bookings) faults.down = true
    const first = await fixture.call(key)
    for (const { faults } of bookings) faults.down = false
    const retried = await fixture.call(key)
    fixture.close()
    expect(first.error).to.include({ step: "send", outcome: "unknown" })
    expect(retried.error).to.include({ outcome: "unknown" })
    expect(countRuns(bookings)).to.equal(0)
  }))

it("ends a hanging booking as unknown at its deadline", () =>
  withBookings(2, async (bookings) => {
    const fixture = await startFixture(bookings.map(({ url }) => url))
    for (const { faults } of bookings) faults.hang = true
    const { error } = await fixture.call({ ...key, "x-galenaway-deadline-ms": "50" })
    fixture.close()
    expect(error).to.include({ step: "send", outcome: "unknown" })
    expect(countRuns(bookings)).to.equal(1)
  }))

it("sends a call without a key once, and an idempotent one again", () =>
  withBookings(2, async (bookings) => {
    const fixture = await startFixture(bookings.map(({ url }) => url))
    for (const { faults } of bookings) faults.loseReply = true
    const reply = await fixture.call({})
    const runsOnce = countRuns(bookings)
    await fixture.call({ "x-galenaway-idempotent": "true" })
    fixture.close()
    expect(reply.error).to.include({ outcome: "unknown" })
    expect([runsOnce, countRuns(bookings)]).to.deep.equal([1, 4])
  }))

it("marks a replayed answer and refuses another body", () =>
  withBookings(1, async (bookings) => {
    const fixture = await startFixture(bookings.map(({ url }) => url))
    const replies = [
      await fixture.call(key),
      await fixture.call(key),
      await fixture.call(key, '{"a":1}'),
    ]
    fixture.close()
    expect(replies.map(({ status }) => status)).to.deep.equal([200, 200, 409])
    expect(replies[1]?.headers["x-galenaway-replayed"]).to.equal("true")
    expect(countRuns(bookings)).to.equal(1)
  }))

it("sends no call to a leaving endpoint", () =>
  withBookings(2, async (bookings) => {
    const urls = bookings.map(({ url }) => url)
    const fixture = await startFixture(urls, { isUsable: (id) => id !== "s1" })
    expect(await fixture.call(key)).to.include({ status: 200, endpoint: "s2" })
    fixture.close()
  }))

it("spreads calls by load and bounds those that wait", async () => {
  const manual = createManualClock()
  const pool = new ServicePool({
    endpoints: [makeInfo("s1", ""), makeInfo("s2", "", { dataCentre: "y" })],
    dataCentre: "x",
    clock: manual,
    wait: manual.wait,
    maxQueued: 1,
    queueWaitMs: 100,
  })
  const acquired = [await pool.acquire(), await pool.acquire()]
  const waiting = pool.acquire()
  const refused = await pool.acquire().catch((error: unknown) => error as GalenawayError)
  pool.release("s2")
  expect(acquired.map(({ id }) => id)).to.deep.equal(["s1", "s2"])
  expect((await waiting).id).to.equal("s2")
  expect(refused).to.include({ code: "overloaded", outcome: "not-run" })
  const late = pool.acquire().catch((error: unknown) => error as GalenawayError)
  await manual.advance(100)
  expect(await late).to.include({ code: "overloaded", step: "queue" })
})
