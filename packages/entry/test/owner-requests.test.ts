import { expect } from "chai"
import { buildAdmitRequest, buildLoadRequest } from "@galenaway/entry"
import { AdmitRequest, LoadRequest } from "@galenaway/entry/messages"

// A caller that stated 5 billion tokens ended the stream of an owner's admissions.
it("no number of a caller or of a configuration makes a request to an owner impossible to encode", () => {
  for (const number of [-1, 0.5, 1.5, 5e9, 1e300]) {
    const times = { waitMs: number, objectiveInMs: number }
    const tokens = { promptTokens: number, outputTokens: number }
    const admission = { ...tokens, ...times, priority: number, isLate: false }
    expect(() => {
      AdmitRequest.encode(buildAdmitRequest("e", "i", admission)).finish()
    }, String(number)).not.to.throw()
    const load = { ...times, priority: number, wasMissing: false, canRedirect: true }
    expect(() => {
      LoadRequest.encode(buildLoadRequest("e", "m/a", undefined, load)).finish()
    }, String(number)).not.to.throw()
  }
})

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
