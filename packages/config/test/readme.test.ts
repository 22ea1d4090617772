import { spawnSync } from "node:child_process"
import { readFileSync } from "node:fs"
import { expect } from "chai"

it("runs the embedding example of the config package", () => {
  const readme = readFileSync(new URL("../../README.md", import.meta.url), "utf8")
  const code = /```js\n(.*?)```/s.exec(readme)?.[1] ?? ""
  const expected = /It prints `(.*)`/.exec(readme)?.[1]
  const args = ["--input-type=module", "--eval", code]
  const { stdout } = spawnSync(process.execPath, args, { encoding: "utf8" })
  expect(stdout.trim()).to.equal(expected)
})
