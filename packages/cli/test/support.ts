import { Agent } from "undici"
import { type EndpointInfo, PlatformError } from "@galenaway/core"
import { EXIT_CODES, runCli, type Shell } from "@galenaway/cli"
import {
  type ConfigurationPeers,
  ConfigurationWriter,
  ConsulPlatform,
  noPeers,
  OperatorHandlers,
  PeerRevisionSource,
  NaiveStatusSource,
  StoredActiveConfiguration,
  startOperatorServer,
  type RetryTiming,
} from "@galenaway/daemon"
import { type FakePlatform, startPlatform } from "@galenaway/fakes"
import { createLog, noopRecorder, type TimelineEvent } from "@galenaway/observe"

export const KEY = "operator-secret"
const START_TIME_MS = Date.UTC(2026, 0, 31)
const ENDPOINTS: readonly EndpointInfo[] = ["engine-1", "engine-2"].map((id) => ({
  id,
  kind: "engine",
  dataCentre: "iloilo",
  url: "http://127.0.0.1:1",
  fencing: "checked",
  slots: 8,
  capacity: 16,
}))

/** The events that the instances of a test fleet return. */
export const EVENTS: readonly TimelineEvent[] = [
  {
    kind: "request-received",
    request: "r1",
    instance: "entry-1",
    dataCentre: "iloilo",
    at: { wall: START_TIME_MS - 5000, counter: 0 },
  },
  {
    kind: "load-ordered",
    endpoint: "engine-1",
    instance: "entry-1",
    dataCentre: "iloilo",
    at: { wall: START_TIME_MS - 1000, counter: 0 },
  },
  {
    kind: "request-done",
    request: "r1",
    instance: "entry-1",
    dataCentre: "iloilo",
    at: { wall: START_TIME_MS - 1000, counter: 1 },
  },
]

/** Two instances with operators' interfaces, connected to one stand-in platform. */
export interface TestFleet {
  readonly urls: readonly string[]
  readonly platform: FakePlatform
  close(): Promise<void>
}

/**
 * Starts two instances in this process. The first one has the given peers, the second
 * one has none.
 */
export async function startTestFleet(peers: ConfigurationPeers = noPeers): Promise<TestFleet> {
  const platform = await startPlatform()
  const agent = new Agent()
  const servers = await Promise.all([
    startInstance("entry-1", new ConsulPlatform(platform.url, agent), peers),
    startInstance("entry-2", new ConsulPlatform(platform.url, agent), noPeers),
  ])
  return {
    urls: servers.map((server) => server.url),
    platform,
    close: async () => {
      await Promise.all([...servers.map((server) => server.close()), agent.close()])
      await platform.close()
    },
  }
}

async function startInstance(id: string, platform: ConsulPlatform, peers: ConfigurationPeers) {
  const log = createLog("error", { instance: id, dataCentre: "iloilo" }, { write: () => undefined })
  const activeConfiguration = new StoredActiveConfiguration(log, noopRecorder)
  const timing: RetryTiming = { pause: () => Promise.resolve(), random: () => 0.5 }
  const settings = { id, dataCentre: "iloilo", endpoints: ENDPOINTS }
  const rows = new Map(
    ENDPOINTS.map((info) => [
      info.id,
      { info, isReachable: true, report: undefined, lastUsed: new Map() },
    ]),
  )
  const status = new NaiveStatusSource(
    settings,
    rows,
    activeConfiguration,
    { isPlatformReachable: true },
    peers,
  )
  const pause = () => new Promise<void>(() => undefined)
  const handlers = new OperatorHandlers({
    instance: id,
    dataCentre: "iloilo",
    inventory: { endpoints: ENDPOINTS },
    platform,
    timing: { pause },
    activeConfiguration,
    writer: new ConfigurationWriter({ platform, activeConfiguration, timing, log }),
    clock: { wallNow: () => START_TIME_MS },
    status,
    explainer: status,
    revisions: new PeerRevisionSource(id, activeConfiguration, peers, { pause }),
    timeline: { listEvents: () => EVENTS },
    metrics: { format: () => "" },
  })
  return startOperatorServer({ host: "127.0.0.1", port: 0 }, KEY, handlers)
}

/** The output and the exit reason of one run of the tool. */
export interface CliRun {
  readonly reason: string | undefined
  readonly output: string
  readonly errors: string
  readonly files: ReadonlyMap<string, string>
}

/** The settings of one run of the tool. */
export interface RunOptions {
  readonly urls: readonly string[]
  /** The operators' key, by default the right one. */
  readonly key?: string
  /** The contents of `edited.json`, as text or as a value to format as JSON. */
  readonly file?: unknown
  /** The user's answers to prompts, in order. If undefined, the run has no terminal. */
  readonly answers?: readonly string[]
}

/** Runs the tool in this process. A pause returns at once and advances the tool's clock. */
export async function runTool(args: readonly string[], options: RunOptions): Promise<CliRun> {
  const { urls, key = KEY, file, answers } = options
  const state = { output: "", errors: "", now: START_TIME_MS }
  const pendingAnswers = [...(answers ?? [])]
  const files = new Map(file === undefined ? [] : [["edited.json", formatFile(file)]])
  const shell: Shell = {
    env: { GALENAWAY_OPERATOR_URLS: urls.join(","), GALENAWAY_OPERATOR_KEY: key, USER: "maria" },
    isInteractive: answers !== undefined,
    canShowProgress: answers !== undefined,
    print: (text) => (state.output += text),
    printError: (text) => (state.errors += text),
    prompt: () => Promise.resolve(pendingAnswers.shift() ?? ""),
    readFile: (path) => {
      const text = files.get(path)
      if (text === undefined) throw new Error("ENOENT")
      return text
    },
    writeFile: (path, text) => files.set(path, text),
    pause: (ms) => {
      state.now += ms
      return Promise.resolve()
    },
    now: () => state.now,
    createId: () => `change-${createChangeNumber()}`,
  }
  const code = await runCli(args, shell)
  const reason = Object.entries(EXIT_CODES).find(([, value]) => value === code)?.[0]
  return { reason, output: state.output, errors: state.errors, files }
}

let lastChangeNumber = 0

function createChangeNumber(): number {
  return ++lastChangeNumber
}

function formatFile(file: unknown): string {
  return typeof file === "string" ? file : JSON.stringify(file)
}

/**
 * Two peers on which no change comes into force: one returns no configuration, the
 * other is unreachable.
 */
export const laggingPeers: ConfigurationPeers = {
  listPeers: () => ["entry-3", "entry-4"],
  fetch: (peer) =>
    peer === "entry-3"
      ? Promise.resolve(undefined)
      : Promise.reject(new PlatformError(peer, "no answer")),
}
