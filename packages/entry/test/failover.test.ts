import { expect } from "chai"
import { type DestinationResult, Failover, type SilentAttempt } from "@galenaway/entry"
import { ENGINE } from "./support.js"

const FOUND: DestinationResult = {
  kind: "found",
  destination: { endpoint: ENGINE, isLate: false, waitMs: 0 },
}
const NONE: DestinationResult = { kind: "none", reason: "no engine can be used" }

it("a silent attempt ends only once another endpoint is found", async () => {
  const results = [NONE, NONE, FOUND]
  const attempt = createAttempt()
  const failover = createFailover(() => {
    expect(attempt.isSilent).to.equal(true)
    return results.shift() ?? NONE
  })
  await failover.run(attempt)
  expect(attempt.isSilent).to.equal(false)
  expect(failover.takeDestination()).to.equal(FOUND.destination)
  expect(failover.takeDestination()).to.equal(undefined)
})

it("an attempt that goes on during the search keeps its endpoint and takes no retry", async () => {
  const attempt = createAttempt()
  let retryCount = 0
  const failover = createFailover(
    () => {
      attempt.isSilent = false
      return FOUND
    },
    () => ++retryCount > 0,
  )
  await failover.run(attempt)
  expect(attempt.hasEnded).to.equal(false)
  expect(retryCount).to.equal(0)
  expect(failover.takeDestination()).to.equal(undefined)
})

it("a silent attempt keeps its endpoint while the retry limit is reached", async () => {
  const attempt = createAttempt()
  const allowed = [false, false, true]
  const failover = createFailover(
    () => FOUND,
    () => {
      expect(attempt.hasEnded).to.equal(false)
      return allowed.shift() ?? false
    },
  )
  await failover.run(attempt)
  expect(allowed).to.deep.equal([])
  expect(attempt.hasEnded).to.equal(true)
})

it("an attempt that falls silent during the search for an earlier one is replaced too", async () => {
  const earlier = createAttempt()
  const later = createAttempt()
  let endSearch: () => void = () => undefined
  const waiting = new Promise<void>((resolve) => (endSearch = resolve))
  let searchCount = 0
  const failover = new Failover({
    find: async () => {
      if (searchCount++ === 0) await waiting
      return FOUND
    },
    acquireRetry: () => true,
    disconnectSignal: new AbortController().signal,
    onError: () => undefined,
  })
  const runs = [failover.run(earlier)]
  earlier.isSilent = false
  runs.push(failover.run(later))
  endSearch()
  await Promise.all(runs)
  expect(earlier.hasEnded).to.equal(false)
  expect(later.hasEnded).to.equal(true)
})

it("a search that fails leaves the attempt as it is", async () => {
  const attempt = createAttempt()
  const errors: unknown[] = []
  const failover = createFailover(
    () => {
      throw new RangeError("no instance")
    },
    () => true,
    (error) => errors.push(error),
  )
  await failover.run(attempt)
  expect(attempt.hasEnded).to.equal(false)
  expect(errors.length).to.equal(1)
})

function createAttempt() {
  const attempt: SilentAttempt & { isSilent: boolean; hasEnded: boolean } = {
    isSilent: true,
    hasEnded: false,
    endSilent: () => {
      attempt.hasEnded = true
      attempt.isSilent = false
    },
  }
  return attempt
}

function createFailover(
  find: () => DestinationResult,
  acquireRetry = () => true,
  onError: (error: unknown) => void = () => undefined,
): Failover {
  return new Failover({
    find: async () => Promise.resolve(find()),
    acquireRetry,
    disconnectSignal: new AbortController().signal,
    onError,
  })
}
