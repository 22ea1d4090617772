import { expect } from "chai"
import type { EndpointInfo } from "@galenaway/core"
import { noPeers, NaiveStatusSource } from "@galenaway/daemon"
import { createActiveConfiguration } from "./configuration-support.js"

const ENGINE: EndpointInfo = {
  id: "engine-1",
  kind: "engine",
  dataCentre: "iloilo",
  url: "http://127.0.0.1:1",
  fencing: "checked",
  slots: 8,
  capacity: 16,
}

it("lists a silent endpoint and a missing configuration as degraded", () => {
  const settings = { id: "entry-1", dataCentre: "iloilo", endpoints: [ENGINE] }
  const row = { info: ENGINE, isReachable: false, report: undefined, lastUsed: new Map() }
  const rows = new Map([["engine-1", row]])
  const watch = { isPlatformReachable: false }
  const status = new NaiveStatusSource(settings, rows, createActiveConfiguration(), watch, noPeers)
  expect(status.listProblems().map((each) => each.subject)).to.deep.equal([
    "endpoint engine-1",
    "instance entry-1",
  ])
})
