import { expect } from "chai"
import fc from "fast-check"
import {
  checkConfiguration,
  INITIAL_STORED_CONFIGURATION,
  formatStoredConfiguration,
} from "@galenaway/config"
import {
  type ActiveConfiguration,
  ConfigurationWatcher,
  defaultActiveConfiguration,
} from "@galenaway/daemon"
import { noopRecorder } from "@galenaway/observe"
import {
  buildDocuments,
  createActiveConfiguration,
  createMemoryLog,
  createTiming,
} from "./configuration-support.js"

const SEED = 23
const RUN_COUNT = 300
const INSTANCE_COUNT = 3
const DOCUMENTS = buildDocuments(30)

it("refuses a damaged document, once in the log, and keeps the last good one", () => {
  const { lines, log } = createMemoryLog()
  const activeConfiguration = createActiveConfiguration(log)
  activeConfiguration.offer(1, DOCUMENTS[0] ?? "")
  const accepted = [activeConfiguration.offer(2, "{}"), activeConfiguration.offer(2, "{}")]
  const refusals = lines.filter((line) => line.includes("configuration refused"))
  expect([accepted, activeConfiguration.revision, refusals.length]).to.deep.equal([
    [false, false],
    1,
    1,
  ])
})

it("refuses a document under a revision that is not its own", () => {
  expect(createActiveConfiguration().offer(9, DOCUMENTS[0] ?? "")).to.equal(false)
})

it("gives the policy of an exception's subject", () => {
  const origin = { reason: "season", author: "maria", date: "2026-01-31" }
  const exception = { match: { endpoint: "engine-1" }, set: { retryShare: 0.5 }, ...origin }
  const { configuration } = checkConfiguration({ exceptions: [exception] })
  const activeConfiguration = createActiveConfiguration()
  activeConfiguration.offer(
    1,
    formatStoredConfiguration({ ...INITIAL_STORED_CONFIGURATION, revision: 1, configuration }),
  )
  const shares = [
    activeConfiguration.getPolicy({ endpoint: "engine-1" }),
    activeConfiguration.getPolicy(),
  ]
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
async function runHistory(steps: readonly FleetStep[], create: () => ActiveConfiguration) {
  const activeConfigurations = Array.from({ length: INSTANCE_COUNT }, create)
  const watches = activeConfigurations.map((_, index) => createWatch(activeConfigurations, index))
  let written = 0
  for (const step of steps) {
    const before = activeConfigurations.map((each) => each.revision)
    if (step.kind === "write") written = Math.min(written + 1, DOCUMENTS.length)
    else if (step.kind === "watch") {
      const revision = Math.max(0, written - step.lag)
      activeConfigurations[step.to]?.offer(revision, DOCUMENTS[revision - 1] ?? "")
    } else if (step.kind === "heartbeat") {
      await watches[step.to]?.handleRevision(
        `${step.from}`,
        activeConfigurations[step.from]?.revision ?? 0,
      )
    } else {
      activeConfigurations[step.to] = create()
      watches[step.to] = createWatch(activeConfigurations, step.to)
      await watches[step.to]?.fetchFromPeers()
      before[step.to] = Math.max(...before.filter((_, index) => index !== step.to))
    }
    if (activeConfigurations.some((each, index) => each.revision < (before[index] ?? 0)))
      return false
  }
  activeConfigurations[0]?.offer(written, DOCUMENTS[written - 1] ?? "")
  for (const watch of watches) await watch.fetchFromPeers()
  return activeConfigurations.every((each) => each.revision === written)
}

function createWatch(activeConfigurations: readonly ActiveConfiguration[], self: number) {
  const peers = {
    listPeers: () =>
      activeConfigurations.map((_, index) => `${index}`).filter((id) => id !== `${self}`),
    fetch: (peer: string, aboveRevision: number) => {
      const { revision = 0, document = "" } = activeConfigurations[Number(peer)] ?? {}
      const isHigher = revision > 0 && (revision > aboveRevision || aboveRevision === Infinity)
      return Promise.resolve(isHigher ? { revision, document } : undefined)
    },
  }
  const activeConfiguration: ActiveConfiguration = {
    ...defaultActiveConfiguration,
    get revision() {
      return activeConfigurations[self]?.revision ?? 0
    },
    offer: (revision, document) => activeConfigurations[self]?.offer(revision, document) ?? false,
  }
  const platform = {
    read: () => Promise.resolve(undefined),
    watch: () => Promise.resolve(undefined),
  }
  const { log } = createMemoryLog()
  const timing = createTiming()
  return new ConfigurationWatcher({
    platform,
    peers,
    activeConfiguration,
    timing,
    log,
    recorder: noopRecorder,
  })
}

/** Creates a faulty active configuration that applies every document, also one of a lower revision. */
function createFaultyActiveConfiguration(): ActiveConfiguration {
  const state = { revision: 0, document: "" }
  return {
    ...defaultActiveConfiguration,
    get revision() {
      return state.revision
    },
    get document() {
      return state.document
    },
    offer: (revision, document) => Boolean(Object.assign(state, { revision, document })),
  }
}

function checkHistories(create: () => ActiveConfiguration) {
  const property = fc.asyncProperty(HISTORY_STEPS, (steps) => runHistory(steps, create))
  return fc.check(property, { seed: SEED, numRuns: RUN_COUNT })
}

it("never goes back to a lower revision, and every instance reaches the highest", async () => {
  const { counterexample } = await checkHistories(createActiveConfiguration)
  expect(counterexample).to.equal(null)
})

it("detects an active configuration that goes back to a lower revision", async () => {
  const { failed } = await checkHistories(createFaultyActiveConfiguration)
  expect(failed).to.equal(true)
})
