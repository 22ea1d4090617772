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
  StoredConfigurationKeeper,
  systemTiming,
  type ConfigurationWatcherDependencies,
} from "@galenaway/daemon"
import { type FakePlatform, startPlatform } from "@galenaway/fakes"
import { createLog, noopRecorder } from "@galenaway/observe"

/**
 * Measures the time from a change until it is in force on every instance, and
 * the calls to the platform's service for each change, with keepers in one
 * process against the stand-in. In the second case one instance is cut off
 * from the platform and learns of changes by its peers' heartbeats, which are
 * calls in the process here.
 */
const SIZES = [4, 16, 32] as const
const CHANGES = 20
const HEARTBEAT_MS = 500
const POLL_MS = 1
/** After the first change, until every instance watches instead of polling for a first configuration. */
const WARM_UP_MS = 2000
const TARGET_MS = 4000

type Case = "all connected" | "one cut off"

interface Instance {
  readonly keeper: StoredConfigurationKeeper
  readonly watch: ConfigurationWatcher
}

interface Result {
  readonly size: number
  readonly calls: number
}

for (const name of ["all connected", "one cut off"] as const) {
  const results: Result[] = []
  for (const size of SIZES) results.push(await measureSize(name, size))
  console.log(`${name}: ${computeSlope(results).toFixed(2)} calls a change for each more instance`)
}

async function measureSize(name: Case, size: number): Promise<Result> {
  const platform = await startPlatform()
  const agent = new Agent()
  const port = new ConsulPlatform(platform.url, agent)
  const instances: Instance[] = []
  for (let index = 0; index < size; index++) {
    const isCut = name === "one cut off" && index === size - 1
    instances.push(createInstance(isCut ? createLostPlatform() : port, instances))
  }
  const timer = setInterval(() => {
    sendHeartbeats(instances)
  }, HEARTBEAT_MS)
  try {
    return await measureChanges(name, port, platform, instances)
  } finally {
    clearInterval(timer)
    await Promise.all(instances.map((each) => each.watch.stop()))
    await agent.close()
    await platform.close()
  }
}

async function measureChanges(
  name: Case,
  port: ConsulPlatform,
  platform: FakePlatform,
  instances: readonly Instance[],
): Promise<Result> {
  const [first] = instances
  if (!first) throw new Error("no instance")
  const parts = {
    platform: port,
    keeper: first.keeper,
    timing: systemTiming,
    log: createQuietLog(),
  }
  const writer = new ConfigurationWriter(parts)
  for (const each of instances) each.watch.start()
  await changeEverywhere(writer, instances, 0)
  await waitMs(WARM_UP_MS)
  const times = build({ highestTrackableValue: 60_000 })
  const before = countCalls(platform)
  for (let change = 1; change <= CHANGES; change++)
    times.recordValue(await changeEverywhere(writer, instances, change))
  const calls = (countCalls(platform) - before) / CHANGES
  const bytes = Buffer.byteLength(first.keeper.document)
  const [p50, max] = [times.getValueAtPercentile(50), times.maxValue]
  console.log(
    `${name}, ${instances.length} instances: in force p50=${p50} ms max=${max} ms (target ${TARGET_MS} ms), ${calls.toFixed(1)} calls a change, ${bytes} bytes with ${first.keeper.stored.history.length} changes of history`,
  )
  return { size: instances.length, calls }
}

/** Makes a change and waits until every keeper has it. Returns the time in milliseconds. */
async function changeEverywhere(
  writer: ConfigurationWriter,
  instances: readonly Instance[],
  turn: number,
): Promise<number> {
  const start = performance.now()
  const origin = { id: `change-${turn}`, author: "bench", reason: "bench", at: "2026-01-31" }
  await writer.change(buildEdited(turn), origin)
  while (instances.some((each) => each.keeper.revision <= turn)) await waitMs(POLL_MS)
  return Math.round(performance.now() - start)
}

function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

function buildEdited(turn: number): EditedConfiguration {
  const { loads } = DEFAULT_CONFIGURATION.defaults
  const defaults = { loads: { burst: loads.burst + 1 + (turn % 2) } }
  return checkConfiguration({ revision: turn, defaults })
}

function createInstance(
  platform: ConfigurationWatcherDependencies["platform"],
  all: readonly Instance[],
): Instance {
  const log = createQuietLog()
  const keeper = new StoredConfigurationKeeper(log, noopRecorder)
  const peers: ConfigurationPeers = {
    listPeers: () => [],
    fetch: (peer) => {
      const { revision = 0, document = "" } = all[Number(peer)]?.keeper ?? {}
      return Promise.resolve({ revision, document })
    },
  }
  const parts = { platform, peers, keeper, timing: systemTiming, log, recorder: noopRecorder }
  return { keeper, watch: new ConfigurationWatcher(parts) }
}

/** Tells every instance the revision of every other one. */
function sendHeartbeats(instances: readonly Instance[]): void {
  for (const to of instances)
    instances.forEach((from, index) => {
      if (from !== to) void to.watch.handleRevision(`${index}`, from.keeper.revision)
    })
}

function createLostPlatform(): ConfigurationWatcherDependencies["platform"] {
  const fail = () => Promise.reject(new PlatformError("platform", "cut off"))
  return { read: fail, watch: fail }
}

function createQuietLog() {
  return createLog("error", { instance: "bench", dataCentre: "bench" }, { write: () => undefined })
}

function countCalls({ counters }: FakePlatform): number {
  return counters.reads + counters.writes + counters.watches
}

/** Fits a line by least squares. */
function computeSlope(results: readonly Result[]): number {
  const meanSize = results.reduce((sum, each) => sum + each.size, 0) / results.length
  const meanCalls = results.reduce((sum, each) => sum + each.calls, 0) / results.length
  const covariance = results.reduce(
    (sum, each) => sum + (each.size - meanSize) * (each.calls - meanCalls),
    0,
  )
  const variance = results.reduce((sum, each) => sum + (each.size - meanSize) ** 2, 0)
  return covariance / variance
}
