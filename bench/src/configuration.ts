import { build } from "hdr-histogram-js"
import { Agent } from "undici"
import {
  checkConfiguration,
  DEFAULT_CONFIGURATION,
  type EditedConfiguration,
} from "@galenaway/config"
import { PlatformError } from "@galenaway/core"
import {
  type ConfigurationPeers,
  ConfigurationWatcher,
  ConfigurationWriter,
  ConsulPlatform,
  StoredActiveConfiguration,
  systemTiming,
  type ConfigurationWatcherDependencies,
} from "@galenaway/daemon"
import { type FakePlatform, startPlatform } from "@galenaway/fakes"
import { createLog, noopRecorder } from "@galenaway/observe"

/**
 * Measures the time from a change until it is in force on every instance, and
 * the calls to the platform's service for each change. All instances run in one
 * process against the stand-in. In the second case one instance can't reach the
 * platform and receives changes from its peers after their heartbeats, which
 * are direct calls here.
 */
const INSTANCE_COUNTS = [4, 16, 32] as const
const CHANGE_COUNT = 20
const HEARTBEAT_INTERVAL_MS = 500
const POLL_INTERVAL_MS = 1
/** Time after the first change until every instance has stopped polling for a first configuration and watches. */
const WARM_UP_MS = 2000
/** Time limit for a change to be in force. It is only printed beside the result. */
const TARGET_MS = 4000

type Case = "all connected" | "one cut off"

interface Instance {
  readonly activeConfiguration: StoredActiveConfiguration
  readonly watcher: ConfigurationWatcher
}

interface Result {
  /** Number of instances. */
  readonly size: number
  /** Calls to the platform for each change. */
  readonly calls: number
}

for (const name of ["all connected", "one cut off"] as const) {
  const results: Result[] = []
  for (const size of INSTANCE_COUNTS) results.push(await measureSize(name, size))
  console.log(`${name}: ${computeSlope(results).toFixed(2)} calls a change for each more instance`)
}

async function measureSize(name: Case, size: number): Promise<Result> {
  const platform = await startPlatform()
  const agent = new Agent()
  const connectedPlatform = new ConsulPlatform(platform.url, agent)
  const instances: Instance[] = []
  for (let index = 0; index < size; index++) {
    const isCutOff = name === "one cut off" && index === size - 1
    instances.push(
      createInstance(isCutOff ? createUnreachablePlatform() : connectedPlatform, instances),
    )
  }
  const timer = setInterval(() => {
    sendHeartbeats(instances)
  }, HEARTBEAT_INTERVAL_MS)
  try {
    return await measureChanges(name, connectedPlatform, platform, instances)
  } finally {
    clearInterval(timer)
    await Promise.all(instances.map((instance) => instance.watcher.stop()))
    await agent.close()
    await platform.close()
  }
}

async function measureChanges(
  name: Case,
  connectedPlatform: ConsulPlatform,
  platform: FakePlatform,
  instances: readonly Instance[],
): Promise<Result> {
  const [first] = instances
  if (!first) throw new Error("the fleet has no instance")
  const dependencies = {
    platform: connectedPlatform,
    activeConfiguration: first.activeConfiguration,
    timing: systemTiming,
    log: createSilentLog(),
  }
  const writer = new ConfigurationWriter(dependencies)
  for (const instance of instances) instance.watcher.start()
  await measureChange(writer, instances, 0)
  await waitMs(WARM_UP_MS)
  const times = build({ highestTrackableValue: 60_000 })
  const callsBefore = countCalls(platform)
  for (let change = 1; change <= CHANGE_COUNT; change++)
    times.recordValue(await measureChange(writer, instances, change))
  const calls = (countCalls(platform) - callsBefore) / CHANGE_COUNT
  const bytes = Buffer.byteLength(first.activeConfiguration.document)
  const [p50, max] = [times.getValueAtPercentile(50), times.maxValue]
  console.log(
    `${name}, ${instances.length} instances: in force p50=${p50} ms max=${max} ms (target ${TARGET_MS} ms), ${calls.toFixed(1)} calls a change, ${bytes} bytes with ${first.activeConfiguration.stored.history.length} changes of history`,
  )
  return { size: instances.length, calls }
}

/** Writes a change and waits until it is in force on every instance. Returns the time in milliseconds. */
async function measureChange(
  writer: ConfigurationWriter,
  instances: readonly Instance[],
  change: number,
): Promise<number> {
  const start = performance.now()
  const origin = { id: `change-${change}`, author: "bench", reason: "bench", at: "2026-01-31" }
  await writer.change(buildConfiguration(change), origin)
  while (instances.some((instance) => instance.activeConfiguration.revision <= change))
    await waitMs(POLL_INTERVAL_MS)
  return Math.round(performance.now() - start)
}

function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

function buildConfiguration(change: number): EditedConfiguration {
  const { loads } = DEFAULT_CONFIGURATION.defaults
  const defaults = { loads: { burst: loads.burst + 1 + (change % 2) } }
  return checkConfiguration({ revision: change, defaults })
}

function createInstance(
  platform: ConfigurationWatcherDependencies["platform"],
  instances: readonly Instance[],
): Instance {
  const log = createSilentLog()
  const activeConfiguration = new StoredActiveConfiguration(log, noopRecorder)
  const peers: ConfigurationPeers = {
    listPeers: () => [],
    fetch: (peer) => {
      const { revision = 0, document = "" } = instances[Number(peer)]?.activeConfiguration ?? {}
      return Promise.resolve({ revision, document })
    },
  }
  const dependencies = {
    platform,
    peers,
    activeConfiguration,
    timing: systemTiming,
    log,
    recorder: noopRecorder,
  }
  return { activeConfiguration, watcher: new ConfigurationWatcher(dependencies) }
}

/** Sends every instance the revisions of all others. The id of a peer is its index. */
function sendHeartbeats(instances: readonly Instance[]): void {
  for (const receiver of instances)
    instances.forEach((sender, index) => {
      if (sender !== receiver)
        void receiver.watcher.handleRevision(`${index}`, sender.activeConfiguration.revision)
    })
}

function createUnreachablePlatform(): ConfigurationWatcherDependencies["platform"] {
  const fail = () => Promise.reject(new PlatformError("platform", "unreachable"))
  return { read: fail, watch: fail }
}

function createSilentLog() {
  return createLog("error", { instance: "bench", dataCentre: "bench" }, { write: () => undefined })
}

function countCalls({ counters }: FakePlatform): number {
  return counters.reads + counters.writes + counters.watches
}

/** Computes the slope of calls over instances by least squares. */
function computeSlope(results: readonly Result[]): number {
  const meanSize = results.reduce((sum, result) => sum + result.size, 0) / results.length
  const meanCalls = results.reduce((sum, result) => sum + result.calls, 0) / results.length
  const covariance = results.reduce(
    (sum, result) => sum + (result.size - meanSize) * (result.calls - meanCalls),
    0,
  )
  const variance = results.reduce((sum, result) => sum + (result.size - meanSize) ** 2, 0)
  return covariance / variance
}
