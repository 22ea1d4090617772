import { setTimeout as sleep } from "node:timers/promises"
import { expect } from "chai"
import { request as sendRequest } from "undici"
import { type Fleet, launchFleet, sendSample } from "@galenaway/demo"

const MODEL = "reef-8b/iloilo-sst@v12"
const TOKENS = 60
const CALLS = 8
const SLOW_MS = 1000
const SILENT_MS = 300
const POLL_MS = 5

/** Runs a test on a small fleet, and stops it. */
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

interface Reply {
  readonly status: number
  readonly text: string
  readonly outcome: string
}

/** Sends a booking; a connection that broke gives status 0. */
async function book(fleet: Fleet, instance: string, key: string): Promise<Reply> {
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

function bookAll(fleet: Fleet, instance: string, name = "key"): Promise<Reply[]> {
  const keys = Array.from({ length: CALLS }, (_, index) => `${name}-${index}`)
  return Promise.all(keys.map((key) => book(fleet, instance, key)))
}

async function setBookings(fleet: Fleet, faults: Record<string, unknown>): Promise<void> {
  await Promise.all(["booking-1", "booking-2"].map((name) => fleet.setFault(name, faults)))
}

/** Counts how often each key ran over all booking services. */
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

async function findDoubled(fleet: Fleet): Promise<string[]> {
  return [...(await readRuns(fleet))].filter(([, runs]) => runs > 1).map(([key]) => key)
}

async function waitForRuns(fleet: Fleet, count: number): Promise<void> {
  while ((await readRuns(fleet)).size < count) await sleep(POLL_MS)
}

/** Starts a streamed answer; `started` resolves with its first bytes. */
function startStream(fleet: Fleet, instance: string) {
  const messages = [{ role: "user", content: "hello" }]
  const body = JSON.stringify({ model: MODEL, messages, max_tokens: TOKENS, stream: true })
  const url = `${getUrl(fleet, instance)}/v1/chat/completions`
  const response = sendRequest(url, { method: "POST", body })
  return { started: response, text: response.then((reply) => reply.body.text()) }
}

/** Judges a stream by its text: the right tokens, in order, to the end. */
function isWhole(text: string): boolean {
  const id = /"id":"([^"]+)"/.exec(text)?.[1] ?? ""
  const got = [...text.matchAll(/"content":"([^"]*)"/g)].map((match) => match[1])
  const wanted = Array.from({ length: TOKENS }, (_, index) => `${id}.${index + 1} `)
  return text.includes("[DONE]") && got.join("") === wanted.join("")
}

/** Finds the log lines of finished requests. They come with a lag. */
function findDone(logs: readonly string[]): string[] {
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
    await setBookings(fleet, { delayMs: SLOW_MS })
    const first = bookAll(fleet, "entry-1")
    await waitForRuns(fleet, CALLS)
    fleet.signal("entry-1", "SIGKILL")
    const retried = await bookAll(fleet, "entry-2")
    expect((await first).map(({ outcome }) => outcome)).to.include("broken")
    expect(new Set(retried.map(({ outcome }) => outcome))).to.deep.equal(new Set(["unknown"]))
    expect(await findDoubled(fleet)).to.deep.equal([])
    await setBookings(fleet, { delayMs: 0 })
    expect((await sendSample(fleet.url)).filter((row) => !row.isCorrect)).to.deep.equal([])
  }))

it("runs bookings once when their instance is paused", () =>
  withFleet(async (fleet) => {
    await setBookings(fleet, { delayMs: SLOW_MS })
    const first = bookAll(fleet, "entry-1")
    await waitForRuns(fleet, 1)
    fleet.signal("entry-1", "SIGSTOP")
    const retried = await bookAll(fleet, "entry-2")
    fleet.signal("entry-1", "SIGCONT")
    const answered = await first
    const again = await bookAll(fleet, "entry-3")
    expect(await findDoubled(fleet)).to.deep.equal([])
    expect(retried.filter(({ outcome }) => outcome === "not-run")).to.deep.equal([])
    expect(again.map(({ status }) => status)).to.deep.equal(again.map(() => 200))
    const late = answered.filter(({ text }, index) => text !== again[index]?.text)
    expect(late.filter(({ outcome }) => outcome !== "not-run")).to.deep.equal([])
  }))

it("refuses bookings without the platform, and settles when it is back", () =>
  withFleet(async (fleet) => {
    await setBookings(fleet, { delayMs: SLOW_MS })
    const early = bookAll(fleet, "entry-1", "early")
    await waitForRuns(fleet, CALLS)
    await fleet.setFault("platform", { down: true })
    const refused = await bookAll(fleet, "entry-2", "late")
    const answered = await early
    const runsBefore = await readRuns(fleet)
    await fleet.setFault("platform", { down: false })
    const replayed = await bookAll(fleet, "entry-3", "early")
    const retried = await bookAll(fleet, "entry-3", "late")
    const runsAfter = await readRuns(fleet)
    expect(refused.map(({ outcome }) => outcome)).to.deep.equal(refused.map(() => "not-run"))
    expect(runsBefore.size).to.equal(CALLS)
    expect(answered.map(({ status }) => status)).to.deep.equal(answered.map(() => 200))
    expect(replayed).to.deep.equal(answered)
    expect(retried.map(({ status }) => status)).to.deep.equal(retried.map(() => 200))
    expect([...runsAfter.values()]).to.deep.equal(Array.from({ length: 2 * CALLS }, () => 1))
  }))

it("runs bookings once when the platform and an instance fail together", () =>
  withFleet(async (fleet) => {
    await setBookings(fleet, { delayMs: SLOW_MS })
    const first = bookAll(fleet, "entry-1")
    await waitForRuns(fleet, CALLS)
    await fleet.setFault("platform", { down: true })
    fleet.signal("entry-1", "SIGKILL")
    await first
    const during = await bookAll(fleet, "entry-2")
    await fleet.setFault("platform", { down: false })
    const after = await bookAll(fleet, "entry-2")
    expect(during.filter(({ outcome }) => outcome === "answered")).to.deep.equal([])
    expect(after.map(({ outcome }) => outcome)).to.deep.equal(after.map(() => "unknown"))
    expect(await findDoubled(fleet)).to.deep.equal([])
  }))

it("resumes streams whose connections went silent", () =>
  withFleet(async (fleet, logs) => {
    const streams = Array.from({ length: 4 }, () => startStream(fleet, "entry-1"))
    await Promise.all(streams.map(({ started }) => started))
    await fleet.setFault("engine-1", { silent: true })
    await sleep(SILENT_MS)
    await fleet.setFault("engine-1", { silent: false })
    const texts = await Promise.all(streams.map(({ text }) => text))
    expect(texts.map(isWhole)).to.deep.equal(texts.map(() => true))
    while (findDone(logs).length < streams.length) await sleep(POLL_MS)
    expect(findDone(logs).filter((line) => line.includes("resumes=0"))).to.deep.equal([])
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
    expect(texts.map(isWhole)).to.deep.equal(texts.map(() => true))
    expect(fleet.getExitCode("entry-1")).to.equal(0)
  }))
