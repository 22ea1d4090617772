import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs"
import { join } from "node:path"
import { fileURLToPath, pathToFileURL } from "node:url"
import { expect } from "chai"

const root = fileURLToPath(new URL("../..", import.meta.url))

it("runs the embedding example of the claims", async () => {
  const readme = readFileSync(join(root, "README.md"), "utf8")
  const code = /```js\n(.*?)```/s.exec(readme)?.[1] ?? ""
  // The file is inside the package so that its imports resolve.
  const folder = mkdtempSync(join(root, "dist", "example-"))
  try {
    const file = join(folder, "example.mjs")
    writeFileSync(file, code)
    const example = (await import(pathToFileURL(file).href)) as Record<string, unknown>
    expect(example.first).to.deep.equal({ status: 200, body: "run 1", isReplayed: false })
    expect(example.retry).to.deep.equal({ status: 200, body: "run 1", isReplayed: true })
  } finally {
    rmSync(folder, { recursive: true })
  }
})
