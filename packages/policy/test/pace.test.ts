import { expect } from "chai"
import { PaceEstimator } from "@galenaway/policy"

/** Engines whose speeds differ by a factor of three. */
const SPEEDS = [12, 36]
const OVERHEAD_MS = 10

it("the reading speed of an engine is learned from its answers", () => {
  for (const tokensPerMs of SPEEDS) {
    const pace = new PaceEstimator()
    for (let i = 0; i < 200; i++) {
      const promptTokens = 300 + ((i * 397) % 2000)
      pace.recordPrompt(promptTokens, promptTokens / tokensPerMs + OVERHEAD_MS)
    }
    expect(pace.tokensPerMs).to.be.within(0.75 * tokensPerMs, tokensPerMs)
  }
})

it("the time between events is learned without the pauses for prompts", () => {
  for (const eventMs of [15, 45]) {
    const pace = new PaceEstimator()
    for (let i = 0; i < 1000; i++) pace.recordEvent(i % 2 === 0 ? eventMs : 8 * eventMs)
    expect(pace.eventMs).to.be.within(0.85 * eventMs, 1.15 * eventMs)
  }
})

it("an estimate is for the average pace, and an engine's pace is relative to it", () => {
  const pace = new PaceEstimator()
  expect(pace.computeSlowdown(2)).to.equal(1)
  for (let count = 0; count < 500; count++) {
    const isSlow = count % 2 === 0
    pace.recordPrompt(1000, isSlow ? 150 : 50, isSlow ? 1.5 : 0.5)
  }
  expect(pace.computeSlowdown(1)).to.be.closeTo(1, 0.1)
  expect(pace.computeSlowdown(1.5)).to.be.closeTo(1.5, 0.1)
  expect(pace.computeSlowdown(undefined)).to.equal(1)
  expect(pace.firstTokenMs + pace.estimatePromptMs(1000)).to.be.closeTo(100, 10)
})
