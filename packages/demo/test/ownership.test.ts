import { expect } from "chai"
import { type Fleet, launchFleet, readEngineTotals, runChurn } from "@galenaway/demo"

const SMALL = { port: 0, instances: 3, engines: 3, bookings: 1, slots: 2 } as const
/** Longer than an owner is silent before its endpoints are used without it. */
const OWNER_SILENCE_MS = 4000
const CHURN = { calls: 90, concurrency: 12, adapters: 12 }

function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

async function withFleet(
  router: "naive" | "coordinated",
  run: (fleet: Fleet) => Promise<void>,
  engines: number = SMALL.engines,
): Promise<void> {
  const fleet = await launchFleet({ ...SMALL, router, engines })
  try {
    await run(fleet)
  } finally {
    await fleet.stop()
  }
}

it("the naive router evicts adapters in use", () =>
  withFleet("naive", async (fleet) => {
    await runChurn(fleet.url, CHURN)
    const { evictionsInUse } = await readEngineTotals(fleet)
    expect(evictionsInUse).to.be.above(0)
  }))

it("evicts no adapter in use under churn", () =>
  withFleet("coordinated", async (fleet) => {
    const result = await runChurn(fleet.url, CHURN)
    const totals = await readEngineTotals(fleet)
    expect(totals.evictionsInUse).to.equal(0)
    expect(totals.unloads).to.be.above(0)
    expect(result.wrong + result.unanswered).to.equal(0)
  }))

it("evicts no adapter in use while an owner is paused and another is killed", () =>
  withFleet("coordinated", async (fleet) => {
    const churn = runChurn(fleet.url, { ...CHURN, calls: 160 })
    await waitMs(1000)
    fleet.signal("entry-3", "SIGSTOP")
    await waitMs(4000)
    fleet.signal("entry-3", "SIGCONT")
    fleet.signal("entry-2", "SIGKILL")
    const result = await churn
    const totals = await readEngineTotals(fleet)
    expect(totals.evictionsInUse).to.equal(0)
    expect(totals.unloads).to.be.above(0)
    expect(result.wrong).to.equal(0)
    expect(result.right).to.be.above(0)
  }))

it("serves resident adapters without owner and platform", () =>
  withFleet(
    "coordinated",
    async (fleet) => {
      const warm = { calls: 6, concurrency: 2, adapters: 2 }
      await runChurn(fleet.url, warm)
      await setPlatform(fleet, { down: true })
      fleet.signal("entry-1", "SIGKILL")
      await fleet.waitForEnd("entry-1")
      await waitMs(OWNER_SILENCE_MS)
      const result = await runChurn(fleet.url, { calls: 30, concurrency: 2, adapters: 2 })
      await setPlatform(fleet, { down: false })
      expect(result).to.deep.equal({ right: 30, wrong: 0, refused: 0, unanswered: 0 })
    },
    1,
  ))

async function setPlatform(fleet: Fleet, faults: { readonly down: boolean }): Promise<void> {
  const body = JSON.stringify(faults)
  await fetch(`${fleet.platformUrl}/faults`, { method: "POST", body })
}
