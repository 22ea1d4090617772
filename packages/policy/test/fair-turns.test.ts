import { expect } from "chai"
import type { Millis } from "@galenaway/core"
import { type AdmissionDecision, AdmissionQueue, type AdmissionRequest } from "@galenaway/policy"
import { DueOrderQueue } from "./due-order-queue.js"
import { type ReplayEngine, replayLoad, type ReplayRequest } from "./engine-replay.js"
import { createRandom } from "./random.js"

const PACE = { tokensPerMs: 20, eventMs: 30, batchMs: 240, firstTokenMs: 0 }
const PROMPT_MS = 60
const REQUEST: AdmissionRequest = {
  id: 1,
  promptTokens: PROMPT_MS * PACE.tokensPerMs,
  priority: 0,
  objectiveAt: 800,
  expiresAt: 740,
  isLate: false,
}
const BATCH_MS = 4 * PROMPT_MS + PACE.eventMs
const HISTORY_COUNT = 200
const STEP_COUNT = 60

const ENGINE: ReplayEngine = {
  tokensPerMs: 20,
  stepMs: 9,
  tokensPerEvent: 4,
  chunkTokens: 2048,
  slots: 12,
}
const OBJECTIVE = { firstTokenMs: 800, pauseMs: 300 }
const ACCOUNT_COUNT = 16
const PEAK_FACTOR = 7
const REPLAY_MS = 60_000
const MEAN_TOKENS = 1200
const SEEDS = [1, 2, 3, 4]
/** Share of their answers in time that the other accounts lose at most. */
const MAX_LOSS_SHARE = 0.03
/** Total weight of all accounts. That of the account with the index i is 1 / (i + 1). */
const TOTAL_WEIGHT = Array.from({ length: ACCOUNT_COUNT }, (_, index) =>
  computeWeight(index),
).reduce((sum, weight) => sum + weight)

// The order of deployments without accounts must not change.
for (const account of [undefined, "a"])
  it(`decisions with ${account === undefined ? "no" : "one"} account are those of the order by due time`, () => {
    for (let seed = 1; seed <= HISTORY_COUNT; seed++) expectSameDecisions(seed, account)
  })

it("another account's request doesn't wait for the whole backlog of an account", () => {
  const queue = createQueue(30, { objectiveAt: 10_000, expiresAt: 9000 })
  queue.add({ ...REQUEST, id: 31, account: "b", objectiveAt: 10_000, expiresAt: 9000 }, 0)
  const granted: number[] = []
  for (let at = 0; granted.length < 31; at += BATCH_MS)
    granted.push(...listGranted(queue.takeDecisions(at)))
  expect(granted.indexOf(31)).to.be.lessThan(20)
  expect(granted.filter((id) => id !== 31)).to.deep.equal([...Array(30).keys()].map((id) => id + 1))
})

it("among requests that can't all start in time, those of the account with the backlog are refused", () => {
  const queue = createQueue(11)
  expect(listRefused(queue.takeDecisions(0))).to.deep.equal([])
  queue.add({ ...REQUEST, id: 20, account: "b" }, 1)
  queue.add({ ...REQUEST, id: 21, account: "c" }, 1)
  expect(listRefused(queue.takeDecisions(1))).to.deep.equal([10, 11])
})

it("late requests of an account within its share wait for all others", () => {
  const queue = createQueue(5)
  queue.add({ ...REQUEST, id: 20, account: "b", isLate: true, expiresAt: 5000 }, 0)
  queue.takeDecisions(0)
  expect(listGranted(queue.takeDecisions(BATCH_MS))).to.deep.equal([5])
})

it("late requests are granted fairly too", () => {
  const late = { ...REQUEST, isLate: true, objectiveAt: 0, expiresAt: 20_000 }
  const queue = createQueue(20, late)
  queue.add({ ...late, id: 21, account: "b" }, 0)
  const granted: number[] = []
  for (let at = 0; granted.length < 21; at += BATCH_MS)
    granted.push(...listGranted(queue.takeDecisions(at)))
  expect(granted.indexOf(21)).to.be.lessThan(20)
})

it("one account's peak costs the others less than 3% of their answers in time, and the account keeps its share", () => {
  for (const hotIndex of [0, 3, 10])
    for (const isUrgent of [false, true])
      for (const loadShare of [0.4, 0.5, 0.6]) {
        const name = `account ${hotIndex}, load ${loadShare}, urgent ${isUrgent}`
        const usual = replayAll({ hotIndex, isUrgent, loadShare, factor: 1 })
        const peak = replayAll({ hotIndex, isUrgent, loadShare, factor: PEAK_FACTOR })
        expect(peak.others, name).to.be.greaterThan((1 - MAX_LOSS_SHARE) * usual.others)
        expect(peak.hot, name).to.be.at.least(usual.hot)
      }
})

it("without accounts one caller's peak takes the others' answers in time", () => {
  const load = { hotIndex: 0, isUrgent: false, loadShare: 0.5, hasAccounts: false }
  const usual = replayAll({ ...load, factor: 1 })
  const peak = replayAll({ ...load, factor: PEAK_FACTOR })
  expect(peak.others).to.be.lessThan(0.7 * usual.others)
})

