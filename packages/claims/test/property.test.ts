import { expect } from "chai"
import fc from "fast-check"
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus"
import { uniformInt } from "pure-rand/distribution/uniformInt"
import { type ClaimStore, IdempotentRunner, type KeyedCall } from "@galenaway/claims"
import { type GalenawayError, RefusedError, UnknownOutcomeError } from "@galenaway/core"
import { type CallBehavior, createManualClock, createMemoryStore } from "@galenaway/fakes"

const SEED = 20_261_204
const RETENTION_MS = 20_000
const INSTANCE_COUNT = 3
const RUN_COUNT = 400
const TIMED_KEY = "018bcfe5-6800-7000-8000-000000000000"
const KEYS = ["k1", "k2", "k3", "k4", TIMED_KEY]

/** One step of a history: an event, and the time since the step before it. */
type HistoryStep = { readonly afterMs: number } & (
  | { readonly kind: "call"; readonly instance: number; readonly key: string }
  | { readonly kind: "crash"; readonly instance: number }
  | { readonly kind: "outage"; readonly isDown: boolean }
)

type RunOnce = IdempotentRunner["runOnce"]
type CreateInstance = (options: ConstructorParameters<typeof IdempotentRunner>[0]) => {
  runOnce: RunOnce
}

interface HistoryResult {
  readonly runs: Map<string, number>
  /** Keys of calls that failed as not run although they were sent. */
  readonly wrongRefusals: string[]
  readonly answers: Map<string, Set<string>>
}

const afterMs = fc.oneof(
  { weight: 8, arbitrary: fc.integer({ min: 0, max: 40 }) },
  { weight: 2, arbitrary: fc.integer({ min: 500, max: 3 * RETENTION_MS }) },
)
const instance = fc.integer({ min: 0, max: INSTANCE_COUNT - 1 })
const step: fc.Arbitrary<HistoryStep> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant("call"),
      afterMs,
      instance,
      key: fc.constantFrom(...KEYS),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("crash"), afterMs, instance }) },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("outage"), afterMs, isDown: fc.boolean() }),
  },
)
const history = fc.record({
  steps: fc.array(step, { minLength: 4, maxLength: 32 }),
  seed: fc.integer(),
})

/** Runs a history with instances that a variant creates, and counts the calls that the endpoint ran. */
async function runHistory(
  { steps, seed }: { steps: readonly HistoryStep[]; seed: number },
  createInstance: CreateInstance,
): Promise<HistoryResult> {
  const random = xoroshiro128plus(seed)
  const draw = (max: number) => uniformInt(random, 0, max)
  const clock = createManualClock()
  const { wait } = clock
  const store = createMemoryStore({
    wait,
    getBehavior: () => chooseBehavior(draw),
    getDelayMs: () => draw(9),
  })
  const result: HistoryResult = { runs: new Map(), wrongRefusals: [], answers: new Map() }
  let authorCount = 0
  const start = () => {
    const incarnation = { hasCrashed: false, author: `author-${++authorCount}` }
    const platform = createStoppableStore(store, incarnation)
    // Wall clocks differ from instance to instance.
    const skewMs = draw(2000) - 1000
    const localClock = { ...clock, wallNow: () => clock.wallNow() + skewMs }
    const limits = { shards: 1, retentionMs: RETENTION_MS }
    const runner = createInstance({
      platform,
      author: incarnation.author,
      clock: localClock,
      wait,
      limits,
    })
    return { incarnation, runner }
  }
  const instances = Array.from({ length: INSTANCE_COUNT }, start)
  const send = async (
    incarnation: { hasCrashed: boolean },
    call: KeyedCall,
    attempt: { sends: number },
  ) => {
    if (incarnation.hasCrashed) await new Promise(() => undefined)
    await wait(draw(5))
    if (incarnation.hasCrashed) await new Promise(() => undefined)
    const roll = draw(9)
    if (roll === 0) throw new RefusedError("endpoint-failed", "send", "s", "refused")
    attempt.sends++
    if (roll === 1) throw new UnknownOutcomeError("endpoint-failed", "send", "s", "lost")
    const run = (result.runs.get(call.key) ?? 0) + 1
    result.runs.set(call.key, run)
    await wait(draw(30))
    if (roll === 2) throw new UnknownOutcomeError("endpoint-failed", "send", "s", "reply lost")
    return { status: 200, body: `run ${run}` }
  }
  const startCall = async (index: number, key: string) => {
    const chosen = instances[index]
    if (!chosen) return
    const call = { operation: "o", key, body: "" }
    const attempt = { sends: 0 }
    try {
      const answer = await chosen.runner.runOnce(call, () =>
        send(chosen.incarnation, call, attempt),
      )
      const bodies = result.answers.get(key) ?? new Set()
      result.answers.set(key, bodies.add(answer.body ?? "no body"))
    } catch (error) {
      const isRefused = (error as GalenawayError).outcome === "not-run"
      if (isRefused && attempt.sends > 0) result.wrongRefusals.push(key)
    }
  }
  for (const each of steps) {
    await clock.advance(each.afterMs)
    switch (each.kind) {
      case "call":
        void startCall(each.instance, each.key)
        break
      case "crash": {
        const crashed = instances[each.instance]
        if (crashed) crashed.incarnation.hasCrashed = true
        instances[each.instance] = start()
        break
      }
      case "outage":
        store.isDown = each.isDown
        break
    }
  }
  store.isDown = false
  await clock.advance(10_000)
  return result
}

