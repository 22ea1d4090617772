import { expect } from "chai"
import fc from "fast-check"
import { EventSplitter } from "@galenaway/routing"

it("events are complete wherever the bytes are split", () => {
  const line = fc.constantFrom("id: 1", "data: x", "id:22", ": comment", "event: y")
  const event = fc.tuple(fc.array(line, { minLength: 1 }), fc.constantFrom("\n", "\r\n"))
  fc.assert(
    fc.property(fc.array(event), fc.array(fc.nat(8)), (parts, cuts) => {
      const texts = parts.map(([lines, end]) => lines.join(end) + end + end)
      const stream = Buffer.from(texts.join(""))
      const splitter = new EventSplitter()
      const found: string[] = []
      let at = 0
      for (let i = 0; at < stream.length; i++) {
        const size = (cuts[i % Math.max(1, cuts.length)] ?? 3) + 1
        for (const { bytes } of splitter.add(stream.subarray(at, at + size)))
          found.push(bytes.toString())
        at += size
      }
      expect(found).to.deep.equal(texts)
      expect(splitter.pendingBytes).to.equal(0)
    }),
    { seed: 2, numRuns: 500 },
  )
})

it("an event carries its id", () => {
  const events = new EventSplitter().add(Buffer.from("id: 7\ndata: a\n\ndata: b\n\n"))
  expect(events.map(({ id }) => id)).to.deep.equal(["7", undefined])
})

it("an incomplete event stays pending", () => {
  const splitter = new EventSplitter()
  splitter.add(Buffer.from("id: 1\n\nid: 2\nda"))
  expect(splitter.pendingBytes).to.equal(8)
  expect(splitter.pendingBytes).to.equal("id: 2\nda".length)
  expect(splitter.add(Buffer.from("\n\n"))[0]?.bytes.toString()).to.equal("id: 2\nda\n\n")
})
