import { expect } from "chai"
import { type EventDetails, renderTimelinePage, type TimelineEvent } from "@galenaway/observe"

const REQUEST_EVENTS: readonly (readonly [string, EventDetails])[] = [
  ["entry-1", { kind: "request-received", request: "r1" }],
  ["entry-1", { kind: "request-received", request: "r2" }],
  ["entry-2", { kind: "request-queued", request: "r1" }],
  ["entry-2", { kind: "load-ordered", endpoint: "m1" }],
  ["m1", { kind: "first-token", request: "r1" }],
]

it("the page has a lane for each process and a dot for each event", () => {
  const page = renderTimelinePage(createEvents(REQUEST_EVENTS))
  expect(page.match(/class="lane"/g)).to.have.length(3)
  expect(page.match(/<circle /g)).to.have.length(REQUEST_EVENTS.length)
})

it("the page's arrows follow one request in one color", () => {
  const page = renderTimelinePage(createEvents(REQUEST_EVENTS))
  const colors = [...page.matchAll(/class="arrow" [^>]* stroke="([^"]+)"/g)].map(
    ([, color]) => color,
  )
  expect(colors).to.have.length(2)
  expect(new Set(colors)).to.have.length(1)
})

it("the page loads nothing from elsewhere and runs no script", () => {
  const page = renderTimelinePage(createEvents(REQUEST_EVENTS)).replace(
    "http://www.w3.org/2000/svg",
    "",
  )
  expect(page).to.not.match(/https?:|\bsrc=|\bhref=|@import|<script|url\((?!#)/)
})

it("the page shows names as text and never as markup", () => {
  const details = { kind: "request-failed", note: '<script>alert("x")</script>&' } as const
  const page = renderTimelinePage(createEvents([["<b>", details]]))
  expect(page).to.contain("&lt;script&gt;alert(&quot;x&quot;)&lt;/script&gt;&amp;")
  expect(page).to.not.match(/<script|<b>/)
})

it("the page without events is a complete HTML document", () => {
  expect(renderTimelinePage([])).to.match(/^<!doctype html>[^]*<\/html>\n$/)
})

function createEvents(
  events: readonly (readonly [string, EventDetails])[],
): readonly TimelineEvent[] {
  return events.map(([instance, details], wall) => ({
    ...details,
    instance,
    dataCentre: "a",
    at: { wall, counter: 0 },
  }))
}
