import { expect } from "chai"
import { spawnSync } from "node:child_process"
import { readFileSync } from "node:fs"
import { fileURLToPath } from "node:url"
import ts from "typescript"

const root = fileURLToPath(new URL("../..", import.meta.url))

it("prints what the coordination README says", () => {
  const readme = readFileSync(`${root}/README.md`, "utf8")
  const example = /```ts\n([^]*?)```/.exec(readme)?.[1] ?? ""
  const expected = /^\/\/ (.*)$/m.exec(example)?.[1]
  const options = { module: ts.ModuleKind.ESNext, target: ts.ScriptTarget.ES2022 }
  const script = ts.transpileModule(example, { compilerOptions: options }).outputText
  const { stdout, stderr } = spawnSync(
    process.execPath,
    ["--input-type=module", "--eval", script],
    { cwd: root, encoding: "utf8" },
  )
  expect([stdout.trim(), stderr]).to.deep.equal([expected, ""])
})
