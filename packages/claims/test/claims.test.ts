import { expect } from "chai"
import type { GalenawayError } from "@galenaway/core"
import { RefusedError, UnknownOutcomeError } from "@galenaway/core"
import {
  type ClaimLimits,
  IdempotentRunner,
  type KeyedCall,
  type RecordedAnswer,
} from "@galenaway/claims"
import { type CallBehavior, createManualClock, createMemoryStore } from "@galenaway/fakes"

const call: KeyedCall = { operation: "bookings", key: "k1", body: "{}" }
const answer: RecordedAnswer = { status: 200, body: "booked" }

function createFixture(limits: Partial<ClaimLimits> = {}) {
  const clock = createManualClock()
  const behaviors: CallBehavior[] = []
  const store = createMemoryStore({
    wait: clock.wait,
    getBehavior: () => behaviors.shift() ?? { kind: "answered" },
    getDelayMs: () => 1,
  })
  const runs: string[] = []
  const endedAuthors = new Set<string>()
  const createRunner = (author: string) =>
    new IdempotentRunner({
      platform: store,
      author,
      clock,
      wait: clock.wait,
      isAlive: (other) => !endedAuthors.has(other),
      limits: { shards: 1, ...limits },
    })
  const send = (author: string) => () => {
    runs.push(author)
    return Promise.resolve(answer)
  }
  /** Advances the clock until a call has ended, and describes its answer or error. */
  const finish = async (result: Promise<{ body: string | undefined; isReplayed: boolean }>) => {
    const described = result.then(
      ({ body, isReplayed }) => `${body ?? "no body"}${isReplayed ? " again" : ""}`,
      (error: unknown) => `${(error as GalenawayError).code} ${(error as GalenawayError).outcome}`,
    )
    await clock.advance(4000)
    return described
  }
  return { clock, store, behaviors, runs, endedAuthors, createRunner, send, finish }
}

it("gives a retry through another instance the recorded answer", async () => {
  const { createRunner, send, finish, runs } = createFixture()
  const [a, b] = [createRunner("a"), createRunner("b")]
  expect(await finish(a.runOnce(call, send("a")))).to.equal("booked")
  expect(await finish(b.runOnce(call, send("b")))).to.equal("booked again")
  expect(runs).to.deep.equal(["a"])
})

it("lets a retry wait for the first call", async () => {
  const { createRunner, send, finish, runs, clock } = createFixture()
  const [a, b] = [createRunner("a"), createRunner("b")]
  const first = a.runOnce(call, async () => {
    await clock.wait(1000)
    return send("a")()
  })
  await clock.advance(10)
  const retries = [a.runOnce(call, send("a again")), b.runOnce(call, send("b"))]
  const results = await Promise.all([first, ...retries].map(finish))
  expect(results).to.deep.equal(["booked", "booked again", "booked again"])
  expect(runs).to.deep.equal(["a"])
})

it("answers unknown for a dead author, at once", async () => {
  const { createRunner, send, finish, clock, endedAuthors } = createFixture()
  void createRunner("a").runOnce(call, () => new Promise(() => undefined))
  await clock.advance(10)
  endedAuthors.add("a")
  const retry = createRunner("b").runOnce(call, send("b"))
  const early = retry.catch((error: unknown) => error)
  await clock.advance(10)
  expect(await early).to.be.instanceOf(UnknownOutcomeError)
  expect(await finish(retry)).to.equal("in-progress unknown")
})

it("scopes keys by operation and refuses another body", async () => {
  const { createRunner, send, finish } = createFixture()
  const runner = createRunner("a")
  await finish(runner.runOnce(call, send("a")))
  const other = runner.runOnce({ ...call, body: "{1}" }, send("b"))
  expect(await finish(other)).to.equal("conflict not-run")
  const scoped = runner.runOnce({ ...call, operation: "redemptions" }, send("c"))
  expect(await finish(scoped)).to.equal("booked")
})

it("settles a lost reply under the claim's own id", async () => {
  const { createRunner, send, finish, runs, behaviors } = createFixture()
  behaviors.push({ kind: "answered" }, { kind: "reply-lost" })
  expect(await finish(createRunner("a").runOnce(call, send("a")))).to.equal("booked")
  expect(runs).to.deep.equal(["a"])
})

