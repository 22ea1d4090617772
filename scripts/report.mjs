import { existsSync, readFileSync } from "node:fs"
import { root } from "./prepare.mjs"

/**
 * Prints the failed tests and the closing line of CI. Tests named in
 * KNOWN-RED.txt may fail; they are printed and don't fail the run.
 */
const [resultsPath, otherFailures] = process.argv.slice(2)
const { passes, failures } = readResults(resultsPath)
const known = readKnownRed(`${root}/KNOWN-RED.txt`)
const fresh = failures.filter((test) => !known.includes(test.fullTitle))
for (const test of fresh)
  console.log(`FAILED ${test.fullTitle}\n${test.err.stack ?? test.err.message}`)
for (const title of known) {
  const isRed = failures.some((test) => test.fullTitle === title)
  console.log(
    `KNOWN-RED ${title}: ${isRed ? "failed as listed" : "did not fail, take it off the list"}`,
  )
}
for (const day of readBenchDays(`${root}/KNOWN-RED.txt`))
  console.log(`KNOWN-RED on the bench: ${day}`)
const failedCount = fresh.length + Number(otherFailures)
console.log(`${passes.length} passed, ${failedCount} failed`)
process.exit(failedCount === 0 && passes.length > 0 ? 0 : 1)

function readResults(path) {
  const text = existsSync(path) ? readFileSync(path, "utf8") : ""
  if (text === "") return { passes: [], failures: [{ fullTitle: "the test run itself", err: {} }] }
  return JSON.parse(text)
}

/** Reads the titles: each entry of the file starts with a line `test: TITLE`. */
function readKnownRed(path) {
  if (!existsSync(path)) return []
  return [...readFileSync(path, "utf8").matchAll(/^test: (.*)$/gm)].map((match) => match[1])
}

/** Reads the days of the users' bench that fail: lines `bench: COMMAND`. They are only printed. */
function readBenchDays(path) {
  if (!existsSync(path)) return []
  return [...readFileSync(path, "utf8").matchAll(/^bench: (.*)$/gm)].map((match) => match[1])
}
