import { spawnSync } from "node:child_process"
import { existsSync, readFileSync, writeFileSync } from "node:fs"
import { prepare, root } from "./prepare.mjs"

const OUTPUT_PREFIX = "output="

prepare()
const args = process.argv.slice(2)
const outputArg = args.find((arg) => arg.startsWith(OUTPUT_PREFIX))
const mainStatus = runMocha(args)
// Tests that measure the memory of a process run after all others, one at a time.
const isolatedArgs = args.map((arg) => (arg === outputArg ? `${arg}.isolated` : arg))
const isolatedStatus = runMocha(["--config", ".mocharc.isolated.json", ...isolatedArgs])
if (outputArg !== undefined) mergeResults(outputArg.slice(OUTPUT_PREFIX.length))
process.exit(mainStatus || isolatedStatus)

function runMocha(args) {
  return spawnSync("npx", ["mocha", ...args], { cwd: root, stdio: "inherit" }).status ?? 1
}

/** Adds the results of the isolated tests to those of the others. */
function mergeResults(path) {
  const stages = [path, `${path}.isolated`].map(readResults)
  const passes = stages.flatMap((stage) => stage.passes)
  const failures = stages.flatMap((stage) => stage.failures)
  writeFileSync(path, JSON.stringify({ passes, failures }))
}

function readResults(path) {
  const text = existsSync(path) ? readFileSync(path, "utf8") : ""
  if (text === "")
    return { passes: [], failures: [{ fullTitle: `the run that writes ${path}`, err: {} }] }
  return JSON.parse(text)
}
