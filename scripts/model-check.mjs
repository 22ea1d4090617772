import { spawn } from "node:child_process"
import { once } from "node:events"
import { mkdtempSync, readFileSync, rmSync } from "node:fs"
import { tmpdir } from "node:os"
import { join } from "node:path"
import { text } from "node:stream/consumers"
import { root } from "./prepare.mjs"

/**
 * Checks each entry of spec/checks.json exhaustively with spin. An entry names
 * a specification, preprocessor definitions, and the expected result: that it
 * holds, or a counterexample. Exits with 1 when a result is not the expected one.
 */
const MAX_DEPTH = 1_000_000
const MEMORY_MB = 4096
const CONCURRENCY = 2
const checks = JSON.parse(readFileSync(join(root, "spec/checks.json"), "utf8"))
const pendingChecks = [...checks]
let expectedCount = 0
await Promise.all(Array.from({ length: CONCURRENCY }, runPendingChecks))
console.log(`model check: ${expectedCount} of ${checks.length} as expected`)
process.exit(expectedCount === checks.length && checks.length > 0 ? 0 : 1)

async function runPendingChecks() {
  for (let check = pendingChecks.shift(); check; check = pendingChecks.shift())
    if (await runCheck(check)) expectedCount++
}

async function runCheck({ spec, defines = [], expect, why }) {
  const directory = mkdtempSync(join(tmpdir(), "galenaway-spin-"))
  try {
    const flags = defines.map((define) => `-D${define}`)
    await runOrThrow("spin", ["-a", ...flags, join(root, "spec", spec)], directory)
    const safety = ["-O2", "-DSAFETY", `-DMEMLIM=${MEMORY_MB}`]
    await runOrThrow("gcc", [...safety, "-o", "pan", "pan.c"], directory)
    const started = Date.now()
    const output = await runOrThrow("./pan", [`-m${MAX_DEPTH}`], directory)
    const outcome = classifyOutput(output)
    const isExpected = outcome === expect
    const states = /(\S+) states, stored/.exec(output)?.[1] ?? "?"
    const label = [spec, ...defines].join(" ")
    const seconds = ((Date.now() - started) / 1000).toFixed(1)
    console.log(
      `${isExpected ? "ok" : "WRONG"} ${label}: ${outcome}, ${states} states, ${seconds} s (${why})`,
    )
    return isExpected
  } finally {
    rmSync(directory, { recursive: true })
  }
}

function classifyOutput(output) {
  const errors = /errors: (\d+)/.exec(output)?.[1]
  const isComplete = !/max search depth too small|out of memory|Search not completed/.test(output)
  if (errors === "0") return isComplete ? "holds" : "incomplete"
  return errors === undefined ? "incomplete" : "counterexample"
}

async function runOrThrow(command, args, cwd) {
  const child = spawn(command, args, { cwd, stdio: ["ignore", "pipe", "pipe"] })
  const closed = once(child, "close")
  const [stdout, stderr] = await Promise.all([text(child.stdout), text(child.stderr)])
  const [status] = await closed
  if (status !== 0 && command !== "./pan") throw new Error(`${command}: ${stdout}${stderr}`)
  return stdout
}
