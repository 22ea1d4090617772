import { readFile, writeFile } from "node:fs/promises"
import { expect } from "chai"

it("runs the example of the policy package's page", async () => {
  const page = await readFile(new URL("../../README.md", import.meta.url), "utf8")
  const code = /```js\n([\s\S]*?)```/.exec(page)?.[1] ?? ""
  const file = new URL("readme-example.mjs", import.meta.url)
  await writeFile(file, code)
  const example = (await import(file.href)) as { kinds: readonly string[] }
  expect(example.kinds).to.deep.equal(["load", "grant"])
})
