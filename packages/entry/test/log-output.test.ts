import { expect } from "chai"
import { createDelayedOutput } from "@galenaway/entry"

const DELAY_MS = 20

function createOutput() {
  const lines: string[] = []
  const flushedCounts: number[] = []
  const buffered = {
    write: (line: string) => lines.push(line),
    flush: () => flushedCounts.push(lines.length),
  }
  return { output: createDelayedOutput(buffered, DELAY_MS), flushedCounts }
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

// Lines of a process that is killed later than the delay would be lost.
it("log lines are flushed together after the delay", async () => {
  const { output, flushedCounts } = createOutput()
  output.write("a")
  output.write("b")
  await wait(5 * DELAY_MS)
  output.write("c")
  await wait(5 * DELAY_MS)
  expect(flushedCounts).to.deep.equal([2, 3])
})

// Each flush switches threads, so an idle instance would use processor time for nothing.
it("nothing is flushed while nothing is logged", async () => {
  const { flushedCounts } = createOutput()
  await wait(5 * DELAY_MS)
  expect(flushedCounts).to.deep.equal([])
})
