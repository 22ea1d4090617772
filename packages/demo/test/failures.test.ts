import { setTimeout as sleep } from "node:timers/promises"
import { expect } from "chai"
import { request as sendRequest } from "undici"
import { type Fleet, launchFleet, sendSample } from "@galenaway/demo"

const MODEL = "reef-8b/iloilo-sst@v12"
const TOKEN_COUNT = 60
const CALL_COUNT = 8
const BOOKING_DELAY_MS = 1000
const SILENCE_MS = 300
const POLL_INTERVAL_MS = 5

/** Runs a test on a small fleet, and stops the fleet afterwards. */
async function withFleet(run: (fleet: Fleet, logs: string[]) => Promise<void>): Promise<void> {
  const logs: string[] = []
  const onLog = (_name: string, text: string) => logs.push(text)
  const fleet = await launchFleet({ port: 0, instances: 3, engines: 1, bookings: 2, onLog })
  try {
    await run(fleet, logs)
  } finally {
    await fleet.stop()
  }
}

function getUrl(fleet: Fleet, id: string): string {
  return fleet.instances.find((each) => each.id === id)?.url ?? ""
}

interface BookingReply {
  readonly status: number
  readonly text: string
  readonly outcome: string
}

/** Sends a booking. Returns status 0 and the outcome `broken` if the connection fails. */
async function sendBooking(fleet: Fleet, instance: string, key: string): Promise<BookingReply> {
  const headers = { "idempotency-key": key }
  const options = { method: "POST", headers, body: "{}" } as const
  try {
    const url = `${getUrl(fleet, instance)}/v1/services/bookings`
    const { statusCode, body } = await sendRequest(url, options)
    const text = await body.text()
    const { error } = JSON.parse(text) as { error?: { outcome: string } }
    return { status: statusCode, text, outcome: error?.outcome ?? "answered" }
  } catch {
    return { status: 0, text: "", outcome: "broken" }
  }
}

function sendBookings(fleet: Fleet, instance: string, name = "key"): Promise<BookingReply[]> {
  const keys = Array.from({ length: CALL_COUNT }, (_, index) => `${name}-${index}`)
  return Promise.all(keys.map((key) => sendBooking(fleet, instance, key)))
}

async function setBookingFaults(fleet: Fleet, faults: Record<string, unknown>): Promise<void> {
  await Promise.all(["booking-1", "booking-2"].map((name) => fleet.setFault(name, faults)))
}

/** Fetches how often each idempotency key ran, summed over all booking services. */
async function readRuns(fleet: Fleet): Promise<Map<string, number>> {
  const total = new Map<string, number>()
  for (const { kind, url } of fleet.endpoints) {
    if (kind !== "service") continue
    const { body } = await sendRequest(`${url}/runs`)
    for (const [key, runs] of Object.entries((await body.json()) as Record<string, number>))
      total.set(key, (total.get(key) ?? 0) + runs)
  }
  return total
}

async function findRepeatedKeys(fleet: Fleet): Promise<string[]> {
  return [...(await readRuns(fleet))].filter(([, runs]) => runs > 1).map(([key]) => key)
}

async function waitForRuns(fleet: Fleet, count: number): Promise<void> {
  while ((await readRuns(fleet)).size < count) await sleep(POLL_INTERVAL_MS)
}

/** Requests a streamed answer. `started` resolves when the response's headers arrive. */
function startStream(fleet: Fleet, instance: string) {
  const messages = [{ role: "user", content: "hello" }]
  const body = JSON.stringify({ model: MODEL, messages, max_tokens: TOKEN_COUNT, stream: true })
  const url = `${getUrl(fleet, instance)}/v1/chat/completions`
  const response = sendRequest(url, { method: "POST", body })
  return { started: response, text: response.then((reply) => reply.body.text()) }
}

/**
 * Checks whether the text of a stream has all tokens of one request in order, and its
 * end marker.
 */
function isCompleteStream(text: string): boolean {
  const id = /"id":"([^"]+)"/.exec(text)?.[1] ?? ""
  const received = [...text.matchAll(/"content":"([^"]*)"/g)].map((match) => match[1])
  const expected = Array.from({ length: TOKEN_COUNT }, (_, index) => `${id}.${index + 1} `)
  return text.includes("[DONE]") && received.join("") === expected.join("")
}

/** Finds the log lines of finished requests. They may be written after the answer was received. */
function findDoneLines(logs: readonly string[]): string[] {
  const lines = logs.join("").split("\n")
  return lines.filter((line) => line.includes("request done") && line.includes("resumes="))
}

async function postEngine(fleet: Fleet, path: string): Promise<void> {
  const engine = fleet.endpoints.find(({ kind }) => kind === "engine")
  const { body } = await sendRequest(`${engine?.url ?? ""}${path}`, { method: "POST" })
  await body.dump()
}

it("runs bookings once when their instance is killed", () =>
  withFleet(async (fleet) => {
    await setBookingFaults(fleet, { delayMs: BOOKING_DELAY_MS })
    const first = sendBookings(fleet, "entry-1")
    await waitForRuns(fleet, CALL_COUNT)
    fleet.signal("entry-1", "SIGKILL")
    const retried = await sendBookings(fleet, "entry-2")
    expect((await first).map(({ outcome }) => outcome)).to.include("broken")
    expect(new Set(retried.map(({ outcome }) => outcome))).to.deep.equal(new Set(["unknown"]))
    expect(await findRepeatedKeys(fleet)).to.deep.equal([])
    await setBookingFaults(fleet, { delayMs: 0 })
    expect((await sendSample(fleet.url)).filter((row) => !row.isCorrect)).to.deep.equal([])
  }))

