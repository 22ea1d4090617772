import { readFileSync } from "node:fs"
import { fileURLToPath } from "node:url"
import { expect } from "chai"
import { readSettings } from "@galenaway/daemon"

const README = fileURLToPath(new URL("../../README.md", import.meta.url))

/** Returns the environment variables of the example in the README. */
function readExample(): Record<string, string> {
  const code = /```ts\n(.*?)```/s.exec(readFileSync(README, "utf8"))?.[1] ?? ""
  return Object.fromEntries(
    [...code.matchAll(/(GALENAWAY_\w+):\s+"([^"]*)"/g)].map(([, name = "", value = ""]) => [
      name,
      value,
    ]),
  )
}

it("accepts the settings of the daemon's page", () => {
  const { endpoints, peerListen } = readSettings(["--id", "entry-1"], readExample())
  expect(endpoints.map(({ id }) => id)).to.deep.equal(["engine-1"])
  expect(peerListen).to.deep.equal({ host: "127.0.0.1", port: 8001 })
})
