import { expect } from "chai"
import { AccountUsage } from "@galenaway/entry"

const MANY = 10_000
const MAX_METRICS_BYTES = 64 * 1024

it("the requests and refusals of an account are counted by reason", () => {
  const usage = new AccountUsage()
  usage.onRequest("a", 120)
  usage.onRequest("a", 80)
  usage.onRefused("a", "overloaded")
  expect(usage.getCounts("a")).to.deep.equal({
    requests: 2,
    tokens: 200,
    refusals: { overloaded: 1 },
  })
  expect(usage.getCounts("b")).to.deep.equal({ requests: 0, tokens: 0, refusals: {} })
})

it("the metrics of 10,000 accounts stay bounded, and their sum is complete", () => {
  const usage = new AccountUsage()
  for (let index = 0; index < MANY; index++) {
    usage.onRequest(`account-${index}`, 10)
    usage.onRefused(`account-${index}`, "overloaded")
  }
  const text = usage.formatMetrics()
  expect(Buffer.byteLength(text)).to.be.below(MAX_METRICS_BYTES)
  const counts = [...text.matchAll(/^galenaway_account_requests_total\{.*\} (\d+)$/gm)]
  expect(counts.reduce((sum, [, count]) => sum + Number(count), 0)).to.equal(MANY)
  expect(usage.getCounts("account-9999").requests).to.equal(1)
})

it("the counts of an account end with the account, and others take its place in the metrics", () => {
  const usage = new AccountUsage()
  for (let index = 0; index < MANY; index++) usage.onRequest(`old-${index}`, 1)
  usage.removeUnlisted([{ name: "old-0", keys: [] }])
  expect(usage.getCounts("old-1").requests).to.equal(0)
  expect(usage.getCounts("old-0").requests).to.equal(1)
  usage.onRequest("new", 1)
  expect(usage.formatMetrics()).to.include('requests_total{account="new"} 1')
})
