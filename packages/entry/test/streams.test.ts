import { expect } from "chai"
import type { RawHeaders } from "@galenaway/core"
import { type AttemptResult, type CallerReply, StreamSink } from "@galenaway/entry"

const MEBIBYTE = 1024 * 1024
const CHUNKED: RawHeaders = ["Transfer-Encoding", "chunked"]
const FLOW_CONTROL = { pause: () => undefined, resume: () => undefined }

it("only events that continue a stream count as used, not parts, comments and repetitions", () => {
  const { sink } = startStream(true)
  expect(sink.onData(Buffer.from("id: 1\ndata: a\n\n"))).to.equal("used")
  expect(sink.onData(Buffer.from("id: 2\nda"))).to.equal("kept")
  expect(sink.onData(Buffer.from("t"))).to.equal("kept")
  expect(sink.onData(Buffer.from("a: b\n\n"))).to.equal("used")
  expect(sink.onData(Buffer.from(": still here\n\n"))).to.equal("kept")
  expect(sink.onData(Buffer.from("id: 2\ndata: b\n\n"))).to.equal("kept")
})

for (const isResumable of [true, false])
  it(`an event without an end is rejected, resumable ${String(isResumable)}`, () => {
    const { sink } = startStream(isResumable)
    const chunk = Buffer.alloc(64 * 1024, "x")
    let size = 0
    while (sink.onData(chunk) !== "rejected") {
      size += chunk.length
      expect(size).to.be.lessThan(2 * MEBIBYTE)
    }
  })

for (const isResumable of [true, false])
  it(`a stream whose connection ends within an event isn't complete, resumable ${String(isResumable)}`, () => {
    const broken = startStream(isResumable)
    broken.sink.onData(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"))
    expect(broken.sink.onEnd()).to.deep.equal({ kind: "failed", cause: "broken" })
    expect(broken.reply.isEnded).to.equal(false)
    const whole = startStream(isResumable)
    whole.sink.onData(Buffer.from("id: 1\ndata: a\n\n"))
    expect(whole.sink.onEnd()).to.deep.equal(STREAMED)
    expect(whole.reply.isEnded).to.equal(true)
  })

for (const isResumable of [true, false])
  for (const headers of [[], CHUNKED])
    it(`a stream that ends within an event has been broken off, resumable ${String(isResumable)}, ${headers.join(" ")}`, () => {
      const { sink, reply } = startStream(isResumable, headers)
      sink.onData(Buffer.from("data: a\n\ndata: end"))
      expect(sink.onEnd()).to.deep.equal({ kind: "failed", cause: "broken" })
      expect(reply.isEnded).to.equal(false)
    })

it("a stream without an event whose end only its connection shows has been broken off", () => {
  expect(startStream(true).sink.onEnd()).to.deep.equal({ kind: "failed", cause: "broken" })
  expect(startStream(true, CHUNKED).sink.onEnd()).to.deep.equal(STREAMED)
})

for (const [name, size] of Object.entries({ short: 10, long: 512 * 1024 }))
  it(`no byte of a ${name} error of a second engine is passed into a stream that has begun`, () => {
    const { stream, sink, reply } = startStream(true)
    sink.onData(Buffer.from("id: 1\ndata: a\n\n"))
    const { text } = reply
    const second = stream.createSink(() => FLOW_CONTROL)
    second.onHead(500, CHUNKED)
    for (let sent = 0; sent < size; sent += 10) second.onData(Buffer.from("error text"))
    expect(second.onEnd().kind).to.equal("answered")
    expect(reply.text).to.equal(text)
    expect(reply.isEnded).to.equal(false)
  })

it("text of a second engine that is no event never ends a stream that has begun", () => {
  const { stream, sink, reply } = startStream(true)
  sink.onData(Buffer.from("id: 1\ndata: a\n\n"))
  const second = stream.createSink(() => FLOW_CONTROL)
  second.onHead(200, ["Content-Length", "10"])
  second.onData(Buffer.from("error text"))
  expect(second.onEnd()).to.deep.equal({ kind: "failed", cause: "broken" })
  expect(reply.text).to.equal("id: 1\ndata: a\n\n")
  expect(reply.isEnded).to.equal(false)
})

const STREAMED: AttemptResult = { kind: "streamed" }

function startStream(isResumable: boolean, headers: RawHeaders = []) {
  const reply = new RecordedReply()
  const stream = new StreamSink(reply as unknown as CallerReply, isResumable, undefined)
  const sink = stream.createSink(() => FLOW_CONTROL)
  sink.onHead(200, headers)
  return { stream, sink, reply }
}

/** A reply that keeps what the caller would receive. */
class RecordedReply {
  text = ""
  hasHead = false
  isEnded = false

  writeHead(): void {
    this.hasHead = true
  }

  write(bytes: Buffer): boolean {
    this.text += bytes.toString()
    return true
  }

  gather(): boolean {
    return true
  }

  releaseGathered(): void {
    // Nothing is counted.
  }

  end(bytes?: Buffer): void {
    this.text += bytes?.toString() ?? ""
    this.isEnded = true
  }
}
