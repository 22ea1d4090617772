import { spawnSync } from "node:child_process"
import { readFileSync } from "node:fs"
import { expect } from "chai"
import { EXIT_CODE_HELP } from "@galenaway/cli"

const README = readFileSync(new URL("../../README.md", import.meta.url), "utf8")

it("runs the embedding example of the cli package", () => {
  const code = /```js\n(.*?)```/s.exec(README)?.[1] ?? ""
  const args = ["--input-type=module", "--eval", code]
  const { stdout } = spawnSync(process.execPath, args, { encoding: "utf8" })
  expect(stdout.split("\n")[0]).to.equal(/It prints `(.*)`/.exec(README)?.[1])
})

it("documents the exit codes as the help does", () => {
  const documented = [...README.matchAll(/^\| (\d) +\| (.*?) +\|$/gm)].map(([, code, text]) => [
    code,
    text,
  ])
  const printed = [...EXIT_CODE_HELP.matchAll(/^ {2}(\d) {2}(.*)$/gm)].map(([, code, text]) => [
    code,
    text?.replace('"galenaway config history"', "`config history`"),
  ])
  expect(documented).to.deep.equal(printed)
})
