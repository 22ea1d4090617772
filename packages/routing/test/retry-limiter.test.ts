import { expect } from "chai"
import fc from "fast-check"
import { RetryLimiter } from "@galenaway/routing"

const WINDOW_MS = 10_000
const LIMITS = { share: 0.2, fixed: 20, windowMs: WINDOW_MS }

it("repeats of all instances stay below the fleet's limit in every window", () => {
  const step = fc.record({
    instance: fc.nat(3),
    gapMs: fc.nat(400),
    requests: fc.nat(3),
    repeats: fc.nat(6),
  })
  fc.assert(
    fc.property(fc.array(step, { minLength: 50, maxLength: 200 }), (steps) => {
      const parts = [0, 1, 2, 3].map(() => new RetryLimiter(LIMITS))
      const requests: number[] = []
      const repeats: number[] = []
      let now = 0
      for (const { instance, gapMs, requests: count, repeats: wanted } of steps) {
        now += gapMs
        const part = parts[instance]
        for (let i = 0; i < count; i++) {
          part?.recordRequest(now)
          requests.push(now)
        }
        for (let i = 0; i < wanted; i++) if (part?.acquire(now, 4)) repeats.push(now)
      }
      for (const end of repeats) {
        const isIn = (at: number) => at > end - WINDOW_MS && at <= end
        const limit = LIMITS.share * requests.filter(isIn).length + LIMITS.fixed
        expect(repeats.filter(isIn).length).to.be.at.most(limit)
      }
    }),
    { seed: 3, numRuns: 200 },
  )
})

it("an instance that is alone may use the fixed part without any request", () => {
  const part = new RetryLimiter(LIMITS)
  let taken = 0
  while (part.acquire(0, 1)) taken++
  expect(taken).to.be.within(10, 20)
})

it("the allowance comes back after a window", () => {
  const part = new RetryLimiter(LIMITS)
  while (part.acquire(0, 1));
  expect(part.acquire(WINDOW_MS / 2, 1)).to.equal(false)
  expect(part.acquire(2 * WINDOW_MS, 1)).to.equal(true)
})