it("runs bookings once when their instance is paused", () =>
  withFleet(async (fleet) => {
    await setBookingFaults(fleet, { delayMs: BOOKING_DELAY_MS })
    const first = sendBookings(fleet, "entry-1")
    await waitForRuns(fleet, 1)
    fleet.signal("entry-1", "SIGSTOP")
    const retried = await sendBookings(fleet, "entry-2")
    fleet.signal("entry-1", "SIGCONT")
    const answered = await first
    const again = await sendBookings(fleet, "entry-3")
    expect(await findRepeatedKeys(fleet)).to.deep.equal([])
    expect(retried.filter(({ outcome }) => outcome === "not-run")).to.deep.equal([])
    expect(again.map(({ status }) => status)).to.deep.equal(again.map(() => 200))
    const differing = answered.filter(({ text }, index) => text !== again[index]?.text)
    expect(differing.filter(({ outcome }) => outcome !== "not-run")).to.deep.equal([])
  }))

it("refuses bookings without the platform, and settles when it is back", () =>
  withFleet(async (fleet) => {
    await setBookingFaults(fleet, { delayMs: BOOKING_DELAY_MS })
    const early = sendBookings(fleet, "entry-1", "early")
    await waitForRuns(fleet, CALL_COUNT)
    await fleet.setFault("platform", { down: true })
    const refused = await sendBookings(fleet, "entry-2", "late")
    const answered = await early
    const runsBefore = await readRuns(fleet)
    await fleet.setFault("platform", { down: false })
    const replayed = await sendBookings(fleet, "entry-3", "early")
    const retried = await sendBookings(fleet, "entry-3", "late")
    const runsAfter = await readRuns(fleet)
    expect(refused.map(({ outcome }) => outcome)).to.deep.equal(refused.map(() => "not-run"))
    expect(runsBefore.size).to.equal(CALL_COUNT)
    expect(answered.map(({ status }) => status)).to.deep.equal(answered.map(() => 200))
    expect(replayed).to.deep.equal(answered)
    expect(retried.map(({ status }) => status)).to.deep.equal(retried.map(() => 200))
    expect([...runsAfter.values()]).to.deep.equal(Array.from({ length: 2 * CALL_COUNT }, () => 1))
  }))

it("runs bookings once when the platform and an instance fail together", () =>
  withFleet(async (fleet) => {
    await setBookingFaults(fleet, { delayMs: BOOKING_DELAY_MS })
    const first = sendBookings(fleet, "entry-1")
    await waitForRuns(fleet, CALL_COUNT)
    await fleet.setFault("platform", { down: true })
    fleet.signal("entry-1", "SIGKILL")
    await first
    const during = await sendBookings(fleet, "entry-2")
    await fleet.setFault("platform", { down: false })
    const after = await sendBookings(fleet, "entry-2")
    expect(during.filter(({ outcome }) => outcome === "answered")).to.deep.equal([])
    expect(after.map(({ outcome }) => outcome)).to.deep.equal(after.map(() => "unknown"))
    expect(await findRepeatedKeys(fleet)).to.deep.equal([])
  }))

it("resumes streams whose connections went silent", () =>
  withFleet(async (fleet, logs) => {
    const streams = Array.from({ length: 4 }, () => startStream(fleet, "entry-1"))
    await Promise.all(streams.map(({ started }) => started))
    await fleet.setFault("engine-1", { silent: true })
    await sleep(SILENCE_MS)
    await fleet.setFault("engine-1", { silent: false })
    const texts = await Promise.all(streams.map(({ text }) => text))
    expect(texts.map(isCompleteStream)).to.deep.equal(texts.map(() => true))
    while (findDoneLines(logs).length < streams.length) await sleep(POLL_INTERVAL_MS)
    expect(findDoneLines(logs).filter((line) => line.includes("resumes=0"))).to.deep.equal([])
  }))

it("ends streams with an error event when their engine restarts", () =>
  withFleet(async (fleet) => {
    const streams = Array.from({ length: 4 }, () => startStream(fleet, "entry-1"))
    await Promise.all(streams.map(({ started }) => started))
    await postEngine(fleet, "/restart")
    const texts = await Promise.all(streams.map(({ text }) => text))
    for (const text of texts) expect(text).to.contain("event: error").and.not.contain("[DONE]")
    expect((await sendSample(fleet.url)).filter((row) => !row.isCorrect)).to.deep.equal([])
  }))

it("cuts no stream when its instance stops", () =>
  withFleet(async (fleet) => {
    const streams = Array.from({ length: 4 }, () => startStream(fleet, "entry-1"))
    await Promise.all(streams.map(({ started }) => started))
    fleet.signal("entry-1", "SIGTERM")
    const texts = await Promise.all(streams.map(({ text }) => text))
    await fleet.waitForEnd("entry-1")
    expect(texts.map(isCompleteStream)).to.deep.equal(texts.map(() => true))
    expect(fleet.getExitCode("entry-1")).to.equal(0)
  }))
