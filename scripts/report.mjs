import { existsSync, readFileSync } from "node:fs"
import { root } from "./prepare.mjs"

/**
 * Prints the failed tests of a CI run and a summary as the last line. A failure
 * of a test listed in KNOWN-RED.txt is printed and doesn't fail the run.
 */
const [resultsPath, otherFailureCount] = process.argv.slice(2)
const { passes, failures } = readResults(resultsPath)
const knownTitles = readKnownRed(`${root}/KNOWN-RED.txt`)
const newFailures = failures.filter((test) => !knownTitles.includes(test.fullTitle))
for (const test of newFailures)
  console.log(`FAILED ${test.fullTitle}\n${test.err.stack ?? test.err.message}`)
for (const title of knownTitles) {
  const hasFailed = failures.some((test) => test.fullTitle === title)
  console.log(
    `KNOWN-RED ${title}: ${hasFailed ? "failed as listed" : "did not fail, remove it from the list"}`,
  )
}
for (const command of readBenchCommands(`${root}/KNOWN-RED.txt`))
  console.log(`KNOWN-RED on the bench: ${command}`)
const failedCount = newFailures.length + Number(otherFailureCount)
console.log(`${passes.length} passed, ${failedCount} failed`)
process.exit(failedCount === 0 && passes.length > 0 ? 0 : 1)

function readResults(path) {
  const text = existsSync(path) ? readFileSync(path, "utf8") : ""
  if (text === "") return { passes: [], failures: [{ fullTitle: "the test run itself", err: {} }] }
  return JSON.parse(text)
}

/** Reads the titles of the listed tests. Each entry starts with a line `test: TITLE`. */
function readKnownRed(path) {
  if (!existsSync(path)) return []
  return [...readFileSync(path, "utf8").matchAll(/^test: (.*)$/gm)].map((match) => match[1])
}

/**
 * Reads the commands of the lines `bench: COMMAND`. Each names a failing run of
 * the users' bench. They are only printed.
 */
function readBenchCommands(path) {
  if (!existsSync(path)) return []
  return [...readFileSync(path, "utf8").matchAll(/^bench: (.*)$/gm)].map((match) => match[1])
}
