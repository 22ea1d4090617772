import { spawnSync } from "node:child_process"
import { fileURLToPath } from "node:url"
import { expect } from "chai"

const SCRIPT = fileURLToPath(new URL("../../../../scripts/configuration-docs.mjs", import.meta.url))

it("keeps the configuration page equal to the schema", () => {
  const { status, stderr } = spawnSync(process.execPath, [SCRIPT, "--check"], { encoding: "utf8" })
  expect([status, stderr]).to.deep.equal([0, ""])
})
