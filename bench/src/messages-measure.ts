import type { MessageFns } from "@galenaway/daemon/peer"
import { type Measurement } from "./capacity-fit.js"
import { openClient, type PeerCall, type MeasuredServer } from "./messages-wire.js"

const CODEC_ROUNDS = 20_000
const SETTLE_MS = 100
const DRAIN_MS = 1000
const WARM_CALLS = 200
const HOT_CALLS = 3000
const COUNTED_CALLS = 500
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

/** Measures the time of one run of a function, warm. */
export function measureMicros(run: () => unknown, rounds = CODEC_ROUNDS): number {
  for (let round = 0; round < rounds; round++) run()
  const start = performance.now()
  for (let round = 0; round < rounds; round++) run()
  return ((performance.now() - start) * MICROS_PER_MS) / rounds
}

/** Measures the bytes that a call moves both ways over an open connection, HTTP/2 framing included. */
export async function measureWireBytes(wire: MeasuredServer, call: PeerCall): Promise<number> {
  const client = openClient(wire.countedAddress)
  const bytes = await measureBytes(() => call(client), wire.countBytes)
  client.close()
  return bytes
}

/** Measures the bytes of one message and its answer, from a counter of bytes so far. */
export async function measureBytes(
  send: () => Promise<unknown>,
  countBytes: () => number,
): Promise<number> {
  for (let round = 0; round < WARM_CALLS; round++) await send()
  await wait(SETTLE_MS)
  const before = countBytes()
  for (let round = 0; round < COUNTED_CALLS; round++) await send()
  await wait(SETTLE_MS)
  return (countBytes() - before) / COUNTED_CALLS
}

/**
 * Measures the processor time a second of both ends of a call at several
 * rates, in microseconds, with calls spread evenly as a node would make them.
 */
export async function measurePacedCpu(
  call: () => Promise<unknown>,
  rates: readonly number[],
): Promise<readonly Measurement[]> {
  await runHot(call)
  const points: Measurement[] = []
  for (const rate of rates) points.push({ size: rate, value: await runPaced(call, rate) })
  return points
}

/** Measures the processor time of both ends of a call that is repeated without a pause, in microseconds. */
export async function measureUnpacedCpu(call: () => Promise<unknown>): Promise<number> {
  const before = process.cpuUsage()
  await runHot(call)
  const { user, system } = process.cpuUsage(before)
  return (user + system) / HOT_CALLS
}

/** Waits afterwards, since the far end may still have messages that get no answer. */
async function runHot(call: () => Promise<unknown>): Promise<void> {
  for (let round = 0; round < HOT_CALLS; round++) await call()
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
