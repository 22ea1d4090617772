import { expect } from "chai"
import { launchFleet, sendSample } from "@galenaway/demo"

it("answers the sample, also after a kill", async () => {
  const fleet = await launchFleet({ port: 0, instances: 3, engines: 3, bookings: 1 })
  try {
    const before = await sendSample(fleet.url)
    expect(before.filter((row) => !row.isRight)).to.deep.equal([])
    fleet.signal("entry-1", "SIGKILL")
    await fleet.waitForEnd("entry-1")
    const after = await sendSample(fleet.url)
    expect(after.filter((row) => !row.isRight)).to.deep.equal([])
  } finally {
    await fleet.stop()
  }
})
