import { expect } from "chai"
import fc from "fast-check"
import {
  checkConfiguration,
  INITIAL_STORED_CONFIGURATION,
  formatStoredConfiguration,
} from "@galenaway/config"
import { type ConfigurationKeeper, ConfigurationWatcher, defaultKeeper } from "@galenaway/daemon"
import { noopRecorder } from "@galenaway/observe"
import {
  buildDocuments,
  createKeeper,
  createMemoryLog,
  createTiming,
} from "./configuration-support.js"

const SEED = 23
const RUN_COUNT = 300
const INSTANCE_COUNT = 3
const DOCUMENTS = buildDocuments(30)

it("refuses a damaged document, once in the log, and keeps the last good one", () => {
  const { lines, log } = createMemoryLog()
  const keeper = createKeeper(log)
  keeper.offer(1, DOCUMENTS[0] ?? "")
  const accepted = [keeper.offer(2, "{}"), keeper.offer(2, "{}")]
  const refusals = lines.filter((line) => line.includes("configuration refused"))
  expect([accepted, keeper.revision, refusals.length]).to.deep.equal([[false, false], 1, 1])
})

it("refuses a document under a revision that is not its own", () => {
  expect(createKeeper().offer(9, DOCUMENTS[0] ?? "")).to.equal(false)
})

it("gives the policy of an exception's subject", () => {
  const origin = { reason: "season", author: "maria", date: "2026-01-31" }
  const exception = { match: { endpoint: "engine-1" }, set: { retryShare: 0.5 }, ...origin }
  const { configuration } = checkConfiguration({ exceptions: [exception] })
  const keeper = createKeeper()
  keeper.offer(
    1,
    formatStoredConfiguration({ ...INITIAL_STORED_CONFIGURATION, revision: 1, configuration }),
  )
  const shares = [keeper.getPolicy({ endpoint: "engine-1" }), keeper.getPolicy()]
  expect(shares.map((each) => each.retryShare)).to.deep.equal([0.5, 0.1])
})

/** A step of a history: a change is written, a watch returns a late revision, a heartbeat is received, or an instance restarts while the platform is down. */
type FleetStep =
  | { readonly kind: "write" }
  | { readonly kind: "watch"; readonly to: number; readonly lag: number }
  | { readonly kind: "heartbeat"; readonly from: number; readonly to: number }
  | { readonly kind: "restart"; readonly to: number }

const INSTANCE_INDEX = fc.nat(INSTANCE_COUNT - 1)
const STEP: fc.Arbitrary<FleetStep> = fc.oneof(
  fc.record({ kind: fc.constant("write" as const) }),
  fc.record({ kind: fc.constant("watch" as const), to: INSTANCE_INDEX, lag: fc.nat(4) }),
  fc.record({ kind: fc.constant("heartbeat" as const), from: INSTANCE_INDEX, to: INSTANCE_INDEX }),
  fc.record({ kind: fc.constant("restart" as const), to: INSTANCE_INDEX }),
)
const HISTORY_STEPS = fc.array(STEP, { maxLength: 30 })

/** Runs a history. Returns false when a revision decreases, when a restarted instance has a lower revision than a peer, or when an instance doesn't reach the highest revision. */
async function runHistory(steps: readonly FleetStep[], create: () => ConfigurationKeeper) {
  const keepers = Array.from({ length: INSTANCE_COUNT }, create)
  const watches = keepers.map((_, index) => createWatch(keepers, index))
  let written = 0
  for (const step of steps) {
    const before = keepers.map((each) => each.revision)
    if (step.kind === "write") written = Math.min(written + 1, DOCUMENTS.length)
    else if (step.kind === "watch") {
      const revision = Math.max(0, written - step.lag)
      keepers[step.to]?.offer(revision, DOCUMENTS[revision - 1] ?? "")
    } else if (step.kind === "heartbeat") {
      await watches[step.to]?.handleRevision(`${step.from}`, keepers[step.from]?.revision ?? 0)
    } else {
      keepers[step.to] = create()
      watches[step.to] = createWatch(keepers, step.to)
      await watches[step.to]?.fetchFromPeers()
      before[step.to] = Math.max(...before.filter((_, index) => index !== step.to))
    }
    if (keepers.some((each, index) => each.revision < (before[index] ?? 0))) return false
  }
  keepers[0]?.offer(written, DOCUMENTS[written - 1] ?? "")
  for (const watch of watches) await watch.fetchFromPeers()
  return keepers.every((each) => each.revision === written)
}

function createWatch(keepers: readonly ConfigurationKeeper[], self: number) {
  const peers = {
    listPeers: () => keepers.map((_, index) => `${index}`).filter((id) => id !== `${self}`),
    fetch: (peer: string, aboveRevision: number) => {
      const { revision = 0, document = "" } = keepers[Number(peer)] ?? {}
      const isHigher = revision > 0 && (revision > aboveRevision || aboveRevision === Infinity)
      return Promise.resolve(isHigher ? { revision, document } : undefined)
    },
  }
  const keeper: ConfigurationKeeper = {
    ...defaultKeeper,
    get revision() {
      return keepers[self]?.revision ?? 0
    },
    offer: (revision, document) => keepers[self]?.offer(revision, document) ?? false,
  }
  const platform = {
    read: () => Promise.resolve(undefined),
    watch: () => Promise.resolve(undefined),
  }
  const { log } = createMemoryLog()
  const timing = createTiming()
  return new ConfigurationWatcher({ platform, peers, keeper, timing, log, recorder: noopRecorder })
}

/** Creates a faulty keeper that applies every document, also one of a lower revision. */
function createFaultyKeeper(): ConfigurationKeeper {
  const state = { revision: 0, document: "" }
  return {
    ...defaultKeeper,
    get revision() {
      return state.revision
    },
    get document() {
      return state.document
    },
    offer: (revision, document) => Boolean(Object.assign(state, { revision, document })),
  }
}

function checkHistories(create: () => ConfigurationKeeper) {
  const property = fc.asyncProperty(HISTORY_STEPS, (steps) => runHistory(steps, create))
  return fc.check(property, { seed: SEED, numRuns: RUN_COUNT })
}

it("never goes back to a lower revision, and every instance reaches the highest", async () => {
  const { counterexample } = await checkHistories(createKeeper)
  expect(counterexample).to.equal(null)
})

it("detects a keeper that goes back to a lower revision", async () => {
  const { failed } = await checkHistories(createFaultyKeeper)
  expect(failed).to.equal(true)
})
