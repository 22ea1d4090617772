import { expect } from "chai"
import type { Millis, Registration } from "@galenaway/core"
import {
  type AttemptResult,
  type Call,
  choosePlainDestination,
  chooseTimeouts,
  type ForwardContext,
  recordPlainResult,
} from "@galenaway/entry"
import { createManualClock } from "@galenaway/fakes"
import { noopMetrics } from "@galenaway/observe"
import { CostEstimator, EndpointHealth, PaceTable, PlacementCostTable } from "@galenaway/routing"
import { ENGINE } from "./support.js"

const ENDPOINTS: readonly Registration[] = ["slow", "fast"].map((id) => ({ ...ENGINE, id }))
const NO_ENDPOINTS: ReadonlySet<string> = new Set()
const CALL = {
  service: "s",
  path: "/x/1",
  facts: {},
  route: { name: "r", kind: "idempotent", objectiveMs: 150 },
} as unknown as Call

it("an idempotent call isn't ended early at an endpoint that is known to be slow", () => {
  const context = buildContext()
  const destination = { endpoint: ENGINE, isLate: false, waitMs: 0 }
  expect(chooseTimeouts(context, CALL, destination).firstByteMs).to.equal(100)
  const slow = { ...destination, expectedMs: 90 }
  expect(chooseTimeouts(context, CALL, slow).firstByteMs).to.equal(360)
})

it("a slow endpoint gets few calls after some answers, and error answers don't count", () => {
  const context = buildContext()
  for (let count = 0; count < 10; count++) {
    recordAnswer(context, "slow", 90, 200)
    recordAnswer(context, "fast", 30, 200)
    recordAnswer(context, "slow", 1, 404)
  }
  const chosen = Array.from({ length: 200 }, () => choose(context))
  expect(chosen.filter((id) => id === "slow").length).to.be.below(40)
})

it("endpoints whose answers take the same time are chosen by their load", () => {
  const context = buildContext()
  for (let count = 0; count < 10; count++)
    for (const { id } of ENDPOINTS) recordAnswer(context, id, 30, 200)
  context.health.onSend("slow", 0, 0)
  const chosen = Array.from({ length: 20 }, () => choose(context))
  expect(new Set(chosen)).to.deep.equal(new Set(["fast"]))
})

function choose(context: ForwardContext): string | undefined {
  return choosePlainDestination(context, CALL, ENDPOINTS, NO_ENDPOINTS)?.endpoint.id
}

function recordAnswer(context: ForwardContext, id: string, ms: Millis, status: number): void {
  const result: AttemptResult = {
    kind: "answered",
    answer: { status, headers: [], body: Buffer.alloc(0) },
  }
  const destination = { endpoint: { ...ENGINE, id }, isLate: false, waitMs: 0 }
  recordPlainResult(context, CALL, destination, result, ms)
}

function buildContext(): ForwardContext {
  const context = {
    health: new EndpointHealth(),
    costs: new CostEstimator(),
    placementCosts: new PlacementCostTable(),
    paces: new PaceTable(),
    localDataCentre: ENGINE.dataCentre,
    clock: createManualClock(),
    metrics: noopMetrics,
  }
  return context as unknown as ForwardContext
}