function chooseBehavior(draw: (max: number) => number): CallBehavior {
  const roll = draw(11)
  if (roll === 0) return { kind: "reply-lost" }
  if (roll === 1) return { kind: "request-lost" }
  if (roll === 2) return { kind: "late", afterMs: draw(400) }
  return { kind: "answered" }
}

/**
 * Creates a store for one instance. After the instance has crashed, it sends and receives
 * nothing, but its earlier requests may take effect.
 */
function createStoppableStore(store: ClaimStore, incarnation: { hasCrashed: boolean }): ClaimStore {
  const never = () => new Promise<never>(() => undefined)
  const receive = async <T>(reply: Promise<T>): Promise<T> => {
    try {
      return await reply
    } finally {
      if (incarnation.hasCrashed) await never()
    }
  }
  return {
    read: (key) => (incarnation.hasCrashed ? never() : receive(store.read(key))),
    compareAndSwap: (key, revision, value) =>
      incarnation.hasCrashed ? never() : receive(store.compareAndSwap(key, revision, value)),
  }
}

/** Sends every call without a claim. */
const createUnprotected: CreateInstance = () => ({
  runOnce: async (_call, send) => ({ ...(await send()), isReplayed: false }),
})

/** Doesn't keep the keys of discarded records. */
const createWithoutPastKeys: CreateInstance = (options) => {
  const { platform } = options
  const read: ClaimStore["read"] = async (key) => {
    const current = await platform.read(key)
    if (!current) return undefined
    const document = JSON.parse(current.value) as object
    return { ...current, value: JSON.stringify({ ...document, past: "", horizon: 0 }) }
  }
  const limits = { ...options.limits, pastBytes: Infinity }
  return new IdempotentRunner({ ...options, platform: { ...platform, read }, limits })
}

/** Releases a claim whenever its call fails, even after the call was sent. */
const createAlwaysReleasing: CreateInstance = (options) => {
  const runner = new IdempotentRunner(options)
  return {
    runOnce: (call, send) =>
      runner.runOnce(call, async () => {
        try {
          return await send()
        } catch (error) {
          throw new RefusedError("endpoint-failed", "send", "s", String(error))
        }
      }),
  }
}

function findViolations({ runs, wrongRefusals, answers }: HistoryResult): string[] {
  const doubled = [...runs].filter(([, count]) => count > 1).map(([key]) => `${key} ran twice`)
  const split = [...answers]
    .filter(([, bodies]) => bodies.size > 1)
    .map(([key]) => `${key} differs`)
  return [...doubled, ...split, ...wrongRefusals.map((key) => `${key} was refused, but sent`)]
}

async function check(createInstance: CreateInstance, numRuns: number) {
  return fc.check(
    fc.asyncProperty(history, async (each) => {
      expect(findViolations(await runHistory(each, createInstance))).to.deep.equal([])
    }),
    { seed: SEED, numRuns, endOnFailure: true },
  )
}

it("runs at most once on random histories", async () => {
  let runs = 0
  const createCounting: CreateInstance = (options) => {
    const runner = new IdempotentRunner(options)
    return {
      runOnce: (call, send) => {
        const count = async () => {
          runs++
          return send()
        }
        return runner.runOnce(call, count)
      },
    }
  }
  const { failed, counterexample, errorInstance } = await check(createCounting, RUN_COUNT)
  expect(failed, `${JSON.stringify(counterexample)} ${String(errorInstance)}`).to.equal(false)
  expect(runs).to.be.above(RUN_COUNT)
})

it("finds double runs without claims, with early releases, and with discarded keys", async () => {
  const variants = [createUnprotected, createAlwaysReleasing, createWithoutPastKeys]
  const found = []
  for (const variant of variants) found.push((await check(variant, RUN_COUNT)).failed)
  expect(found).to.deep.equal([true, true, true])
})
