import { EventEmitter } from "node:events"
import { expect } from "chai"
import { AdmitStream } from "@galenaway/entry"

type OpenStream = ConstructorParameters<typeof AdmitStream>[0]
type Request = Parameters<AdmitStream["send"]>[0]

const LONG_MS = 60_000
const REQUEST: Request = {
  endpoint: "e",
  instance: "i",
  promptTokens: 1,
  priority: 0,
  objectiveInMs: 1,
  waitMs: 1,
  isLate: false,
  account: "",
  outputTokens: 0,
  id: 0,
  isCancelled: false,
}

it("replies are matched to their requests in any order, over one stream", async () => {
  const { admissions, streams } = createAdmissions()
  const { signal } = new AbortController()
  const first = admissions.send(REQUEST, LONG_MS, signal)
  const second = admissions.send(REQUEST, LONG_MS, signal)
  streams[0]?.emit("data", { id: 2, waitMs: 2 })
  streams[0]?.emit("data", { id: 1, waitMs: 1 })
  expect((await first).waitMs).to.equal(1)
  expect((await second).waitMs).to.equal(2)
  expect(streams.length).to.equal(1)
})

it("a broken stream rejects what waits, and the next request opens another one", async () => {
  const { admissions, streams } = createAdmissions()
  const { signal } = new AbortController()
  const waiting = admissions.send(REQUEST, LONG_MS, signal).catch(describe)
  streams[0]?.emit("error", new Error("reset"))
  expect(await waiting).to.equal("reset")
  const next = admissions.send(REQUEST, LONG_MS, signal)
  streams[1]?.emit("data", { id: 2, waitMs: 0 })
  expect((await next).id).to.equal(2)
})

it("a request whose caller left, or that isn't answered, is cancelled at the peer", async () => {
  const { admissions, streams } = createAdmissions()
  const caller = new AbortController()
  const left = admissions.send(REQUEST, LONG_MS, caller.signal).catch(describe)
  caller.abort()
  expect(await left).to.equal("the caller has left")
  const silent = admissions.send(REQUEST, 1, new AbortController().signal).catch(describe)
  expect(await silent).to.equal("no reply in time")
  const cancelled = streams[0]?.sent.filter(({ isCancelled }) => isCancelled).map(({ id }) => id)
  expect(cancelled).to.deep.equal([1, 2])
})

class RecordedStream extends EventEmitter {
  readonly sent: Request[] = []

  write(request: Request): boolean {
    this.sent.push(request)
    return true
  }

  cancel(): void {
    this.emit("end")
  }
}

function createAdmissions() {
  const streams: RecordedStream[] = []
  const open = () => {
    const stream = new RecordedStream()
    streams.push(stream)
    return stream as unknown as ReturnType<OpenStream>
  }
  return { admissions: new AdmitStream(open), streams }
}

function describe(error: unknown): string {
  return error instanceof Error ? error.message : "unknown"
}