interface AccountLoad {
  /** The account that sends `factor` times its usual load. */
  readonly hotIndex: number
  readonly factor: number
  /** Whether that account is more urgent than all others. */
  readonly isUrgent: boolean
  /** The part of the engine's reading that the usual load of all accounts takes. */
  readonly loadShare: number
  /** Whether the queue knows the accounts; true by default. */
  readonly hasAccounts?: boolean
}

/** Replays a load with several seeds. Returns the answers in time of the hot account and of the others. */
function replayAll(load: AccountLoad): { readonly hot: number; readonly others: number } {
  const results = SEEDS.map((seed) => replayAccounts(load, seed))
  return {
    hot: results.reduce((sum, { hot }) => sum + hot, 0),
    others: results.reduce((sum, { others }) => sum + others, 0),
  }
}

function replayAccounts(load: AccountLoad, seed: number) {
  const requests = buildLoad(load, seed)
  const getWeight = (account = "0") => computeWeight(Number(account))
  const sent = load.hasAccounts === false ? requests.map(removeAccount) : requests
  const onTime = replayLoad(sent, ENGINE, OBJECTIVE, true, getWeight).onTimeIndexes
  const hot = onTime.filter((index) => requests[index]?.account === String(load.hotIndex)).length
  return { hot, others: onTime.length - hot }
}

function removeAccount({ at, promptTokens, eventCount, priority }: ReplayRequest): ReplayRequest {
  return { at, promptTokens, eventCount, priority }
}

/** Builds the requests of all accounts. Those of an account arrive independently, in proportion to its weight. */
function buildLoad(load: AccountLoad, seed: number): readonly ReplayRequest[] {
  const requests: ReplayRequest[] = []
  for (let index = 0; index < ACCOUNT_COUNT; index++) {
    const random = createRandom(seed * 100 + index + 1)
    const isHot = index === load.hotIndex
    const share = (load.loadShare * computeWeight(index)) / TOTAL_WEIGHT
    const meanGapMs = MEAN_TOKENS / ENGINE.tokensPerMs / share / (isHot ? load.factor : 1)
    const priority = load.isUrgent && !isHot ? 2 : 0
    for (let at = 0; at < REPLAY_MS;) {
      at += -Math.log(1 - random()) * meanGapMs
      const promptTokens = Math.round(MEAN_TOKENS * (0.4 + 1.2 * random()))
      requests.push({ at, promptTokens, eventCount: 10, priority, account: String(index) })
    }
  }
  return requests.sort((a, b) => a.at - b.at)
}

function computeWeight(index: number): number {
  return 1 / (index + 1)
}

/** Adds random requests to both queues, and compares all their decisions. */
function expectSameDecisions(seed: number, account: string | undefined): void {
  const random = createRandom(seed)
  const pace = { ...PACE, batchMs: 100 + 300 * random() }
  const slots = { free: Math.floor(6 * random()), turnoverMs: 200 * random() }
  const queue = new AdmissionQueue(
    () => pace,
    () => slots,
  )
  const reference = new DueOrderQueue(
    () => pace,
    () => slots,
  )
  let now: Millis = 0
  for (let id = 1; id <= STEP_COUNT; id++) {
    now += 60 * random()
    slots.free = Math.floor(6 * random()) - 1
    const request = buildRandomRequest(id, now, random)
    queue.add({ ...request, ...(account !== undefined && { account }) }, now)
    reference.add(request, now)
    if (random() < 0.1) {
      const removed = Math.ceil(id * random())
      queue.remove(removed)
      reference.remove(removed)
    }
    if (random() < 0.3) continue
    expect(queue.takeDecisions(now), `seed ${seed}`).to.deep.equal(reference.takeDecisions(now))
    expect(queue.getNextTime()).to.equal(reference.getNextTime())
  }
}

function buildRandomRequest(id: number, now: Millis, random: () => number): AdmissionRequest {
  const objectiveAt = now + 200 + 1200 * random()
  return {
    id,
    promptTokens: Math.round(4000 * random()),
    outputTokens: Math.round(500 * random()),
    priority: Math.floor(3 * random()),
    objectiveAt,
    expiresAt: objectiveAt - 100 * random(),
    isLate: random() < 0.2,
  }
}

/** Creates a queue with a number of requests of the account `a`. */
function createQueue(count: number, changes: Partial<AdmissionRequest> = {}): AdmissionQueue {
  const queue = new AdmissionQueue(() => PACE)
  for (let id = 1; id <= count; id++) queue.add({ ...REQUEST, ...changes, id, account: "a" }, 0)
  return queue
}

function listGranted(decisions: readonly AdmissionDecision[]): readonly number[] {
  return decisions.flatMap(({ kind, id }) => (kind === "granted" ? [id] : []))
}

function listRefused(decisions: readonly AdmissionDecision[]): readonly number[] {
  return decisions.flatMap(({ kind, id }) => (kind === "refused" ? [id] : []))
}
