import { expect } from "chai"
import { buildAdmitRequest } from "@galenaway/entry"
import { AdmitRequest } from "@galenaway/entry/messages"

it("the account of a request reaches its owner", () => {
  const admission = {
    promptTokens: 1,
    outputTokens: 2,
    priority: 0,
    objectiveInMs: 1,
    waitMs: 1,
    isLate: false,
    account: "a",
  }
  const sent = AdmitRequest.encode(buildAdmitRequest("e", "i", admission)).finish()
  expect(AdmitRequest.decode(sent)).to.deep.include({ account: "a", outputTokens: 2 })
})
