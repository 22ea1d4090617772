import { build, type Histogram } from "hdr-histogram-js"
import { Agent, request as sendRequest } from "undici"
import { type Fleet, launchFleet } from "@galenaway/demo"

/**
 * Measures what the path over one daemon adds to calling the endpoint
 * directly: the same calls side by side in one run, alternating.
 */
const MODEL = "reef-8b/iloilo-sst@v12"
const ROUNDS = 5
const CALLS_A_ROUND = 400
const CONCURRENCY = 4
const MICROS_PER_MS = 1000

interface Sample {
  readonly first: Histogram
  calls: number
  ms: number
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
  const through = createSample()
  const cpuBefore = await readCpuMs(instance)
  for (let round = 0; round < ROUNDS; round++) {
    await runCalls(engine, direct, CALLS_A_ROUND)
    await runCalls(instance, through, CALLS_A_ROUND)
  }
  const cpuMs = (await readCpuMs(instance)) - cpuBefore
  printSample("direct", direct)
  printSample(`through galenawayd (${router})`, through)
  const added = (percentile: number) => readMs(through, percentile) - readMs(direct, percentile)
  console.log(`added p50=${added(50).toFixed(2)} ms p99=${added(99).toFixed(2)} ms`)
  const perCore = (through.calls / cpuMs) * 1000
  console.log(
    `requests a second for each core: ${perCore.toFixed(0)} (${(cpuMs / through.calls).toFixed(2)} ms CPU a request)`,
  )
}

function createSample(): Sample {
  return { first: build({ highestTrackableValue: 60_000_000 }), calls: 0, ms: 0 }
}

function readMs(sample: Sample, percentile: number): number {
  return sample.first.getValueAtPercentile(percentile) / MICROS_PER_MS
}

function printSample(name: string, sample: Sample): void {
  const rate = (sample.calls / sample.ms) * 1000
  const [p50, p99] = [readMs(sample, 50).toFixed(2), readMs(sample, 99).toFixed(2)]
  console.log(`${name}: first byte p50=${p50} ms p99=${p99} ms, ${rate.toFixed(0)} requests/s`)
}

async function runCalls(url: string, sample: Sample, calls: number): Promise<void> {
  const start = performance.now()
  let left = calls
  const runWorker = async () => {
    while (left-- > 0) await sendOne(url, sample)
  }
  await Promise.all(Array.from({ length: CONCURRENCY }, runWorker))
  sample.calls += calls
  sample.ms += performance.now() - start
}

async function sendOne(url: string, sample: Sample): Promise<void> {
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
    sample.first.recordValue(Math.round((performance.now() - start) * MICROS_PER_MS))
  })
  await new Promise((resolve) => body.once("end", resolve))
  if (statusCode !== 200) throw new Error(`status ${statusCode} from ${url}`)
}

async function readCpuMs(url: string): Promise<number> {
  const { body } = await sendRequest(`${url}/health`)
  return ((await body.json()) as { cpuMs: number }).cpuMs
}
