import type { MessageFns } from "@galenaway/daemon/peer"
import { type Measurement } from "./capacity-fit.js"
import { openClient, type PeerCall, type MeasuredServer } from "./messages-wire.js"

const CODEC_ROUNDS = 20_000
const SETTLE_MS = 100
const DRAIN_MS = 1000
const WARM_UP_CALLS = 200
const UNPACED_CALLS = 3000
const MEASURED_CALLS = 500
const PACED_SECONDS = 3
const MICROS_PER_MS = 1000

/** Cost of encoding and decoding one message. */
export interface CodecCost {
  readonly bytes: number
  readonly encodeMicros: number
  readonly decodeMicros: number
}

/** Measures the encoded size of a message and the time to encode and to decode it. */
export function measureCodec<T>(codec: MessageFns<T>, message: T): CodecCost {
  const encoded = codec.encode(message).finish()
  const encode = () => codec.encode(message).finish()
  const decode = () => codec.decode(encoded)
  return {
    bytes: encoded.length,
    encodeMicros: measureMicros(encode),
    decodeMicros: measureMicros(decode),
  }
}

/** Measures the mean time of a function in microseconds, after as many rounds of warm-up. */
export function measureMicros(run: () => unknown, rounds = CODEC_ROUNDS): number {
  for (let round = 0; round < rounds; round++) run()
  const start = performance.now()
  for (let round = 0; round < rounds; round++) run()
  return ((performance.now() - start) * MICROS_PER_MS) / rounds
}

/** Measures the mean bytes of a call in both directions over an open connection, with HTTP/2 framing. */
export async function measureWireBytes(server: MeasuredServer, call: PeerCall): Promise<number> {
  const client = openClient(server.countedAddress)
  const bytes = await measureBytes(() => call(client), server.countBytes)
  client.close()
  return bytes
}

/** Measures the mean bytes of a message and its answer. `countBytes` returns the total of bytes since the start. */
export async function measureBytes(
  send: () => Promise<unknown>,
  countBytes: () => number,
): Promise<number> {
  for (let round = 0; round < WARM_UP_CALLS; round++) await send()
  await wait(SETTLE_MS)
  const before = countBytes()
  for (let round = 0; round < MEASURED_CALLS; round++) await send()
  await wait(SETTLE_MS)
  return (countBytes() - before) / MEASURED_CALLS
}

/**
 * Measures the processor time of client and server at several call rates, in
 * microseconds a second. Calls are spread evenly, as an instance sends them.
 */
export async function measurePacedCpu(
  call: () => Promise<unknown>,
  rates: readonly number[],
): Promise<readonly Measurement[]> {
  await runUnpaced(call)
  const measurements: Measurement[] = []
  for (const rate of rates) measurements.push({ size: rate, value: await runPaced(call, rate) })
  return measurements
}

/**
 * Measures the processor time of client and server for one call, in
 * microseconds. The calls follow each other without a pause.
 */
export async function measureUnpacedCpu(call: () => Promise<unknown>): Promise<number> {
  const before = process.cpuUsage()
  await runUnpaced(call)
  const { user, system } = process.cpuUsage(before)
  return (user + system) / UNPACED_CALLS
}

/** Runs calls without a pause, then waits until the server has handled messages that have no answer. */
async function runUnpaced(call: () => Promise<unknown>): Promise<void> {
  for (let round = 0; round < UNPACED_CALLS; round++) await call()
  await wait(DRAIN_MS)
}

async function runPaced(call: () => Promise<unknown>, rate: number): Promise<number> {
  const pending: Promise<unknown>[] = []
  const before = process.cpuUsage()
  const timer = setInterval(() => pending.push(call()), 1000 / rate)
  await wait(PACED_SECONDS * 1000)
  clearInterval(timer)
  await Promise.all(pending)
  const { user, system } = process.cpuUsage(before)
  return ((user + system) * rate) / pending.length
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
