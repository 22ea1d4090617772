import { type DestinationStream, pino } from "pino"
import { createLog, type Log } from "@galenaway/observe"

/**
 * Measures the cost of one log line with pino's JSON, with pino-logfmt in a
 * worker, and with the daemon's log, which formats in the calling thread. All
 * write to the null device, in alternating rounds.
 */
const LINES_PER_ROUND = 20_000
const LINES_PER_BATCH = 200
const ROUND_COUNT = 6
const WARM_UP_ROUND_COUNT = 1
const MICROS_PER_MS = 1000
const BYTES_PER_MB = 1024 * 1024
const NULL_DEVICE = "/dev/null"
const WORKER_START_MS = 1000
const ORIGIN = { instance: "entry-117", dataCentre: "visayas-1" }

interface Candidate {
  readonly name: string
  readonly log: Log
  readonly addedResidentMb: number
  readonly callMicros: number[]
  readonly cpuMicros: number[]
}

const candidates = [
  await createCandidate("pino JSON", () => pino({ base: ORIGIN }, openNullDevice())),
  await createCandidate("logfmt in the calling thread", () =>
    createLog("info", ORIGIN, openNullDevice()),
  ),
  await createCandidate("pino-logfmt in a worker", () => pino({ base: ORIGIN }, openWorker())),
]
for (let round = -WARM_UP_ROUND_COUNT; round < ROUND_COUNT; round++)
  for (const candidate of candidates) await runRound(candidate, round >= 0)
for (const candidate of candidates) printCandidate(candidate)

async function createCandidate(name: string, create: () => Log): Promise<Candidate> {
  const before = process.memoryUsage().rss
  const log = create()
  log.info("log opened")
  await wait(WORKER_START_MS)
  const addedResidentMb = (process.memoryUsage().rss - before) / BYTES_PER_MB
  return { name, log, addedResidentMb, callMicros: [], cpuMicros: [] }
}

function openNullDevice(): DestinationStream {
  return pino.destination({ dest: NULL_DEVICE, sync: false })
}

function openWorker(): DestinationStream {
  const options = { includeLevelLabel: true, levelLabelKey: "level", destination: NULL_DEVICE }
  return pino.transport({ target: "pino-logfmt", options })
}

async function runRound(candidate: Candidate, isRecorded: boolean): Promise<void> {
  const cpuBefore = process.cpuUsage()
  let callMs = 0
  for (let line = 0; line < LINES_PER_ROUND; line += LINES_PER_BATCH) {
    const start = performance.now()
    writeBatch(candidate.log, line)
    callMs += performance.now() - start
    await wait(0)
  }
  await flush(candidate.log)
  const { user, system } = process.cpuUsage(cpuBefore)
  if (!isRecorded) return
  candidate.callMicros.push((callMs * MICROS_PER_MS) / LINES_PER_ROUND)
  candidate.cpuMicros.push((user + system) / LINES_PER_ROUND)
}

function writeBatch(log: Log, firstLine: number): void {
  for (let line = firstLine; line < firstLine + LINES_PER_BATCH; line++)
    log.info(
      { request: `entry-117-${line}`, step: "grant", peer: "entry-42", waitMs: 12.5 },
      "granted",
    )
}

function flush(log: Log): Promise<void> {
  return new Promise((resolve) => {
    log.flush(() => {
      resolve()
    })
  })
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

function printCandidate({ name, addedResidentMb, callMicros, cpuMicros }: Candidate): void {
  const call = describeSpread(callMicros)
  const cpu = describeSpread(cpuMicros)
  console.log(
    `${name}: call ${call}, processor time of all threads ${cpu}, resident ${addedResidentMb.toFixed(1)} MB more at its start`,
  )
}

function describeSpread(values: readonly number[]): string {
  const sorted = [...values].sort((a, b) => a - b)
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0
  const [lowest = 0, highest = 0] = [sorted[0], sorted.at(-1)]
  return `${median.toFixed(2)} µs (${lowest.toFixed(2)} to ${highest.toFixed(2)})`
}
