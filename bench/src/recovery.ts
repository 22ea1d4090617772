import { request as sendRequest } from "undici"
import { type Fleet, type FleetInstance, launchFleet } from "@galenaway/demo"

/**
 * Measures the time without new grants for an endpoint after its owner is
 * killed, paused or drained, the time for which a leaving endpoint receives new
 * requests, and the platform calls that each fault causes, for several numbers
 * of instances. The fleet has one engine, or two when one leaves. A request for
 * one adapter is sent every 20 ms to the instances that don't own `engine-1` at the
 * start, in turn.
 */
const instanceCounts = process.argv.slice(2).map(Number)
const DEFAULT_INSTANCE_COUNTS = [4, 8, 16]
const PROBE_INTERVAL_MS = 20
const WARM_UP_MS = 3000
const WINDOW_MS = 12_000
const PROBE_TIMEOUT_MS = 10_000
const BODY = JSON.stringify({
  model: "reef-8b/iloilo-sst@v12",
  messages: [{ role: "user", content: "probe" }],
  max_tokens: 1,
})

type Fault = "kill" | "pause" | "drain" | "leaving endpoint"

interface Row {
  readonly fault: Fault
  readonly instances: number
  /** Longest time between two successful answers; for a leaving endpoint the time until its last new request. */
  readonly gapMs: number
  /** Probes without a successful answer. */
  readonly failed: number
  /** Calls to the platform's service in the window, minus those in a window without a fault. */
  readonly calls: number
}

interface FleetStatus {
  readonly endpoints: readonly { readonly id: string; readonly owner?: string }[]
}

const rows: Row[] = []
for (const instances of instanceCounts.length > 0 ? instanceCounts : DEFAULT_INSTANCE_COUNTS)
  for (const fault of ["kill", "pause", "drain", "leaving endpoint"] as const)
    rows.push(await measureFault(fault, instances))
printRows(rows)

async function measureFault(fault: Fault, instances: number): Promise<Row> {
  const engines = fault === "leaving endpoint" ? 2 : 1
  const fleet = await launchFleet({ port: 0, instances, engines, bookings: 1 })
  try {
    const target = await findOwner(fleet)
    const remaining = fleet.instances.filter((instance) => instance !== target)
    await probeFor(remaining, WARM_UP_MS)
    const callsBeforeBaseline = await countCalls(fleet)
    await probeFor(remaining, WINDOW_MS)
    const baseline = (await countCalls(fleet)) - callsBeforeBaseline
    const callsBefore = await countCalls(fleet)
    const startedAt = performance.now()
    await injectFault(fleet, fault, target)
    const lastRequest =
      fault === "leaving endpoint" ? watchLastRequest(fleet, startedAt) : undefined
    const result = await probeFor(remaining, WINDOW_MS)
    const gapMs = lastRequest ? await lastRequest : findGap(result.times, startedAt)
    const calls = (await countCalls(fleet)) - callsBefore - baseline
    if (fault === "pause") fleet.signal(target.id, "SIGCONT")
    return { fault, instances, gapMs, failed: result.failed, calls }
  } finally {
    await fleet.stop()
  }
}

async function injectFault(fleet: Fleet, fault: Fault, target: FleetInstance): Promise<void> {
  switch (fault) {
    case "kill":
      fleet.signal(target.id, "SIGKILL")
      return
    case "pause":
      fleet.signal(target.id, "SIGSTOP")
      return
    case "drain":
      fleet.signal(target.id, "SIGTERM")
      return
    case "leaving endpoint": {
      const entry = { id: "engine-1", dataCentre: "iloilo", phase: "leaving" }
      const body = JSON.stringify(entry)
      await sendRequest(`${fleet.platformUrl}/v1/catalog`, { method: "POST", body })
    }
  }
}

async function findOwner(fleet: Fleet): Promise<FleetInstance> {
  const { instances } = fleet
  for (;;) {
    const { body } = await sendRequest(`${instances[0]?.operatorUrl ?? ""}/v1/status`, {
      headers: { authorization: "Bearer demo-operator-key" },
    })
    const { endpoints } = (await body.json()) as FleetStatus
    const owner = endpoints.find(({ id }) => id === "engine-1")?.owner
    const found = instances.find(({ id }) => id === owner)
    if (found) return found
    await waitMs(PROBE_INTERVAL_MS)
  }
}

interface ProbeResult {
  /** Values of `performance.now()`. */
  readonly times: readonly number[]
  readonly failed: number
}

/**
 * Sends a request at each interval to the instances in turn. Returns the times
 * of the successful answers and the number of failed requests.
 */
async function probeFor(instances: readonly FleetInstance[], ms: number): Promise<ProbeResult> {
  const times: number[] = []
  const pending: Promise<void>[] = []
  let failed = 0
  const end = performance.now() + ms
  for (let turn = 0; performance.now() < end; turn++) {
    const url = instances[turn % instances.length]?.url ?? ""
    const probe = async () => {
      if (await sendProbe(url)) times.push(performance.now())
      else failed++
    }
    pending.push(probe())
    await waitMs(PROBE_INTERVAL_MS)
  }
  await Promise.all(pending)
  return { times, failed }
}

async function sendProbe(url: string): Promise<boolean> {
  try {
    const { statusCode, body } = await sendRequest(`${url}/v1/chat/completions`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: BODY,
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
    })
    await body.dump()
    return statusCode === 200
  } catch {
    return false
  }
}

function findGap(times: readonly number[], since: number): number {
  const sorted = [since, ...times.filter((time) => time > since).sort((a, b) => a - b)]
  return Math.max(...sorted.slice(1).map((time, index) => time - (sorted[index] ?? since)))
}

/**
 * Polls the completions of the leaving engine until the end of the window.
 * Returns the time of the last increase in milliseconds since a start.
 */
async function watchLastRequest(fleet: Fleet, startedAt: number): Promise<number> {
  const url = fleet.endpoints.find(({ id }) => id === "engine-1")?.url ?? ""
  let lastCount = -1
  let lastAt = startedAt
  while (performance.now() < startedAt + WINDOW_MS) {
    const { body } = await sendRequest(`${url}/counters`)
    const { completions } = (await body.json()) as { completions: number }
    if (completions !== lastCount) lastAt = performance.now()
    lastCount = completions
    await waitMs(PROBE_INTERVAL_MS)
  }
  return lastAt - startedAt
}

async function countCalls(fleet: Fleet): Promise<number> {
  const { body } = await sendRequest(`${fleet.platformUrl}/counters`)
  const { reads, writes, watches } = (await body.json()) as Record<string, number>
  return (reads ?? 0) + (writes ?? 0) + (watches ?? 0)
}

function printRows(rows: readonly Row[]): void {
  console.log("| fault | instances | gap ms | failed probes | platform calls |")
  console.log("|---|---|---|---|---|")
  for (const { fault, instances, gapMs, failed, calls } of rows)
    console.log(`| ${fault} | ${instances} | ${gapMs.toFixed(0)} | ${failed} | ${calls} |`)
}

function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
