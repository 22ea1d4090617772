import { type ChildProcess, spawn } from "node:child_process"
import { readdirSync, readFileSync } from "node:fs"
import { Agent } from "node:http"
import { fileURLToPath } from "node:url"
import { Command } from "commander"
import { startProcess } from "@galenaway/demo"
import { type EntrySettings, formatVariable } from "@galenaway/entry"
import {
  buildConfiguration,
  buildModelHeaders,
  findInstanceAddresses,
  type InstanceAddresses,
  MODEL,
  type RunningEndpoint,
  type RunningStore,
  sendEntryRequest,
  startEndpoint,
  startStore,
} from "@galenaway/platform/stand-in"

/**
 * Measures the processor time of instances of the bundle in a fleet: for its
 * start, for an idle second, and for one of its first requests. The other
 * instances share one process; the store and the endpoints run in this one.
 */
const ENGINE_COUNT = 63
const SERVICE_COUNT = 4
const DATA_CENTRES = ["dc-a", "dc-b", "dc-c", "dc-d"]
const EVENT_COUNT = 14
const ADAPTER_COUNT = 40
const HEARTBEAT_INTERVAL_MS = 1000
/** Time in which a started fleet elects its owners and opens its links. */
const SETTLE_MS = 6000
const IDLE_MS = 20_000
const REQUEST_GAP_MS = 20
const NS_PER_MS = 1_000_000
const READY_POLL_MS = 10
const SEED_COUNT = 3

interface Options {
  readonly instances: string
  readonly requests: string
  readonly variants: string
  readonly profile?: string
  readonly owner: boolean
}

/** An instance whose processor time is measured. */
interface MeasuredInstance {
  /** What it runs: flags of node and a program. */
  readonly variant: string
  readonly entry: string
  readonly process: ChildProcess
  readonly agent: Agent
  /** Share of a core that it uses without requests. */
  idleShare: number
}

const BUNDLE = fileURLToPath(new URL("../../../target/galenaway-entry.mjs", import.meta.url))

const options = new Command()
  .option("--instances <count>", "size of the fleet", "36")
  .option("--requests <count>", "number of requests of each kind", "200")
  .option(
    "--variants <list>",
    "flags of node and programs, separated by commas; one instance of the same fleet measures each",
    BUNDLE,
  )
  .option("--profile <directory>", "write CPU profiles of the measured instances")
  .option("--owner", "start the measured instances first, so that they own engines", false)
  .parse()
  .opts<Options>()

const store = await startStore()
const engines = await startEndpoints("e", ENGINE_COUNT, MODEL)
const services = await startEndpoints("s", SERVICE_COUNT, undefined)
for (const engine of engines) engine.eventCount = EVENT_COUNT
store.store.put("op/config", buildConfiguration(1))
registerAll(store, engines, services)
setInterval(() => {
  registerAll(store, engines, services)
}, HEARTBEAT_INTERVAL_MS)

const variants = options.variants.split(",")
const fleet = await buildFleet(Number(options.instances), store.address)
const startPeers = () =>
  startProcess({
    name: "peers",
    script: fileURLToPath(new URL("processor-time-peers.js", import.meta.url)),
    args: [JSON.stringify(fleet.slice(variants.length))],
  })
const earlyPeers = options.owner ? undefined : await startPeers()
if (earlyPeers) await wait(SETTLE_MS)
const instances: MeasuredInstance[] = []
for (const [index, settings] of fleet.slice(0, variants.length).entries()) {
  const instance = startInstance(variants[index] ?? BUNDLE, settings)
  await waitUntilReady(settings.readyListen)
  printFigure("start", instance, readProcessorMs(instance))
  instances.push(instance)
}
const peers = earlyPeers ?? (await startPeers())
await wait(SETTLE_MS)
await measureIdle()
await measureRequests("streamed request", "/ask/q", (n) =>
  buildModelHeaders(`a${n % ADAPTER_COUNT}`),
)
await measureRequests("plain call", "/book/v", () => ({}))
await Promise.all(instances.map(stopInstance))
peers.child.kill("SIGKILL")
process.exit(0)

function startEndpoints(
  prefix: string,
  count: number,
  model: string | undefined,
): Promise<RunningEndpoint[]> {
  const ids = Array.from({ length: count }, (_, index) => `${prefix}${index}`)
  return Promise.all(ids.map((id) => startEndpoint(id, model)))
}

function registerAll(
  { store }: RunningStore,
  engines: readonly RunningEndpoint[],
  services: readonly RunningEndpoint[],
): void {
  const put = (endpoint: RunningEndpoint, service: string, index: number) => {
    store.put(`servers/${endpoint.id}`, endpoint.buildRegistration(service, getDataCentre(index)))
  }
  for (const [index, engine] of engines.entries()) put(engine, "assistant", index)
  for (const [index, service] of services.entries()) put(service, "desk", index)
}

