import { request as sendRequest } from "undici"
import {
  findFreePorts,
  resolveScript,
  startProcess,
  type StartedProcess,
  stopProcess,
} from "./process.js"

/** The data centres of a demo fleet. Instances and endpoints are assigned to them in turn. */
export const DATA_CENTRES = ["iloilo", "guimaras", "negros"] as const
/** The operators' key of the daemons of a demo fleet. */
export const OPERATOR_KEY = "demo-operator-key"
const PEER_KEY = "demo-peer-key"

/** The size and the settings of a fleet. */
export interface FleetOptions {
  /** The port of the balancer; 0 selects a free port. */
  readonly port: number
  /** The number of entry instances, by default 4. */
  readonly instances?: number
  /** The number of engines, by default 13. */
  readonly engines?: number
  /** The number of booking services, by default 3. */
  readonly bookings?: number
  /** The number of adapter slots of each engine, by default 8. */
  readonly slots?: number
  readonly router?: "naive" | "coordinated"
  /**
   * Whether each instance connects to the platform through its own proxy process.
   * The proxies are named `link-entry-1` and so on. Pausing one cuts its instance
   * off from the platform.
   */
  readonly hasPlatformLinks?: boolean
  /** Environment variables of every daemon. They override those that the launcher sets. */
  readonly env?: Readonly<Record<string, string>>
  /** Called with each chunk that a process writes to standard error. */
  readonly onLog?: (name: string, text: string) => void
}

/** An entry instance of a fleet. */
export interface FleetInstance {
  readonly id: string
  readonly dataCentre: string
  /** The URL for callers. */
  readonly url: string
  /** The URL of the operators' interface. */
  readonly operatorUrl: string
  /** The host and port for other instances. */
  readonly peerAddress: string
}

/** An endpoint of a fleet. */
export interface FleetEndpoint {
  readonly id: string
  readonly kind: "engine" | "service"
  readonly dataCentre: string
  readonly url: string
  readonly fencing: "checked" | "ignored"
}

/**
 * A running fleet. Its stand-ins and daemons are separate processes, named
 * `platform`, `store`, `balancer`, `engine-1`, `booking-1`, `entry-1` and so on.
 */
export interface Fleet {
  /** The balancer's URL. */
  readonly url: string
  readonly platformUrl: string
  /** The URL of the weight store. */
  readonly storeUrl: string
  readonly instances: readonly FleetInstance[]
  readonly endpoints: readonly FleetEndpoint[]
  /** Sends a signal to the process with this name. Does nothing if there is none. */
  signal(name: string, signal: NodeJS.Signals): void
  /** Sets fault switches of the stand-in with this name. Throws if the stand-in refuses them. */
  setFault(name: string, faults: Readonly<Record<string, unknown>>): Promise<void>
  /**
   * Returns the exit code of a process, or null if it is running, was terminated by a
   * signal, or doesn't exist.
   */
  getExitCode(name: string): number | null
  /** Returns the process id of a process, or undefined if there is none with this name. */
  getProcessId(name: string): number | undefined
  /** Waits until a process has exited. */
  waitForEnd(name: string): Promise<void>
  /** Starts an exited instance again with the same settings. */
  restartInstance(id: string): Promise<void>
  /** Stops all processes. */
  stop(): Promise<void>
}

const HTTP_OK = 200
const DEFAULT_INSTANCE_COUNT = 4
const DEFAULT_ENGINE_COUNT = 13
const DEFAULT_BOOKING_COUNT = 3
const DEFAULT_SLOT_COUNT = 8

/**
 * Starts a fleet on loopback: platform, weight store, endpoints, instances and
 * balancer. Returns when all of them are ready. If one fails to start, the
 * processes started so far are stopped and the error is thrown.
 */
export async function launchFleet(options: FleetOptions): Promise<Fleet> {
  const started = new Map<string, StartedProcess>()
  try {
    return await startAll(options, started)
  } catch (error) {
    await stopAll(started)
    throw error
  }
}

async function startAll(
  options: FleetOptions,
  started: Map<string, StartedProcess>,
): Promise<Fleet> {
  const launcher = createLauncher(options, started)
  const platformUrl = await launcher.startFake("platform", ["platform"])
  const storeUrl = await launcher.startFake("store", ["store"])
  const endpoints = await startEndpoints(options, launcher, storeUrl)
  const instances = await planInstances(options.instances ?? DEFAULT_INSTANCE_COUNT)
  const links = new Map<string, string>()
  if (options.hasPlatformLinks === true)
    for (const { id } of instances) links.set(id, await launcher.startLink(id, platformUrl))
  const startInstance = (instance: FleetInstance) =>
    launcher.startDaemon(instance, instances, endpoints, links.get(instance.id) ?? platformUrl)
  await Promise.all(instances.map(startInstance))
  const targets = instances.map((instance) => new URL(instance.url).host).join(",")
  const balancerArgs = ["balancer", "--port", String(options.port), "--targets", targets]
  const url = await launcher.startFake("balancer", balancerArgs)
  return {
    url,
    platformUrl,
    storeUrl,
    instances,
    endpoints,
    signal: (name, signal) => started.get(name)?.child.kill(signal),
    setFault: (name, faults) => launcher.setFault(name, faults),
    getExitCode: (name) => started.get(name)?.child.exitCode ?? null,
    getProcessId: (name) => started.get(name)?.child.pid,
    waitForEnd: async (name) => started.get(name)?.ended,
    restartInstance: async (id) => {
      const instance = instances.find((each) => each.id === id)
      if (instance) await startInstance(instance)
    },
    stop: () => stopAll(started),
  }
}

