import { expect } from "chai"
import fc from "fast-check"
import { RetryLimiter } from "@galenaway/routing"

const WINDOW_MS = 10_000
const LIMITS = { share: 0.2, fixed: 20, windowMs: WINDOW_MS }

it("retries of all instances stay below the fleet's limit in every window", () => {
  const step = fc.record({
    instance: fc.nat(3),
    gapMs: fc.nat(400),
    requests: fc.nat(3),
    retries: fc.nat(6),
  })
  fc.assert(
    fc.property(fc.array(step, { minLength: 50, maxLength: 200 }), (steps) => {
      const limiters = [0, 1, 2, 3].map(() => new RetryLimiter(LIMITS))
      const requests: number[] = []
      const retries: number[] = []
      let now = 0
      for (const { instance, gapMs, requests: count, retries: wanted } of steps) {
        now += gapMs
        const limiter = limiters[instance]
        for (let i = 0; i < count; i++) {
          limiter?.recordRequest(now)
          requests.push(now)
        }
        for (let i = 0; i < wanted; i++) if (limiter?.acquire(now, 4)) retries.push(now)
      }
      for (const end of retries) {
        const isInWindow = (at: number) => at > end - WINDOW_MS && at <= end
        const limit = LIMITS.share * requests.filter(isInWindow).length + LIMITS.fixed
        expect(retries.filter(isInWindow).length).to.be.at.most(limit)
      }
    }),
    { seed: 3, numRuns: 200 },
  )
})

it("a single instance may use the fixed number of retries without any request", () => {
  const limiter = new RetryLimiter(LIMITS)
  let taken = 0
  while (limiter.acquire(0, 1)) taken++
  expect(taken).to.be.within(10, 20)
})

it("retries are available again after a window", () => {
  const limiter = new RetryLimiter(LIMITS)
  while (limiter.acquire(0, 1));
  expect(limiter.acquire(WINDOW_MS / 2, 1)).to.equal(false)
  expect(limiter.acquire(2 * WINDOW_MS, 1)).to.equal(true)
})
