import { expect } from "chai"
import { chooseConnectionToClose, type ConnectionView } from "@galenaway/ingress"

const NOW = 10_000

function makeView(view: Partial<ConnectionView>): ConnectionView {
  return { phase: "idle", since: 0, isUsed: true, ...view }
}

it("a stalled head is closed before an idle connection, and the longest first", () => {
  const longest = makeView({ phase: "head", since: 1000 })
  const others = [makeView({}), makeView({ phase: "body", since: 2000 })]
  expect(chooseConnectionToClose([...others, longest], NOW)).to.equal(longest)
})

it("an unused connection is closed before one whose caller may send again", () => {
  const unused = makeView({ since: 5000, isUsed: false })
  expect(chooseConnectionToClose([makeView({}), unused], NOW)).to.equal(unused)
})

it("connections that are answered, or on which a request progresses, aren't closed", () => {
  const views = [
    makeView({ phase: "answer" }),
    makeView({ phase: "body", since: NOW - 500 }),
    makeView({ since: NOW, isUsed: false }),
  ]
  expect(chooseConnectionToClose(views, NOW)).to.equal(undefined)
})
