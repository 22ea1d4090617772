import { expect } from "chai"
import { formatAdapter, parseAdapter, parseAdapterKey } from "@galenaway/core"

it("parses a model name", () => {
  const ref = { base: "reef-8b", adapter: "iloilo.sst", version: "v12" }
  expect(parseAdapter("reef-8b/iloilo.sst@v12")).to.deep.equal(ref)
  expect(formatAdapter(ref)).to.equal("reef-8b/iloilo.sst@v12")
})

it("refuses malformed model names", () => {
  for (const name of [
    "",
    "reef",
    "reef/a",
    "reef/a@",
    "../a@1",
    "reef/a@1/x",
    "reef/a b@1",
    "a".repeat(99),
  ])
    expect(parseAdapterKey(name), name).to.equal(undefined)
})
