import { FollowerUpdate, OwnerUpdate } from "@galenaway/entry/messages"
import { CrashEvidence, PartQuarantine } from "@galenaway/routing"

/**
 * Measures the tables that find and hold prompt parts which end engines, each at
 * its limits, and the size of their messages. Run with --expose-gc.
 */
const SOUND_COUNT = 8192
const END_COUNT = 64
const PARTS_PER_END = 40
const STATE_COUNT = 128
const ROUND_COUNT = 200
const APART_MS = 100
const BYTES_PER_KIB = 1024
/** A usual round of one instance after an end: a few requests, three parts each. */
const REPORTED_REQUEST_COUNT = 5

const before = measureHeap()
const evidence = new CrashEvidence()
for (let i = 0; i < SOUND_COUNT; i++) evidence.recordSound(createId(i), i)
print("8,192 parts that were answered", `${toKib(measureHeap() - before)} KiB`)
const withoutEnds = measureHeap()
for (let i = 0; i < END_COUNT; i++) {
  const parts = Array.from({ length: PARTS_PER_END }, (_, index) =>
    createId(SOUND_COUNT + ((i * 7 + index) % (PARTS_PER_END * 4))),
  )
  evidence.recordEnd(`e${i}`, parts, SOUND_COUNT + i * APART_MS)
}
print("64 ends with 40 parts each", `${toKib(measureHeap() - withoutEnds)} KiB`)
const startedAt = performance.now()
for (let i = 0; i < ROUND_COUNT; i++) evidence.findCulprit(SOUND_COUNT + END_COUNT * APART_MS)
const evaluationMs = (performance.now() - startedAt) / ROUND_COUNT
print("one evaluation of them", `${evaluationMs.toFixed(2)} ms`)
const withoutStates = measureHeap()
const quarantine = new PartQuarantine()
for (let i = 0; i < STATE_COUNT; i++) quarantine.add(createId(i), 3, 0)
print("128 quarantined parts", `${toKib(measureHeap() - withoutStates)} KiB`)

const ends = Array.from({ length: REPORTED_REQUEST_COUNT }, (_, index) => ({
  endpoint: "i-48720f3588",
  parts: [createId(1), createId(index), createId(3)],
}))
const report = { instance: "entry-0001", configurationVersion: 12, uses: [], ends }
const states = [{ part: createId(1), generation: 1, endCount: 3 }]
print(
  "a report of 5 requests",
  `${countBytes(FollowerUpdate.encode(FollowerUpdate.create(report)))} B`,
)
const update = OwnerUpdate.create({ configurationVersion: 12, partStates: states })
const empty = OwnerUpdate.create({ configurationVersion: 12 })
const stateBytes = countBytes(OwnerUpdate.encode(update)) - countBytes(OwnerUpdate.encode(empty))
print("a state in an update", `${stateBytes} B`)

function createId(index: number): string {
  return (index + 0x48720f35880).toString(16)
}

function measureHeap(): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}

function countBytes(writer: { finish(): Uint8Array }): number {
  return writer.finish().length
}

function toKib(bytes: number): number {
  return Math.round(bytes / BYTES_PER_KIB)
}

function print(what: string, figure: string): void {
  process.stdout.write(`${what}: ${figure}\n`)
}