function createLauncher(options: FleetOptions, started: Map<string, StartedProcess>) {
  const onLog = (name: string) => (text: string) => options.onLog?.(name, text)
  const urls = new Map<string, string>()
  const startFake = async (name: string, args: readonly string[]): Promise<string> => {
    const script = resolveScript("fakes", "main.js")
    const child = await startProcess({ name, script, args, onLog: onLog(name) })
    started.set(name, child)
    const url = child.readyText.replace(/^url=/, "")
    urls.set(name, url)
    return url
  }
  const startLink = (id: string, url: string): Promise<string> =>
    startFake(`link-${id}`, ["balancer", "--targets", new URL(url).host])
  const setFault = async (name: string, faults: Readonly<Record<string, unknown>>) => {
    const options = { method: "POST", body: JSON.stringify(faults) } as const
    const { statusCode, body } = await sendRequest(`${urls.get(name) ?? name}/faults`, options)
    await body.dump()
    if (statusCode !== HTTP_OK)
      throw new Error(`${name}: POST /faults returned status ${statusCode}`)
  }
  const startDaemon = async (
    instance: FleetInstance,
    all: readonly FleetInstance[],
    endpoints: readonly FleetEndpoint[],
    platformUrl: string,
  ): Promise<void> => {
    const child = await startProcess({
      name: instance.id,
      script: resolveScript("daemon", "main.js"),
      args: [],
      env: {
        GALENAWAY_ID: instance.id,
        GALENAWAY_DATA_CENTRE: instance.dataCentre,
        GALENAWAY_LISTEN: new URL(instance.url).host,
        GALENAWAY_PEER_LISTEN: instance.peerAddress,
        GALENAWAY_OPERATOR_LISTEN: new URL(instance.operatorUrl).host,
        GALENAWAY_PLATFORM_URL: platformUrl,
        GALENAWAY_PEERS: all
          .filter((each) => each !== instance)
          .map((each) => each.peerAddress)
          .join(","),
        GALENAWAY_ENDPOINTS: endpoints
          .map((each) => formatEndpoint(each, options.slots ?? DEFAULT_SLOT_COUNT))
          .join(";"),
        GALENAWAY_ROUTER: options.router ?? "coordinated",
        GALENAWAY_OPERATOR_KEY: OPERATOR_KEY,
        GALENAWAY_PEER_KEY: PEER_KEY,
        ...options.env,
      },
      onLog: onLog(instance.id),
    })
    started.set(instance.id, child)
  }
  return { startFake, startLink, startDaemon, setFault }
}

async function startEndpoints(
  options: FleetOptions,
  launcher: ReturnType<typeof createLauncher>,
  storeUrl: string,
): Promise<FleetEndpoint[]> {
  const slots = String(options.slots ?? DEFAULT_SLOT_COUNT)
  const engines = createNames("engine", options.engines ?? DEFAULT_ENGINE_COUNT)
  const bookings = createNames("booking", options.bookings ?? DEFAULT_BOOKING_COUNT)
  const startEngine = async (id: string, index: number): Promise<FleetEndpoint> => {
    // Every third engine ignores fencing tokens, as the engines of some users do.
    const fencing = index % 3 === 2 ? "ignored" : "checked"
    const settings = ["--slots", slots, "--store", storeUrl, "--fencing", fencing]
    const url = await launcher.startFake(id, ["engine", "--id", id, ...settings])
    return { id, kind: "engine", dataCentre: chooseDataCentre(index), url, fencing }
  }
  const startBooking = async (id: string, index: number): Promise<FleetEndpoint> => {
    const url = await launcher.startFake(id, ["booking", "--id", id])
    const dataCentre = chooseDataCentre(index)
    return { id, kind: "service", dataCentre, url, fencing: "ignored" }
  }
  return Promise.all([...engines.map(startEngine), ...bookings.map(startBooking)])
}

async function planInstances(count: number): Promise<FleetInstance[]> {
  const ports = await findFreePorts(count * 3)
  return createNames("entry", count).map((id, index) => ({
    id,
    dataCentre: chooseDataCentre(index),
    url: `http://127.0.0.1:${ports[index * 3] ?? 0}`,
    operatorUrl: `http://127.0.0.1:${ports[index * 3 + 1] ?? 0}`,
    peerAddress: `127.0.0.1:${ports[index * 3 + 2] ?? 0}`,
  }))
}

function createNames(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index + 1}`)
}

function chooseDataCentre(index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length] ?? DATA_CENTRES[0]
}

function formatEndpoint(endpoint: FleetEndpoint, slots: number): string {
  const { id, kind, dataCentre, url, fencing } = endpoint
  const slotCount = kind === "engine" ? slots : 0
  return `id=${id},kind=${kind},dc=${dataCentre},url=${url},fencing=${fencing},slots=${slotCount}`
}

/** Stops the daemons before the stand-ins, which the daemons use while they stop. */
async function stopAll(started: ReadonlyMap<string, StartedProcess>): Promise<void> {
  const all = [...started.entries()]
  const daemons = all.filter(([name]) => name.startsWith("entry-"))
  const standIns = all.filter(([name]) => !name.startsWith("entry-"))
  await Promise.all(daemons.map(([, child]) => stopProcess(child)))
  await Promise.all(standIns.map(([, child]) => stopProcess(child)))
}
