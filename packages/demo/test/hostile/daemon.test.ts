import { expect } from "chai"
import { type Attack, ProcessWatch, startCrowd } from "@galenaway/fakes"
import { type Fleet, launchFleet } from "@galenaway/demo"

const MEMORY_MB = 210
const BYTES_PER_MB = 1024 * 1024
const MAX_DESCRIPTOR_COUNT = 360
const INSTANCE_ENV = {
  GALENAWAY_MEMORY_MB: String(MEMORY_MB),
  GALENAWAY_MAX_FDS: String(MAX_DESCRIPTOR_COUNT),
  NODE_OPTIONS: "--max-old-space-size=96",
}
const INSTANCE = "entry-1"
const PATH = "/v1/services/bookings"
const HEADERS = { "Content-Type": "application/json" }
const ORDINARY_BODY = { boat: "Santa Ana", litres: 40 }
/** Fills the body up to the largest size that the daemon accepts. */
const BODY = Buffer.from(JSON.stringify(ORDINARY_BODY).padEnd(BYTES_PER_MB, " "))
const SEND_LIMIT_MS = 20_000
/** Time for which the crowd stays open after it has sent everything, so that the server reads what it accepts. */
const HOLD_MS = 4000
const ORDINARY_ATTEMPT_COUNT = 20
const RETRY_PAUSE_MS = 500

itSurvives("oversized-heads", 400)
itSurvives("endless-heads", 400)
itSurvives("empty-lines", 400)
itSurvives("whole-bodies", 320)
itSurvives("piecewise-bodies", 200)
itSurvives("large-chunks", 200)
itSurvives("tiny-chunks", 48)

/** Guards against a daemon that a crowd of callers drives out of memory or descriptors. */
function itSurvives(attack: Attack, count: number): void {
  it(`a daemon survives hostile callers: ${attack}`, async () => {
    const options = { port: 0, instances: 1, engines: 1, bookings: 1, env: INSTANCE_ENV }
    const fleet = await launchFleet(options)
    try {
      await checkAttack(fleet, attack, count)
    } finally {
      await fleet.stop()
    }
  })
}

async function checkAttack(fleet: Fleet, attack: Attack, count: number): Promise<void> {
  const url = fleet.instances[0]?.url ?? ""
  const address = new URL(url).host
  const watch = new ProcessWatch(fleet.getProcessId(INSTANCE) ?? 0)
  const headers = { Host: address, ...HEADERS }
  const crowd = startCrowd({ attack, count, address, path: PATH, headers, body: BODY })
  try {
    await crowd.waitUntilSent(SEND_LIMIT_MS)
    await new Promise((resolve) => setTimeout(resolve, HOLD_MS))
    const isAnswered = await sendOrdinary(url)
    expect(watch.isAlive, "the process lives").to.equal(true)
    const { maxResidentBytes, maxDescriptorCount } = watch.read()
    expect(maxResidentBytes / BYTES_PER_MB).to.be.at.most(MEMORY_MB)
    expect(maxDescriptorCount).to.be.at.most(MAX_DESCRIPTOR_COUNT)
    expect(isAnswered, "an ordinary request is answered").to.equal(true)
  } finally {
    watch.stop()
    crowd.close()
  }
}

/** Sends one booking, again after a refusal as callers do, and returns whether it was answered. */
async function sendOrdinary(url: string): Promise<boolean> {
  const request = { method: "POST", headers: HEADERS, body: JSON.stringify(ORDINARY_BODY) }
  for (let attempt = 0; attempt < ORDINARY_ATTEMPT_COUNT; attempt++) {
    const status = await fetch(`${url}${PATH}`, request).then(
      (response) => response.status,
      () => 0,
    )
    if (status === 200) return true
    await new Promise((resolve) => setTimeout(resolve, RETRY_PAUSE_MS))
  }
  return false
}
