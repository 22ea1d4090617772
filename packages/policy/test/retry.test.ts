import { expect } from "chai"
import { removeRetry, addFirstTry, createRetryBudget } from "@galenaway/policy"

it("keeps retries to a share of the requests", () => {
  const budget = createRetryBudget(0.1)
  let retries = 0
  for (let request = 0; request < 1000; request++) {
    addFirstTry(budget)
    if (removeRetry(budget)) retries++
  }
  expect(retries).to.be.within(100, 110)
})
