import { request as sendRequest } from "undici"
import { type Fleet, type FleetInstance, launchFleet } from "@galenaway/demo"

/**
 * Measures how long an endpoint gets no new grant after its owner is killed,
 * paused or drained, how long a leaving endpoint still gets requests, and the
 * platform calls of each, for several numbers of instances. One engine, one
 * resident adapter, a request every 20 ms through the instances that stay.
 */
const SIZES = process.argv.slice(2).map(Number)
const DEFAULT_SIZES = [4, 8, 16]
const PROBE_INTERVAL_MS = 20
const SETTLE_MS = 3000
const WINDOW_MS = 12_000
const PROBE_LIMIT_MS = 10_000
const BODY = JSON.stringify({
  model: "reef-8b/iloilo-sst@v12",
  messages: [{ role: "user", content: "probe" }],
  max_tokens: 1,
})

type Fault = "kill" | "pause" | "drain" | "leaving endpoint"

interface Row {
  readonly fault: Fault
  readonly instances: number
  /** Longest time between two grants; for a leaving endpoint the time until its last new request. */
  readonly gapMs: number
  readonly failed: number
  /** Calls to the platform's service in the window, above those of a quiet window. */
  readonly calls: number
}

interface Status {
  readonly endpoints: readonly { readonly id: string; readonly owner?: string }[]
}

const rows: Row[] = []
for (const instances of SIZES.length > 0 ? SIZES : DEFAULT_SIZES)
  for (const fault of ["kill", "pause", "drain", "leaving endpoint"] as const)
    rows.push(await measureFault(fault, instances))
printRows(rows)

async function measureFault(fault: Fault, instances: number): Promise<Row> {
  const engines = fault === "leaving endpoint" ? 2 : 1
  const fleet = await launchFleet({ port: 0, instances, engines, bookings: 1 })
  try {
    const victim = await findOwner(fleet)
    const staying = fleet.instances.filter((instance) => instance !== victim)
    await probeFor(staying, SETTLE_MS)
    const quietBefore = await countCalls(fleet)
    await probeFor(staying, WINDOW_MS)
    const quiet = (await countCalls(fleet)) - quietBefore
    const before = await countCalls(fleet)
    const startedAt = performance.now()
    await inject(fleet, fault, victim)
    const lastNew = fault === "leaving endpoint" ? watchLastNew(fleet, startedAt) : undefined
    const grants = await probeFor(staying, WINDOW_MS)
    const gapMs = lastNew ? await lastNew : findGap(grants.times, startedAt)
    const calls = (await countCalls(fleet)) - before - quiet
    if (fault === "pause") fleet.signal(victim.id, "SIGCONT")
    return { fault, instances, gapMs, failed: grants.failed, calls }
  } finally {
    await fleet.stop()
  }
}

async function inject(fleet: Fleet, fault: Fault, victim: FleetInstance): Promise<void> {
  switch (fault) {
    case "kill":
      fleet.signal(victim.id, "SIGKILL")
      return
    case "pause":
      fleet.signal(victim.id, "SIGSTOP")
      return
    case "drain":
      fleet.signal(victim.id, "SIGTERM")
      return
    case "leaving endpoint": {
      const listing = { id: "engine-1", dataCentre: "iloilo", phase: "leaving" }
      const body = JSON.stringify(listing)
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
    const { endpoints } = (await body.json()) as Status
    const owner = endpoints.find(({ id }) => id === "engine-1")?.owner
    const found = instances.find(({ id }) => id === owner)
    if (found) return found
    await waitMs(PROBE_INTERVAL_MS)
  }
}

interface Grants {
  readonly times: readonly number[]
  readonly failed: number
}

/** Sends a request every interval to the instances in turn; tells when each was answered. */
async function probeFor(instances: readonly FleetInstance[], ms: number): Promise<Grants> {
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
      signal: AbortSignal.timeout(PROBE_LIMIT_MS),
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

/** Watches the leaving engine's count of completions until the window's end. */
async function watchLastNew(fleet: Fleet, startedAt: number): Promise<number> {
  const url = fleet.endpoints.find(({ id }) => id === "engine-1")?.url ?? ""
  let last = -1
  let lastAt = startedAt
  while (performance.now() < startedAt + WINDOW_MS) {
    const { body } = await sendRequest(`${url}/counters`)
    const { completions } = (await body.json()) as { completions: number }
    if (completions !== last) lastAt = performance.now()
    last = completions
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
