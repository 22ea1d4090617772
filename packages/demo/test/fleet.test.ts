import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs"
import { join } from "node:path"
import { fileURLToPath, pathToFileURL } from "node:url"
import { expect } from "chai"
import { launchFleet, type SampleRow, sendSample } from "@galenaway/demo"

it("answers the sample, also after a kill", async () => {
  const fleet = await launchFleet({ port: 0, instances: 3, engines: 3, bookings: 1 })
  try {
    const before = await sendSample(fleet.url)
    expect(before.filter((row) => !row.isCorrect)).to.deep.equal([])
    fleet.signal("entry-1", "SIGKILL")
    await fleet.waitForEnd("entry-1")
    const after = await sendSample(fleet.url)
    expect(after.filter((row) => !row.isCorrect)).to.deep.equal([])
  } finally {
    await fleet.stop()
  }
})

it("runs the example of the launcher", async () => {
  const root = fileURLToPath(new URL("../..", import.meta.url))
  const code = /```js\n(.*?)```/s.exec(readFileSync(join(root, "README.md"), "utf8"))?.[1] ?? ""
  const folder = mkdtempSync(join(root, "dist", "example-"))
  try {
    const file = join(folder, "example.mjs")
    writeFileSync(file, code)
    const { rows } = (await import(pathToFileURL(file).href)) as { rows: SampleRow[] }
    expect(rows).to.not.deep.equal([])
    expect(rows.filter((row) => !row.isCorrect)).to.deep.equal([])
  } finally {
    rmSync(folder, { recursive: true })
  }
})