function getDataCentre(index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length] ?? "dc-a"
}

async function buildFleet(count: number, storeAddress: string): Promise<EntrySettings[]> {
  const addresses: InstanceAddresses[] = []
  while (addresses.length < count) addresses.push(await findInstanceAddresses())
  const seeds = addresses.slice(0, SEED_COUNT).map(({ peer }) => peer)
  return addresses.map(({ caller, ready, peer, metrics }, index) => ({
    id: `entry-${index}`,
    dataCentre: getDataCentre(index),
    listen: caller,
    readyListen: ready,
    peerListen: peer,
    metricsListen: metrics,
    store: storeAddress,
    seeds,
    leaseMs: 3000,
    configurationLimitMs: 2000,
    versionLimitMs: 5000,
    drainLimitMs: 2000,
    stopLimitS: 8,
    retryShare: 0.2,
    retryWindowS: 10,
    retryFixed: 20,
    quotaWindowS: 8,
    quotaExcess: 0.1,
    quotaSlack: 0,
    memoryMb: 1024,
    cpuShare: 1,
    cores: 1,
    transferMs: 0,
    logLevel: index === 0 ? "info" : "error",
  }))
}

function startInstance(variant: string, settings: EntrySettings): MeasuredInstance {
  const { profile } = options
  const args = variant.split(" ")
  if (profile !== undefined) args.unshift("--cpu-prof", `--cpu-prof-dir=${profile}`)
  const variables = Object.entries(settings).map(([name, value]) => [
    formatVariable(name),
    String(value),
  ])
  const child = spawn(process.execPath, args, {
    stdio: ["ignore", "ignore", "inherit"],
    env: { ...process.env, ...(Object.fromEntries(variables) as Record<string, string>) },
  })
  process.once("exit", () => child.kill("SIGKILL"))
  const agent = new Agent({ keepAlive: true })
  return { variant, entry: settings.listen, process: child, agent, idleShare: 0 }
}

async function stopInstance({ process: child, agent }: MeasuredInstance): Promise<void> {
  agent.destroy()
  child.kill("SIGTERM")
  await new Promise((resolve) => child.once("exit", resolve))
}

async function waitUntilReady(address: string): Promise<void> {
  for (;;) {
    const status = await fetch(`http://${address}/-/ready`).then(
      (response) => response.status,
      () => 0,
    )
    if (status === 200) return
    await wait(READY_POLL_MS)
  }
}

async function measureIdle(): Promise<void> {
  const before = instances.map(readProcessorMs)
  await wait(IDLE_MS)
  for (const [index, instance] of instances.entries()) {
    instance.idleShare = (readProcessorMs(instance) - (before[index] ?? 0)) / IDLE_MS
    printFigure("idle second", instance, instance.idleShare * 1000)
  }
}

/** Sends requests to all measured instances in turn. Their idle time is subtracted. */
async function measureRequests(
  name: string,
  path: string,
  buildHeaders: (index: number) => Record<string, string>,
): Promise<void> {
  const count = Number(options.requests)
  const [connectionsBefore, ordersBefore] = [countConnections(), countOrders()]
  const startedAt = performance.now()
  const before = instances.map(readProcessorMs)
  let served = 0
  for (let index = 0; index < count; index++) {
    const answers = instances.map(({ entry, agent }) =>
      sendEntryRequest(entry, path, buildHeaders(index), "hello", agent),
    )
    for (const { status } of await Promise.all(answers)) if (status === 200) served++
    await wait(REQUEST_GAP_MS)
  }
  const elapsedMs = performance.now() - startedAt
  for (const [index, instance] of instances.entries()) {
    const ms = readProcessorMs(instance) - (before[index] ?? 0) - elapsedMs * instance.idleShare
    printFigure(name, instance, ms / count)
  }
  const connections = countConnections() - connectionsBefore
  const orders = countOrders() - ordersBefore
  console.log(
    `  served ${served} of ${count * instances.length}; connections to endpoints ${connections}, orders ${orders}`,
  )
}

function countConnections(): number {
  return [...engines, ...services].reduce((sum, { connectionCount }) => sum + connectionCount, 0)
}

function countOrders(): number {
  return engines.flatMap(({ arrivals }) => arrivals).filter(({ kind }) => kind === "order").length
}

/** Reads the processor time of an instance, of all its threads. */
function readProcessorMs({ process: { pid } }: MeasuredInstance): number {
  const tasks = `/proc/${pid ?? 0}/task`
  const readTaskNs = (task: string) =>
    Number(readFileSync(`${tasks}/${task}/schedstat`, "utf8").split(" ")[0])
  return readdirSync(tasks).reduce((sum, task) => sum + readTaskNs(task), 0) / NS_PER_MS
}

function printFigure(name: string, { variant }: MeasuredInstance, ms: number): void {
  console.log(`${name}: ${ms.toFixed(2)} ms (${variant})`)
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
