import { expect } from "chai"
import { formatAdapter } from "@galenaway/core"
import {
  createMember,
  updateMember,
  type MemberEvent,
  type MemberState,
} from "@galenaway/coordination"

const X = formatAdapter({ base: "reef-8b", adapter: "x", version: "v1" })
const endpoint = "engine-0"
const grant = { id: "g", request: "r", endpoint, adapter: X, owner: "a", epoch: 1 }
const announce = (announcement: number, epoch = 1): MemberEvent => ({
  kind: "eviction-announced",
  endpoint,
  adapter: X,
  epoch,
  announcement,
})
const briefing: MemberEvent = {
  kind: "witness-briefed",
  endpoint,
  epoch: 1,
  announcement: 0,
  adapters: [X],
}

function applyAll(...events: MemberEvent[]): MemberState {
  return events.reduce((state, event) => updateMember(state, event).state, createMember("m"))
}

const getReply = (state: MemberState, event: MemberEvent) => updateMember(state, event).reply

it("reports its grants and the announcements that it has acknowledged", () => {
  const state = applyAll({ kind: "grant-arrived", grant }, announce(1))
  expect(getReply(state, { kind: "holdings-asked", endpoint, epoch: 2 })).to.deep.equal({
    kind: "holdings",
    epoch: 2,
    grants: [grant],
    announced: [{ adapter: X, epoch: 1, announcement: 1 }],
  })
})

it("refuses messages of an older epoch after its holdings report", () => {
  const state = applyAll({ kind: "holdings-asked", endpoint, epoch: 2 })
  const replies = [announce(1), { kind: "grant-arrived", grant } as const, briefing].map(
    (event) => getReply(state, event).kind,
  )
  expect(replies).to.deep.equal(["refused", "refused", "refused"])
})

it("keeps a newer announcement over a late settlement", () => {
  const settle: MemberEvent = { ...announce(1), kind: "eviction-settled" } as MemberEvent
  const state = applyAll(announce(1), announce(2), settle)
  expect(state.endpoints.get(endpoint)?.announced.map((each) => each.announcement)).to.deep.equal([
    2,
  ])
})

it("seals only an epoch whose briefing it has received", () => {
  const seal: MemberEvent = { kind: "seal-asked", endpoint, epoch: 1 }
  expect(getReply(applyAll(), seal).kind).to.equal("refused")
  expect(getReply(applyAll(briefing), seal)).to.deep.equal({
    kind: "sealed",
    epoch: 1,
    announced: [{ adapter: X, epoch: 1, announcement: 0 }],
  })
})

it("acknowledges nothing in a sealed epoch", () => {
  const state = applyAll(briefing, { kind: "seal-asked", endpoint, epoch: 1 })
  expect(getReply(state, announce(1)).kind).to.equal("refused")
  expect(getReply(state, announce(1, 2)).kind).to.equal("accepted")
})

it("removes announcements of epochs that the document closed", () => {
  const state = applyAll(announce(1, 1), announce(1, 2), {
    kind: "ownership-seen",
    ownership: {
      endpoint,
      owner: "c",
      epoch: 3,
      witnesses: [],
      predecessors: [{ owner: "b", epoch: 2, witnesses: ["m"] }],
    },
  })
  expect(state.endpoints.get(endpoint)?.announced.map(({ epoch }) => epoch)).to.deep.equal([2])
})
