import { spawnSync } from "node:child_process"
import { mkdtempSync, readFileSync, rmSync } from "node:fs"
import { tmpdir } from "node:os"
import { join } from "node:path"
import { root } from "./prepare.mjs"

/**
 * Checks each entry of spec/checks.json exhaustively with spin. An entry names
 * a specification, preprocessor definitions, and whether it must hold or must
 * give a counterexample. Exits 1 when one differs from what is expected.
 */
const MAX_DEPTH = 1_000_000
const MEMORY_MB = 4096
const checks = JSON.parse(readFileSync(join(root, "spec/checks.json"), "utf8"))
const wrong = checks.filter((check) => !runCheck(check))
console.log(`model check: ${checks.length - wrong.length} of ${checks.length} as expected`)
process.exit(wrong.length === 0 && checks.length > 0 ? 0 : 1)

function runCheck({ spec, defines = [], expect, why }) {
  const folder = mkdtempSync(join(tmpdir(), "galenaway-spin-"))
  try {
    const flags = defines.map((define) => `-D${define}`)
    runOrThrow("spin", ["-a", ...flags, join(root, "spec", spec)], folder)
    const safety = ["-O2", "-DSAFETY", "-DCOLLAPSE", `-DMEMLIM=${MEMORY_MB}`]
    runOrThrow("gcc", [...safety, "-o", "pan", "pan.c"], folder)
    const started = Date.now()
    const output = runOrThrow("./pan", [`-m${MAX_DEPTH}`], folder)
    const found = judge(output)
    const isRight = found === expect
    const states = /(\S+) states, stored/.exec(output)?.[1] ?? "?"
    const label = [spec, ...defines].join(" ")
    const seconds = ((Date.now() - started) / 1000).toFixed(1)
    console.log(
      `${isRight ? "ok" : "WRONG"} ${label}: ${found}, ${states} states, ${seconds} s (${why})`,
    )
    return isRight
  } finally {
    rmSync(folder, { recursive: true })
  }
}

function judge(output) {
  const errors = /errors: (\d+)/.exec(output)?.[1]
  const isWhole = !/max search depth too small|out of memory|Search not completed/.test(output)
  if (errors === "0") return isWhole ? "holds" : "incomplete"
  return errors === undefined ? "incomplete" : "counterexample"
}

function runOrThrow(command, args, cwd) {
  const { status, stdout, stderr, error } = spawnSync(command, args, { cwd, encoding: "utf8" })
  if (error || (status !== 0 && command !== "./pan"))
    throw error ?? new Error(`${command}: ${stdout}${stderr}`)
  return stdout
}
