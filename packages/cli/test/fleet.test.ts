import { spawnSync } from "node:child_process"
import { fileURLToPath } from "node:url"
import { expect } from "chai"
import { type Fleet, launchFleet, OPERATOR_KEY } from "@galenaway/demo"

const CLI_PATH = fileURLToPath(new URL("../../bin/galenaway.js", import.meta.url))

function runProcess(urls: readonly string[], args: readonly string[], input = ""): string {
  const env = {
    ...process.env,
    GALENAWAY_OPERATOR_URLS: urls.join(","),
    GALENAWAY_OPERATOR_KEY: OPERATOR_KEY,
  }
  return spawnSync(process.execPath, [CLI_PATH, ...args], { env, input, encoding: "utf8" }).stdout
}

function readRevision(url: string): number {
  return (JSON.parse(runProcess([url], ["config", "get"])) as { revision: number }).revision
}

async function withFleet(run: (fleet: Fleet, urls: readonly string[]) => void): Promise<void> {
  const fleet = await launchFleet({ port: 0, instances: 3, engines: 1, bookings: 1 })
  try {
    run(
      fleet,
      fleet.instances.map((each) => each.operatorUrl),
    )
  } finally {
    await fleet.stop()
  }
}

it("puts a change in force on every instance of a fleet", async () => {
  await withFleet((_, urls) => {
    const edited = JSON.stringify({ revision: 0, defaults: { loads: { burst: 4 } } })
    const args = ["config", "apply", "-", "--reason", "more loads", "--wait", "4"]
    runProcess(urls, args, edited)
    expect(urls.map(readRevision)).to.deep.equal([1, 1, 1])
  })
})