it("lets a retry run after a call that certainly has not run", async () => {
  const { createRunner, send, finish, runs } = createFixture()
  const refuse = () => Promise.reject(new RefusedError("endpoint-failed", "send", "s1", "refused"))
  const [a, b] = [createRunner("a"), createRunner("b")]
  expect(await finish(a.runOnce(call, refuse))).to.equal("endpoint-failed not-run")
  expect(await finish(b.runOnce(call, send("b")))).to.equal("booked")
  expect(runs).to.deep.equal(["b"])
})

it("records a failure after the send as unknown", async () => {
  const { createRunner, send, finish, runs } = createFixture()
  const hang = () => Promise.reject(new UnknownOutcomeError("endpoint-failed", "send", "s1", "cut"))
  const [a, b] = [createRunner("a"), createRunner("b")]
  expect(await finish(a.runOnce(call, hang))).to.equal("endpoint-failed unknown")
  expect(await finish(b.runOnce(call, send("b")))).to.equal("in-progress unknown")
  expect(runs).to.deep.equal([])
})

it("refuses as not run while the platform is down, and runs afterwards", async () => {
  const { createRunner, send, finish, runs, store } = createFixture()
  const runner = createRunner("a")
  store.isDown = true
  expect(await finish(runner.runOnce(call, send("a")))).to.equal("platform-down not-run")
  expect(runner.pendingCount).to.equal(0)
  store.isDown = false
  expect(await finish(runner.runOnce(call, send("a")))).to.equal("booked")
  expect(runs).to.deep.equal(["a"])
})

it("releases a claim that is stored after its timeout", async () => {
  const { createRunner, send, finish, store, behaviors, clock } = createFixture()
  const [a, b] = [createRunner("a"), createRunner("b")]
  behaviors.push({ kind: "answered" }, { kind: "late", afterMs: 1800 })
  const late = a.runOnce(call, send("a"))
  await clock.advance(5)
  store.isDown = true
  expect(await finish(late)).to.equal("platform-down not-run")
  expect(store.entries.get("galenaway/claims/0")?.value).to.contain("claimed")
  store.isDown = false
  expect(await finish(b.runOnce(call, send("b")))).to.equal("booked")
})

it("answers while the platform is down, and settles later", async () => {
  const { createRunner, finish, store, clock, send } = createFixture()
  const [a, b] = [createRunner("a"), createRunner("b")]
  const first = a.runOnce(call, async () => {
    store.isDown = true
    return Promise.resolve(answer)
  })
  expect(await finish(first)).to.equal("booked")
  expect(await finish(a.runOnce(call, send("a")))).to.equal("booked again")
  expect(a.pendingCount).to.equal(2)
  store.isDown = false
  await clock.advance(1000)
  expect(a.pendingCount).to.equal(0)
  expect(await finish(b.runOnce(call, send("b")))).to.equal("booked again")
})

it("gives a recorded answer while the platform is down", async () => {
  const { createRunner, send, finish, store } = createFixture()
  const runner = createRunner("a")
  await finish(runner.runOnce(call, send("a")))
  store.isDown = true
  expect(await finish(runner.runOnce(call, send("a")))).to.equal("booked again")
})

it("bounds the calls that are open", async () => {
  const { createRunner, finish, send, clock } = createFixture({ maxOpen: 1 })
  const runner = createRunner("a")
  void runner.runOnce(call, () => new Promise(() => undefined))
  await clock.advance(10)
  const second = runner.runOnce({ ...call, key: "k2" }, send("a"))
  expect(await finish(second)).to.equal("overloaded not-run")
})

it("writes the claims of several callers together", async () => {
  const { createRunner, send, finish, store } = createFixture()
  const runner = createRunner("a")
  const calls = Array.from({ length: 50 }, (_, index) => ({ ...call, key: `k${index}` }))
  await Promise.all(calls.map((each) => finish(runner.runOnce(each, send("a")))))
  expect(store.counters.writes).to.be.at.most(4)
})
