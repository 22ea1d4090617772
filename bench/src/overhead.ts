import { build, type Histogram } from "hdr-histogram-js"
import { Agent, request as sendRequest } from "undici"
import { type Fleet, launchFleet } from "@galenaway/demo"

/**
 * Measures how much longer calls through one daemon take than direct calls to
 * the endpoint. Rounds of both kinds alternate in one run.
 */
const MODEL = "reef-8b/iloilo-sst@v12"
const ROUND_COUNT = 5
const CALLS_PER_ROUND = 400
const CONCURRENCY = 4
const MICROS_PER_MS = 1000

interface Sample {
  readonly firstByteMicros: Histogram
  calls: number
  durationMs: number
}

const router = process.argv[2] === "naive" ? "naive" : "coordinated"
const fleet = await launchFleet({ port: 0, instances: 1, engines: 1, bookings: 1, router })
const agent = new Agent({ connections: CONCURRENCY })
try {
  await measure(fleet)
} finally {
  await agent.close()
  await fleet.stop()
}

async function measure(fleet: Fleet): Promise<void> {
  const engine = fleet.endpoints[0]?.url ?? ""
  const instance = fleet.instances[0]?.url ?? ""
  await runCalls(instance, createSample(), CONCURRENCY)
  const direct = createSample()
  const viaInstance = createSample()
  const cpuBefore = await readCpuMs(instance)
  for (let round = 0; round < ROUND_COUNT; round++) {
    await runCalls(engine, direct, CALLS_PER_ROUND)
    await runCalls(instance, viaInstance, CALLS_PER_ROUND)
  }
  const cpuMs = (await readCpuMs(instance)) - cpuBefore
  printSample("direct", direct)
  printSample(`through galenawayd (${router})`, viaInstance)
  const computeAddedMs = (percentile: number) =>
    readMs(viaInstance, percentile) - readMs(direct, percentile)
  console.log(
    `added p50=${computeAddedMs(50).toFixed(2)} ms p99=${computeAddedMs(99).toFixed(2)} ms`,
  )
  const requestsPerCore = (viaInstance.calls / cpuMs) * 1000
  console.log(
    `requests a second for each core: ${requestsPerCore.toFixed(0)} (${(cpuMs / viaInstance.calls).toFixed(2)} ms CPU a request)`,
  )
}

function createSample(): Sample {
  return { firstByteMicros: build({ highestTrackableValue: 60_000_000 }), calls: 0, durationMs: 0 }
}

function readMs(sample: Sample, percentile: number): number {
  return sample.firstByteMicros.getValueAtPercentile(percentile) / MICROS_PER_MS
}

function printSample(name: string, sample: Sample): void {
  const rate = (sample.calls / sample.durationMs) * 1000
  const [p50, p99] = [readMs(sample, 50).toFixed(2), readMs(sample, 99).toFixed(2)]
  console.log(`${name}: first byte p50=${p50} ms p99=${p99} ms, ${rate.toFixed(0)} requests/s`)
}

async function runCalls(url: string, sample: Sample, calls: number): Promise<void> {
  const start = performance.now()
  let remainingCalls = calls
  const runWorker = async () => {
    while (remainingCalls-- > 0) await sendCall(url, sample)
  }
  await Promise.all(Array.from({ length: CONCURRENCY }, runWorker))
  sample.calls += calls
  sample.durationMs += performance.now() - start
}

async function sendCall(url: string, sample: Sample): Promise<void> {
  const start = performance.now()
  const { statusCode, body } = await sendRequest(`${url}/v1/chat/completions`, {
    method: "POST",
    dispatcher: agent,
    headers: { "content-type": "application/json", "x-galenaway-rank": "urgent" },
    body: JSON.stringify({
      model: MODEL,
      messages: [{ role: "user", content: "hello" }],
      max_tokens: 2,
      stream: true,
    }),
  })
  body.once("data", () => {
    sample.firstByteMicros.recordValue(Math.round((performance.now() - start) * MICROS_PER_MS))
  })
  await new Promise((resolve) => body.once("end", resolve))
  if (statusCode !== 200) throw new Error(`status ${statusCode} from ${url}`)
}

async function readCpuMs(url: string): Promise<number> {
  const { body } = await sendRequest(`${url}/health`)
  return ((await body.json()) as { cpuMs: number }).cpuMs
}
