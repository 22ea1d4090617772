import { expect } from "chai"
import { acquireRetry, recordFirstAttempt, createRetryBudget } from "@galenaway/policy"

it("keeps retries to a share of the requests", () => {
  const budget = createRetryBudget(0.1)
  let retries = 0
  for (let request = 0; request < 1000; request++) {
    recordFirstAttempt(budget)
    if (acquireRetry(budget)) retries++
  }
  expect(retries).to.be.within(100, 110)
})
