import { DEFAULT_CONFIGURATION } from "@galenaway/config"
import type { EndpointInfo } from "@galenaway/core"
import {
  type ConfigurationPeers,
  ConfigurationWriter,
  noPeers,
  OperatorHandlers,
  PeerRevisionSource,
  NaiveStatusSource,
  startOperatorServer,
} from "@galenaway/daemon"
import type { NaiveEngineState } from "@galenaway/policy"
import {
  createActiveConfiguration,
  createMemoryLog,
  createTiming,
  MemoryPlatform,
} from "./configuration-support.js"

export const OPERATOR_KEY = "operator-secret"
const ENDPOINTS: readonly EndpointInfo[] = ["engine-1", "engine-2"].map((id) => ({
  id,
  kind: "engine",
  dataCentre: "iloilo",
  url: "http://127.0.0.1:1",
  fencing: "checked",
  slots: 8,
  capacity: 16,
}))

/** Components of a test server that a test can replace. */
export interface TestServerOptions {
  readonly platform?: MemoryPlatform
  readonly peers?: ConfigurationPeers
}

/** Starts the operators' interface of an instance with two engines, on a free port. */
export async function startTestServer(options: TestServerOptions = {}) {
  const { platform = new MemoryPlatform(), peers = noPeers } = options
  const activeConfiguration = createActiveConfiguration()
  const timing = createTiming()
  const { log } = createMemoryLog()
  const settings = { id: "entry-1", dataCentre: "iloilo", endpoints: ENDPOINTS }
  const status = new NaiveStatusSource(
    settings,
    createRows(),
    activeConfiguration,
    { isPlatformReachable: true },
    peers,
  )
  // Timeouts never expire, because all answers are immediate.
  const pause = () => new Promise<void>(() => undefined)
  const handlers = new OperatorHandlers({
    instance: "entry-1",
    dataCentre: "iloilo",
    inventory: { endpoints: ENDPOINTS },
    platform,
    timing: { pause },
    activeConfiguration,
    writer: new ConfigurationWriter({ platform, activeConfiguration, timing, log }),
    clock: { wallNow: () => Date.UTC(2026, 0, 31) },
    status,
    explainer: status,
    revisions: new PeerRevisionSource("entry-1", activeConfiguration, peers, { pause }),
    timeline: { listEvents: () => [] },
    metrics: { format: () => "galenaway_grants_total 3\n" },
  })
  const server = await startOperatorServer({ host: "127.0.0.1", port: 0 }, OPERATOR_KEY, handlers)
  return { ...server, activeConfiguration, platform }
}

function createRows(): ReadonlyMap<string, NaiveEngineState> {
  return new Map(
    ENDPOINTS.map((info) => [
      info.id,
      { info, isReachable: true, report: undefined, lastUsed: new Map() },
    ]),
  )
}

/** Builds a change of one default, based on a revision, as an operator sends it. */
export function buildChange(id: string, burst: number, revision: number) {
  const { loads } = DEFAULT_CONFIGURATION.defaults
  const configuration = { revision, defaults: { loads: { ...loads, burst } } }
  return { id, author: "maria", reason: "more loads", configuration }
}

export function buildDrain(id: string, target: string, kind = "endpoint") {
  return { id, author: "maria", reason: "new card", kind, target }
}

/** Calls the operators' interface. A call with a body is a POST, otherwise a GET. */
export async function callOperator(url: string, path: string, body?: unknown, key = OPERATOR_KEY) {
  const headers = { authorization: `Bearer ${key}` }
  const init = body === undefined ? {} : { method: "POST", body: JSON.stringify(body) }
  const response = await fetch(`${url}${path}`, { headers, ...init })
  const text = await response.text()
  return { status: response.status, text, json: (): unknown => JSON.parse(text) }
}
